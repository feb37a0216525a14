import * as chai from "chai";
import * as routing from "../src/index.js";
import * as fixture from "./fixture.js";

const TIMING: routing.DirectoryTiming = {
    outageThresholdMs: 2_400,
    recoveryMs: 2_500,
    maxCopyAgeMs: 20_000,
    lapseMs: 4_000,
};

/** Applies listings that were each requested and received at the given time. */
function list(listings: readonly (readonly [number, readonly routing.Upstream[]])[]): routing.Directory {
    return listings.reduce(
        (directory, [at, listing]) => routing.applyListing(directory, listing, TIMING, at, at),
        routing.emptyDirectory,
    );
}

const ids = (directory: routing.Directory) =>
    routing.acceptingUpstreams(directory, "counter").map((upstream) => upstream.id);

describe("Directory", () => {
    const first = fixture.makeUpstream();
    const second = fixture.makeUpstream({ id: "u-2" });

    it("assigns no work to an upstream that is draining or missing from the listing", () => {
        const draining = { ...second, state: routing.UpstreamState.Draining };
        chai.expect(ids(list([[0, [first, second]], [1_000, [first, draining]]]))).to.deep.equal(["u-1"]);
        chai.expect(ids(list([[0, [first, second]], [1_000, [second]]]))).to.deep.equal(["u-2"]);
    });

    it("keeps upstreams whose registrations expired in an outage until the running ones have registered again", () => {
        const outage: [number, routing.Upstream[]][] = [[0, [first, second]], [9_000, [first]]];
        chai.expect(ids(list(outage))).to.deep.equal(["u-1", "u-2"]);
        chai.expect(ids(list([...outage, [10_000, [first]]]))).to.deep.equal(["u-1", "u-2"]);
        chai.expect(ids(list([...outage, [10_000, [first]], [11_600, [first]]]))).to.deep.equal(["u-1"]);
    });

    it("does not treat a draining upstream as ready again unless it restarted", () => {
        const draining = { ...first, state: routing.UpstreamState.Draining };
        chai.expect(ids(list([[0, [draining]], [1_000, [first]]]))).to.deep.equal([]);
        chai.expect(ids(list([[0, [draining]], [1_000, [{ ...first, startedAt: 2_000 }]]]))).to.deep.equal(["u-1"]);
    });

    it("does not return to an earlier incarnation", () => {
        const directory = list([[0, [{ ...first, startedAt: 5_000 }]], [1_000, [first]]]);
        chai.expect(routing.acceptingUpstreams(directory, "counter")[0]?.startedAt).to.equal(5_000);
    });

    describe("after the store has come back from a copy", () => {
        const restore = (directory: routing.Directory, at: number, listing: readonly routing.Upstream[]) =>
            routing.applyListing(directory, listing, TIMING, at, at, true);

        it("keeps upstreams whose registrations are missing until they are back", () => {
            const restored = restore(list([[0, [first, second]]]), 1_000, [first]);
            chai.expect(ids(restored)).to.deep.equal(["u-1", "u-2"]);
            const later = routing.applyListing(restored, [first, second], TIMING, 3_000, 3_000);
            chai.expect(ids(routing.applyListing(later, [first, second], TIMING, 4_000, 4_000))).to.have.length(2);
            const still = routing.applyListing(restored, [first], TIMING, 3_000, 3_000);
            chai.expect(ids(still)).to.deep.equal(["u-1", "u-2"]);
            chai.expect(ids(routing.applyListing(still, [first], TIMING, 4_000, 4_000))).to.deep.equal(["u-1"]);
        });

        it("does not use upstreams that had left before, unless their registrations outlast the time of a lapse", () => {
            const left = list([[0, [first, second]], [1_000, [first]], [2_000, [first]]]);
            chai.expect(ids(restore(left, 2_500, [first, second]))).to.deep.equal(["u-1"]);
            const restored = restore(left, 2_500, [first, second]);
            const next = routing.applyListing(restored, [first, second], TIMING, 3_500, 3_500);
            chai.expect(ids(next)).to.deep.equal(["u-1"]);
            const outlasting = routing.applyListing(next, [first, second], TIMING, 6_600, 6_600);
            chai.expect(ids(outlasting)).to.deep.equal(["u-1", "u-2"]);
            const restarted = { ...second, startedAt: 2_400 };
            chai.expect(ids(restore(left, 2_500, [first, restarted]))).to.deep.equal(["u-1", "u-2"]);
        });

        it("keeps an upstream draining that the copy calls ready", () => {
            const draining = { ...first, state: routing.UpstreamState.Draining };
            chai.expect(ids(restore(list([[0, [draining]]]), 1_000, [first]))).to.deep.equal([]);
        });
    });
});
