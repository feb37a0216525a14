import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as http from "node:http";
import * as nodeHttp from "node:http";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 4_620;
const EVENT = "id: 1\ndata: a\n\n";
const PROMPT = { "prompt-tokens": "500", "output-tokens": "100" };

// A fleet in three regions, with a zone each: the host is in zone a, in the region north.
describe("A request that may use some regions only", () => {
    let fixture: fixtures.Fixture;

    const start = (route: string[] | undefined, workspace: string[] | undefined) => {
        const { routes, workspaces, ...rest } = fixtures.makeConfiguration();
        return fixture.start({
            ...rest,
            routes: routes.map((each) => ({ ...each, allowedRegions: route })),
            workspaces: workspaces?.map((each) => ({ ...each, allowedRegions: workspace })),
        });
    };
    const engine = async (id: string, availabilityZone: string, stage: routing.EngineStage) => {
        const standIn = await fixture.addStandIn(id, { service: "model", availabilityZone, stage });
        standIn.behave = fixtures.engineThatRuns((_, response) =>
            void response.writeHead(200, { signature: "s" })
                .end(stage === routing.EngineStage.Prefill ? JSON.stringify({ handle: "h" }) : EVENT)
        );
        return standIn;
    };
    const runsAt = ({ received }: fixtures.StandIn) => received.filter(({ path }) => path.includes("/write/")).length;

    beforeEach(() => {
        fixture = new fixtures.Fixture(PORT_OFFSET);
        [["a", "north"], ["b", "south"], ["c", "west"]].forEach(([zone, region]) =>
            fixture.regions.set(zone ?? "", region ?? "")
        );
    });
    afterEach(() => fixture.close());

    it("runs only in a region that its route and its workspace both allow", async () => {
        for (const zone of ["a", "b", "c", "unknown"]) {
            await fixture.addStandIn(zone, { availabilityZone: zone });
        }
        await start(["south", "north"], ["south", "west"]);
        for (let count = 0; count < 6; count++) {
            chai.expect((await fixture.send()).body).to.equal("b");
        }
    });

    it("is refused while no upstream is in such a region", async () => {
        const near = await fixture.addStandIn("a", { availabilityZone: "a" });
        const unknown = await fixture.addStandIn("x", { availabilityZone: "unknown" });
        await start(["north"], ["south"]);
        chai.expect((await fixture.send()).status).to.equal(503);
        chai.expect([...near.received, ...unknown.received]).to.deep.equal([]);
    });

    it("has its prompt read, and its KV cache fetched, within such regions", async () => {
        const { Prefill, Decode } = routing.EngineStage;
        const others = [
            await engine("prefill-a", "a", Prefill),
            await engine("decode-a", "a", Decode),
            await engine("prefill-c", "c", Prefill),
        ];
        const prefill = await engine("prefill-b", "b", Prefill);
        const decode = await engine("decode-b", "b", Decode);
        await start(["south"], undefined);
        chai.expect(await fixture.send({ path: "/write/1", headers: PROMPT })).to.include({ status: 200, body: EVENT });
        chai.expect([runsAt(prefill), runsAt(decode), ...others.map(runsAt)]).to.deep.equal([1, 1, 0, 0, 0]);
    });

    it("is relayed to hosts in such regions only, and not to one whose region is not known", async () => {
        const asked: string[] = [];
        for (const zone of ["a", "b", "c", ""]) {
            const server = nodeHttp.createServer((request: http.IncomingMessage, response) => {
                request.resume();
                asked.push(zone);
                response.writeHead(200, { "content-length": "2" }).end("ok");
            });
            await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
            fixture.scope.defer(() => void server.close());
            const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
            fixture.hosts.push(address);
            if (zone !== "") {
                fixture.hostZones.set(address, zone);
            }
        }
        await fixture.addStandIn("b", { availabilityZone: "b", address: "127.0.0.1:9" });
        await start(["south"], undefined);
        await lifecycle.pause(fixture.scope, 100);
        for (let count = 0; count < 4; count++) {
            await fixture.send({ path: "/look/1" });
        }
        chai.expect(new Set(asked)).to.deep.equal(new Set(["b"]));
    });
});
