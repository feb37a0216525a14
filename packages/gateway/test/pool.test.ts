import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as directories from "../src/store/directory.js";
import * as pools from "../src/upstream/pool.js";
import * as fixtures from "./fixture.js";

const TIMING = directories.directoryTiming(1_000);

describe("UpstreamPool", () => {
    it("has no accepting upstreams while all of them drain", () => {
        const { Ready, Draining } = routing.UpstreamState;
        const pool = new pools.UpstreamPool();
        const show = (...upstreams: routing.Upstream[]) =>
            pool.update(routing.applyListing(routing.emptyDirectory, upstreams, TIMING, 0, 0));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(false);
        show(fixtures.makeUpstream("one", { state: Draining }), fixtures.makeUpstream("other", { state: Draining }));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(false);
        show(fixtures.makeUpstream("one", { state: Draining }), fixtures.makeUpstream("other", { state: Ready }));
        chai.expect(pool.hasAcceptingUpstreams).to.equal(true);
    });

    it("tells which upstreams return as their zone is taken back, and when, since they may be cold then", () => {
        const returned: string[] = [];
        const pool = new pools.UpstreamPool({ onReturn: ({ id }, at) => returned.push(`${id} at ${at}`) });
        const upstreams = [
            fixtures.makeUpstream("one", { availabilityZone: "a" }),
            fixtures.makeUpstream("other", { availabilityZone: "b" }),
        ];
        pool.update(routing.applyListing(routing.emptyDirectory, upstreams, TIMING, 0, 0));
        const listing = (era: number, revision: number, zones: readonly string[]) => ({
            era,
            revision,
            zones: zones.map((zone) => ({ zone, revision })),
        });
        const emptied = routing.adoptListing(routing.noEvacuations, listing(1, 5, ["a"]), 1_000);
        pool.setEvacuations(emptied, 1_000);
        pool.setEvacuations(routing.adoptListing(emptied, listing(1, 6, ["a", "b"]), 1_500), 1_500);
        chai.expect(returned).to.deep.equal([]);
        // Kept for a time although the store has lost it, and taken back.
        const kept = routing.adoptListing(emptied, listing(2, 1, []), 2_000);
        pool.setEvacuations(emptied, 2_000);
        returned.length = 0;
        pool.setEvacuations(kept, 2_000);
        chai.expect(returned).to.deep.equal([`one at ${kept.keptUntil.get("a")}`]);
        pool.setEvacuations(routing.adoptListing(emptied, listing(1, 9, []), 3_000), 3_000);
        chai.expect(returned.at(-1)).to.equal("one at 3000");
    });
});
