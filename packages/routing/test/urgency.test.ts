import * as chai from "chai";
import type * as configuration from "../src/configuration.js";
import * as urgency from "../src/urgency.js";

const route = (service: string, priority: number) =>
    ({ priority, targets: [{ service, weight: 1 }] }) as unknown as configuration.Route;
const workspace = (priority: number | undefined) => ({ priority }) as unknown as configuration.Workspace;

describe("Services whose requests may differ in urgency", () => {
    const routes = [route("one", 0), route("one", 2), route("other", 1), route("other", 1)];

    it("are those with routes of several priorities, where workspaces are alike", () => {
        for (const workspaces of [undefined, [], [workspace(1), workspace(1)], [workspace(undefined)]]) {
            chai.expect([...urgency.servicesWithUrgencies({ routes, workspaces })]).to.deep.equal(["one"]);
        }
    });

    it("are all with workspaces of several priorities", () => {
        const workspaces = [workspace(1), workspace(undefined)];
        chai.expect([...urgency.servicesWithUrgencies({ routes, workspaces })]).to.deep.equal(["one", "other"]);
    });
});
