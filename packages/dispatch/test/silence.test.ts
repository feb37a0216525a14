import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

describe("silenceTimes", () => {
    it("gives an answer up only after its caller has abandoned it", () => {
        const times = dispatch.silenceTimes({ latencyTargetMs: 900, eventGapTargetMs: 300 });
        chai.expect(times.abandonedMs).to.be.above(3_600);
        chai.expect(times.suspectedMs).to.be.within(3_000, 3_600);
        chai.expect(dispatch.silenceTimes({ latencyTargetMs: 200, eventGapTargetMs: 600 }).abandonedMs).to.be.above(
            4_800,
        );
        chai.expect(dispatch.silenceTimes({ latencyTargetMs: 200, eventGapTargetMs: undefined }).abandonedMs)
            .to.be.above(2_000);
    });

    it("orders the times, and leaves a takeover before callers leave, whatever the route", () => {
        const ms = fastCheck.double({ min: 0, max: 60_000, noNaN: true });
        fastCheck.assert(
            fastCheck.property(ms, fastCheck.option(ms, { nil: undefined }), (latencyTargetMs, eventGapTargetMs) => {
                const { takeoverMs, suspectedMs, abandonedMs } = dispatch.silenceTimes({
                    latencyTargetMs,
                    eventGapTargetMs,
                });
                chai.expect(takeoverMs).to.be.below(2_000);
                chai.expect(suspectedMs).to.be.at.least(takeoverMs);
                chai.expect(abandonedMs).to.be.above(suspectedMs);
            }),
        );
    });
});
