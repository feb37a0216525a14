import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as limits from "../src/limits.js";
import * as logs from "../src/log.js";
import * as peers from "../src/peers.js";
import * as quarantines from "../src/quarantine.js";

/** Records the crash reports that it receives. */
class RecordingQuarantine extends quarantines.Quarantine {
    readonly received: dispatch.CrashReport[] = [];

    override receiveCrash(report: dispatch.CrashReport): void {
        this.received.push(report);
    }
}

/** Less than the interval between the repeats of a message. */
const MIN_REPEAT_MS = 50;

describe("Messages between hosts", () => {
    it("add the delay of a repeated crash report to the time of its run, which is not to look like a later one", async () => {
        const scope = new lifecycle.Scope("test");
        const port = testing.testPortBase(2_290);
        const clock = lifecycle.monotonicClock;
        const log = logs.makeDecisionLog({}, clock, () => undefined);
        const hosts = [port, port + 1].map((each) => `127.0.0.1:${each}`);
        const quarantine = new RecordingQuarantine(clock, log, () => 0);
        const open = (offset: number) =>
            peers.openPeers({
                scope,
                clock,
                log,
                listen: { address: "127.0.0.1", port: port + offset },
                hosts: () => hosts,
                quotaTolerance: () => 0,
                quotaWindowMs: 8_000,
                quarantine,
                limits: new limits.UpstreamLimits(clock, log),
                onStoreUpdate: () => undefined,
            });
        const sender = await open(0);
        await open(1);
        const report = { service: "model", content: "c", parts: ["p"], incarnation: "a@1", ranMs: 10 };
        sender.quarantine.broadcastCrash(report);
        for (let tries = 0; tries < 100 && quarantine.received.length < 2; tries++) {
            await lifecycle.pause(scope, 20);
        }
        await scope.close();
        chai.expect(quarantine.received.length).to.equal(2);
        const [first, second] = quarantine.received as [dispatch.CrashReport, dispatch.CrashReport];
        chai.expect(first.ranMs).to.be.least(report.ranMs);
        chai.expect(second.ranMs - first.ranMs).to.be.above(MIN_REPEAT_MS);
    });
});
