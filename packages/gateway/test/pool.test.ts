import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as directories from "../src/store/directory.js";
import * as pools from "../src/upstream/pool.js";
import * as fixtures from "./fixture.js";

const TIMING = directories.directoryTiming(1_000);

describe("UpstreamPool", () => {
    it("has no accepting upstreams while all of them drain", () => {
        const { Ready, Draining } = routing.UpstreamState;
        const pool = new pools.UpstreamPool(() => undefined);
        const show = (...upstreams: routing.Upstream[]) =>
            pool.update(routing.applyListing(routing.emptyDirectory, upstreams, TIMING, 0, 0));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(false);
        show(fixtures.makeUpstream("one", { state: Draining }), fixtures.makeUpstream("other", { state: Draining }));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(false);
        show(fixtures.makeUpstream("one", { state: Draining }), fixtures.makeUpstream("other", { state: Ready }));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(true);
    });
});
