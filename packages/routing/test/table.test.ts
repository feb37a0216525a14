import * as chai from "chai";
import * as routing from "../src/index.js";
import * as fixture from "./fixture.js";

describe("RouteTable", () => {
    const table = routing.makeRouteTable(fixture.makeConfiguration({
        routes: [
            fixture.makeRoute({ name: "all", pathPrefix: "/" }),
            fixture.makeRoute({ name: "book", pathPrefix: "/book/" }),
            fixture.makeRoute({ name: "book-new", pathPrefix: "/book/new/", allowsAnonymous: true }),
            fixture.makeRoute({ name: "other", hostName: "other.example", pathPrefix: "/only/" }),
        ],
    }));
    const find = (host: string, path: string) => routing.findRoute(table, host, path)?.name;

    it("finds the route with the longest matching prefix", () => {
        chai.expect(find("shop.example", "/book/new/1")).to.equal("book-new");
        chai.expect(find("shop.example", "/book/old")).to.equal("book");
        chai.expect(find("shop.example", "/book")).to.equal("all");
        chai.expect(find("shop.example", "/books/1")).to.equal("all");
    });

    it("ignores the query, and the case and port of the host", () => {
        chai.expect(find("Shop.Example:8080", "/?from=/book/new/")).to.equal("all");
    });

    it("finds nothing for an unknown host or path", () => {
        chai.expect(find("nowhere.example", "/book/")).to.equal(undefined);
        chai.expect(find("other.example", "/book/")).to.equal(undefined);
    });

    it("grants access by key, except on open routes", () => {
        const [, book, open] = table.configuration.routes as [routing.Route, routing.Route, routing.Route];
        chai.expect(routing.checkKey(table, book, "key-2")).to.have.nested.property("workspace.name", "north");
        chai.expect(routing.checkKey(table, book, "key-3").access).to.equal(routing.Access.Denied);
        chai.expect(routing.checkKey(table, book, undefined).access).to.equal(routing.Access.Denied);
        chai.expect(routing.checkKey(table, open, undefined).access).to.equal(routing.Access.Open);
    });

    it("splits a route's requests by weight and sends none to a target of weight zero", () => {
        const route = fixture.makeRoute({
            targets: [{ service: "none", weight: 0 }, { service: "most", weight: 9 }, { service: "few", weight: 1 }],
        });
        const picked = [0, 0.3, 0.89, 0.91, 0.999].map((fraction) => routing.pickTarget(route, fraction));
        chai.expect(picked).to.deep.equal(["most", "most", "most", "few", "few"]);
        chai.expect(routing.pickTarget(fixture.makeRoute({ targets: [] }), 0.5)).to.equal(undefined);
    });
});

describe("adoptConfiguration", () => {
    it("never returns to an older version, whatever the order of arrival", () => {
        let active: routing.ActiveConfiguration | undefined;
        const seen: number[] = [];
        for (const version of [3, 9, 5, 9, 12, 11]) {
            active = routing.adoptConfiguration(active, fixture.makeConfiguration({ version }), seen.length);
            seen.push(active.table.configuration.version);
        }
        chai.expect(seen).to.deep.equal([3, 9, 9, 9, 12, 12]);
    });
});
