import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as pools from "../src/upstream/pool.js";

const TIMING: routing.DirectoryTiming = {
    outageThresholdMs: 2_400,
    recoveryMs: 2_500,
    maxCopyAgeMs: 20_000,
    lapseMs: 4_000,
};

function makeUpstream(id: string, state: routing.UpstreamState): routing.Upstream {
    return {
        id,
        service: "counter",
        address: "127.0.0.1:9",
        availabilityZone: "a",
        state,
        slots: 6,
        stage: undefined,
        startedAt: 1,
        warmUpLeftMs: 0,
    };
}

describe("UpstreamPool", () => {
    it("has no accepting upstreams while all of them drain", () => {
        const { Ready, Draining } = routing.UpstreamState;
        const pool = new pools.UpstreamPool(() => undefined);
        const show = (...upstreams: routing.Upstream[]) =>
            pool.update(routing.applyListing(routing.emptyDirectory, upstreams, TIMING, 0, 0));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(false);
        show(makeUpstream("one", Draining), makeUpstream("other", Draining));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(false);
        show(makeUpstream("one", Draining), makeUpstream("other", Ready));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(true);
    });
});
