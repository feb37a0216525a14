import * as chai from "chai";
import * as routing from "../src/index.js";
import * as fixture from "./fixture.js";

const TIMING: routing.DirectoryTiming = { outageThresholdMs: 2_400, recoveryMs: 2_500 };

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
});
