import * as chai from "chai";
import * as timers from "node:timers/promises";
import * as silences from "../src/model/silencewatch.js";

const STANDSTILL_MS = 150;

/** Keeps the event loop busy, as a process that is not scheduled. */
function standStill(): void {
    const endsAt = performance.now() + STANDSTILL_MS;
    while (performance.now() < endsAt) {
        // Holds the event loop up.
    }
}

/** Watches with short limits; returns what has happened so far. */
function watch(canTakeOver: boolean, heldMs = () => 0) {
    const acts: string[] = [];
    const limits = {
        takeoverMs: 20,
        suspectedMs: 60,
        abandonedMs: 100,
        canTakeOver: () => canTakeOver,
        onSuspected: () => void acts.push("suspected"),
    };
    return { acts, watch: new silences.SilenceWatch(limits, heldMs, () => void acts.push("given up")) };
}

// Guards against streams that are given up after a standstill of this process, before what has arrived is read.
describe("The silence of an upstream", () => {
    it("leads to one step at a time after a standstill", async () => {
        const { acts, watch: silence } = watch(false);
        standStill();
        await timers.setImmediate();
        chai.expect(acts).to.deep.equal([]);
        silence.restart();
        silence.stop();
        await timers.setTimeout(STANDSTILL_MS);
        chai.expect(acts).to.deep.equal([]);
    });

    it("leads to all steps in turn, and to a takeover first where one is possible", async () => {
        for (const [canTakeOver, expected] of [[false, ["suspected", "given up"]], [true, ["given up"]]] as const) {
            const { acts, watch: silence } = watch(canTakeOver);
            while (acts.length < expected.length) {
                await timers.setTimeout(5);
            }
            silence.stop();
            chai.expect(acts).to.deep.equal(expected);
        }
    });

    it("does not count while nothing is read", async () => {
        const startedAt = performance.now();
        const { acts, watch: silence } = watch(true, () => performance.now() - startedAt);
        await timers.setTimeout(STANDSTILL_MS);
        chai.expect(acts).to.deep.equal([]);
        silence.stop();
    });
});
