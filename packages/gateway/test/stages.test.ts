import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as contexts from "../src/context.js";
import * as stages from "../src/model/stages.js";
import * as directories from "../src/store/directory.js";
import * as agents from "../src/upstream/agent.js";
import * as pools from "../src/upstream/pool.js";
import * as fixtures from "./fixture.js";

const TIMING = directories.directoryTiming(1_000);

describe("StageKeeper", () => {
    /** A keeper beside three prefill and three decode engines, under a load that takes long runs. */
    const makeKeeper = async (fixture: fixtures.Fixture) => {
        const clock = { now: 0 };
        const duty = { fencing: 7 as number | undefined, reachable: true, proofs: 0 };
        const orders: unknown[] = [];
        for (const id of ["p-1", "p-2", "p-3", "d-1", "d-2", "d-3"]) {
            const stage = id.startsWith("p") ? routing.EngineStage.Prefill : routing.EngineStage.Decode;
            const standIn = await fixture.addStandIn(id, { service: "model", stage });
            standIn.behave = ({ path, body }, response) => {
                orders.push({ id, path, ...JSON.parse(body) as object });
                response.writeHead(202).end();
            };
        }
        const pool = new pools.UpstreamPool();
        const upstreams = fixture.standIns.map(({ upstream }) => upstream);
        pool.update(routing.applyListing(routing.emptyDirectory, upstreams, TIMING, 0, 0));
        const agent = new agents.UpstreamAgent(() => undefined);
        fixture.scope.defer(() => agent.destroy());
        const table = routing.makeRouteTable(fixtures.makeConfiguration());
        const { settings } = fixture;
        const context = {
            scope: fixture.scope,
            clock: () => clock.now,
            log: { decision: () => undefined, notice: () => undefined, flush: () => undefined },
            settings,
            wireFormat: fixtures.wireFormat,
            agent,
            pool,
            storeView: {
                hosts: () => [`${settings.peers.address}:${settings.peers.port}`],
                activeConfiguration: () => ({ table, adoptedAt: 0 }),
                holdDuty: async () => {
                    duty.proofs++;
                    return duty.reachable ? decision.knownEffect(duty.fencing) : decision.unknownEffect("timeout");
                },
            },
        } as unknown as contexts.GatewayContext;
        const keeper = new stages.StageKeeper(context);
        const playAt = async (now: number) => {
            clock.now = now;
            for (let count = 0; count < 30; count++) {
                keeper.balanceOf("model").observePrefill(500, 10);
                keeper.balanceOf("model").observeRun(3_400, 6_000);
                keeper.balanceOf("model").observeRefusal(now);
            }
            await lifecycle.pause(fixture.scope, 2_300);
        };
        return { duty, orders, playAt };
    };
    const expected = { path: "/order", stage: "decode", holder: "host-1", fencing: 7, expectedOrders: 0 };
    const opened: fixtures.Fixture[] = [];
    const openFixture = (portOffset: number) => {
        const fixture = new fixtures.Fixture(portOffset);
        opened.push(fixture);
        return fixture;
    };
    after(() => Promise.all(opened.map((fixture) => fixture.close())));

    it("orders an idle prefill engine to decode while it has the duty, after the former holder's orders are over", async () => {
        const { duty, orders, playAt } = await makeKeeper(openFixture(2_520));
        await playAt(0);
        await playAt(12_000);
        chai.expect(orders, "before the former holder's orders are over").to.deep.equal([]);
        await playAt(14_000);
        chai.expect(orders).to.deep.equal([{ id: "p-1", ...expected }]);
        chai.expect(duty.proofs).to.equal(2);
        duty.fencing = undefined;
        await playAt(40_000);
        chai.expect(orders, "after the duty was lost").to.have.length(1);
    }).timeout(20_000);

    it("puts an order off while the store does not answer, and keeps the duty", async () => {
        const { duty, orders, playAt } = await makeKeeper(openFixture(2_540));
        await playAt(0);
        duty.reachable = false;
        await playAt(14_000);
        chai.expect(orders, "without a proof of the duty").to.deep.equal([]);
        duty.reachable = true;
        await playAt(17_000);
        chai.expect(orders).to.deep.equal([{ id: "p-1", ...expected }]);
    }).timeout(20_000);
});
