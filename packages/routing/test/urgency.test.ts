import * as chai from "chai";
import type * as configuration from "../src/configuration.js";
import * as urgency from "../src/urgency.js";

const route = (service: string, priority: number, generative = true) =>
    ({ generative, priority, targets: [{ service, weight: 1 }] }) as unknown as configuration.Route;

describe("Services whose requests compete by kind", () => {
    it("have generative routes of several priorities", () => {
        const routes = [
            route("one", 0),
            route("one", 2),
            route("other", 1),
            route("other", 1),
            route("other", 0, false),
            route("plain", 0, false),
            route("plain", 2, false),
        ];
        chai.expect([...urgency.servicesWithUrgencies(routes)]).to.deep.equal(["one"]);
    });
});
