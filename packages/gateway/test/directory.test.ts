import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as directories from "../src/store/directory.js";
import * as fixtures from "./fixture.js";

/** Longest time from an update of the readers until a host lists for itself, in listing periods. */
const MAX_SILENT_PERIODS = 1.3;
/** A call that times out, and the pause before it is repeated. */
const FAILED_CALL_MS = 850;

describe("directoryTiming", () => {
    const staying = fixtures.makeUpstream("staying");
    const left = fixtures.makeUpstream("left");
    const listAfter = (periodMs: number, gapMs: number) => {
        const timing = directories.directoryTiming(periodMs);
        const before = routing.applyListing(routing.emptyDirectory, [staying, left], timing, 0, 0);
        const after = routing.applyListing(before, [staying], timing, gapMs, gapMs);
        return routing.acceptingUpstreams(after, "counter").map(({ id }) => id);
    };

    it("drops upstreams that have left after each gap that occurs without an outage, whatever the listing period", () => {
        for (const periodMs of [1_000, 1_500, 2_000, 4_000]) {
            const gapMs = MAX_SILENT_PERIODS * periodMs + FAILED_CALL_MS;
            chai.expect(listAfter(periodMs, gapMs), `period ${periodMs} ms`).to.deep.equal(["staying"]);
        }
    });

    it("keeps missing upstreams after an outage in which registrations lapse", () => {
        chai.expect(listAfter(1_000, 3_600)).to.deep.equal(["staying", "left"]);
        chai.expect(listAfter(2_000, 4_500)).to.deep.equal(["staying", "left"]);
    });
});
