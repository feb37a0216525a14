import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as logs from "../src/log.js";
import * as metrics from "../src/metrics.js";
import * as observations from "../src/observations.js";
import * as directories from "../src/store/directory.js";
import * as calls from "../src/upstream/call.js";
import * as pools from "../src/upstream/pool.js";
import * as fixtures from "./fixture.js";

const HOST_COUNT = 48;
/** Time in which news has reached every host, on a busy machine. */
const SPREAD_MS = 600;

// Guards against news that goes round: a broken connection and the answer that refutes it each looked newer at every hop.
describe("Observations of 48 hosts", () => {
    const clock = lifecycle.monotonicClock;
    const random = decision.seeded(5);
    const upstream = fixtures.makeUpstream("one");
    const hosts = Array.from({ length: HOST_COUNT }, (_, index) => `10.0.0.${index}:1`);
    const log = logs.makeDecisionLog({}, clock, () => undefined);
    let scope: lifecycle.Scope;
    let datagrams = 0;
    let probes = 0;
    let runs = true;
    const shells = new Map<string, observations.UpstreamObservations>();
    const views = new Map<string, dispatch.ObservedUpstreams>();

    const refused = {
        progress: calls.CallProgress.NotSent,
        failure: calls.CallFailure.Broken,
        reason: "connect ECONNREFUSED",
    } as const;
    const broken = { ...refused, progress: calls.CallProgress.NoResponse } as const;
    const responded = { progress: calls.CallProgress.Responded } as calls.CallOutcome;
    const record = (host: number, outcome: calls.CallOutcome) =>
        shells.get(hosts[host] as string)?.record(upstream, outcome, false, clock());
    const count = (belief: dispatch.Belief) =>
        [...views.values()].filter((view) => view.beliefOf("one@1", clock()) === belief).length;

    beforeEach(() => {
        scope = new lifecycle.Scope("test");
        datagrams = 0;
        probes = 0;
        runs = true;
        for (const self of hosts) {
            const view = new dispatch.ObservedUpstreams(self);
            const pool = new pools.UpstreamPool();
            const timing = directories.directoryTiming(1_000);
            pool.update(routing.applyListing(routing.emptyDirectory, [upstream], timing, 0, 0));
            views.set(self, view);
            const shell: observations.UpstreamObservations = new observations.UpstreamObservations({
                scope,
                clock,
                log,
                metrics: metrics.makeGatewayMetrics(() => 0),
                view,
                pool,
                self,
                hosts: () => hosts,
                random: random.fraction,
                readsBacklog: () => false,
                reaches: () => true,
                send: (told, to) => {
                    datagrams += to.length;
                    lifecycle.after(scope, 2, () => to.forEach((host) => shells.get(host)?.receive(told)));
                },
                probe: async () => {
                    probes++;
                    await lifecycle.pause(scope, 2);
                    shell.record(upstream, runs ? responded : refused, false, clock() - 2);
                },
            });
            shells.set(self, shell);
        }
    });
    afterEach(() => scope.close());

    it("end while connections break and answers refute that, at several hosts at once", async () => {
        for (let round = 0; round < 20; round++) {
            record(round, broken);
            record(round + 20, responded);
            await lifecycle.pause(scope, 10);
        }
        await lifecycle.pause(scope, SPREAD_MS);
        const before = datagrams;
        await lifecycle.pause(scope, SPREAD_MS);
        chai.expect(datagrams).to.equal(before);
        // Two hosts that probe hear of each; the others hear nothing.
        chai.expect(datagrams).to.be.below(20 * 4);
        chai.expect(count(dispatch.Belief.Down)).to.equal(0);
    });

    it("reach every host in three rounds, with few probes and some dozens of datagrams of each host", async () => {
        runs = false;
        record(0, refused);
        await lifecycle.pause(scope, SPREAD_MS);
        chai.expect(count(dispatch.Belief.Down)).to.equal(HOST_COUNT);
        chai.expect(probes).to.be.below(10);
        chai.expect(datagrams).to.be.below(HOST_COUNT * 36);
        runs = true;
        record(1, responded);
        await lifecycle.pause(scope, SPREAD_MS);
        chai.expect(count(dispatch.Belief.Sound)).to.equal(HOST_COUNT);
    });
});
