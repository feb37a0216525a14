import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import type * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as dgram from "node:dgram";
import * as limits from "../src/limits.js";
import * as logs from "../src/log.js";
import * as messages from "../src/messages.js";
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
    const port = testing.testPortBase(2_290);
    const clock = lifecycle.monotonicClock;
    const report = { service: "model", content: "c", parts: ["p"], incarnation: "a@1", ranMs: 10 };
    let scope: lifecycle.Scope;
    let quarantine: RecordingQuarantine;
    let sender: peers.Peers;
    let updates: routing.StoreUpdate[];
    let listings: routing.EvacuationListing[];

    const log = logs.makeDecisionLog({}, clock, () => undefined);
    const hosts = [port, port + 1].map((each) => `127.0.0.1:${each}`);

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
            onStoreUpdate: (update) => updates.push(update),
            evacuations: () => undefined,
            onEvacuations: (listing) => listings.push(listing),
            onTurnMessage: () => undefined,
            onUnread: () => undefined,
        });

    beforeEach(async () => {
        scope = new lifecycle.Scope("test");
        updates = [];
        listings = [];
        quarantine = new RecordingQuarantine(clock, log, () => 0);
        sender = await open(0);
        await open(1);
    });
    afterEach(() => scope.close());

    const waitForReports = async (count: number) => {
        for (let tries = 0; tries < 100 && quarantine.received.length < count; tries++) {
            await lifecycle.pause(scope, 20);
        }
        chai.expect(quarantine.received.length).to.equal(count);
    };

    it("add the delay of a repeated crash report to the time of its run, which is not to look like a later one", async () => {
        sender.quarantine.broadcastCrash(report);
        await waitForReports(2);
        const [first, second] = quarantine.received as [dispatch.CrashReport, dispatch.CrashReport];
        chai.expect(first.ranMs).to.be.least(report.ranMs);
        chai.expect(second.ranMs - first.ranMs).to.be.above(MIN_REPEAT_MS);
    });

    it("fail the start of a host whose port is taken, so that it does not hang", async () => {
        const failure = await open(1).then(() => undefined, (error: Error) => error.message);
        chai.expect(failure).to.match(/EADDRINUSE/);
    });

    it("end with the host, also those whose repeat is due or that are sent later", async () => {
        sender.quarantine.broadcastCrash(report);
        await scope.close();
        sender.quarantine.broadcastCleared(["p"]);
        const limit = { ratePerSecond: 1, burst: 1, version: 1 };
        const charges = ["north", "south", "east"].map((name) =>
            sender.charge(messages.Ledger.Workspaces, name, limit, 1)
        );
        await Promise.all(charges);
        // Longer than the interval between the repeats.
        await new Promise((resolve) => setTimeout(resolve, 2 * MIN_REPEAT_MS));
    });

    it("that this build cannot read are ignored, and those of earlier builds are read", async () => {
        const socket = dgram.createSocket("udp4");
        scope.defer(() => new Promise((resolve) => socket.close(resolve)));
        const sendRaw = (message: unknown) => socket.send(JSON.stringify(message), port + 1, "127.0.0.1");
        for (const kind of ["charge", "charged", "refund", "crashes", "limit", "barred", "cleared", "news", "later"]) {
            sendRaw({ kind });
        }
        const limit = { ratePerSecond: 1, burst: 1, version: 1 };
        sendRaw({ kind: "charge", id: 1, ledger: "later", workspace: "north", limit, cost: 1 });
        sendRaw({ kind: "crashes", reports: [{ content: "c", incarnation: "a@1" }] });
        await waitForReports(1);
        chai.expect(quarantine.received[0]).to.deep.equal({
            service: "",
            content: "c",
            parts: [],
            incarnation: "a@1",
            ranMs: 0,
        });
    });

    it("tell what the store holds only if they come from a registered host", async () => {
        const stranger = dgram.createSocket("udp4");
        scope.defer(() => new Promise((resolve) => stranger.close(resolve)));
        const listing = { era: 1, revision: 5, zones: [{ zone: "a", revision: 5 }] };
        const change = { from: "d", patch: "[]" };
        const news = { era: 1, revision: 5, upstreams: "d", ageMs: 0, configuration: 7 };
        const told = {
            ...news,
            upstreamsChange: change,
            configurationChange: { ...change, digest: "d" },
            evacuations: listing,
        };
        for (const message of [{ kind: "evacuations", listing }, { kind: "news", news: told }]) {
            stranger.send(JSON.stringify(message), port + 1, "127.0.0.1");
        }
        for (let tries = 0; tries < 100 && updates.length < 1; tries++) {
            await lifecycle.pause(scope, 20);
        }
        chai.expect(JSON.parse(JSON.stringify(updates))).to.deep.equal([news]);
        chai.expect(listings).to.deep.equal([]);
        sender.sendStoreUpdate(told, hosts.slice(1));
        for (let tries = 0; tries < 100 && updates.length < 2; tries++) {
            await lifecycle.pause(scope, 20);
        }
        chai.expect(updates[1]).to.deep.equal(told);
    });
});
