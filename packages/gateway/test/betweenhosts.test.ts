import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as dgram from "node:dgram";
import * as fs from "node:fs";
import type * as http from "node:http";
import * as limits from "../src/limits.js";
import * as logs from "../src/log.js";
import * as messages from "../src/messages.js";
import * as peers from "../src/peers.js";
import * as quarantines from "../src/quarantine.js";
import * as envelopes from "../src/relay/envelope.js";

/** What the release in production writes, one message a line; see docs/design/between-hosts.md. */
const GOLDEN = new URL("../../test/golden/messages-11e9979.jsonl", import.meta.url);
/** What this build writes in kinds that the release does not know, and so passes over. */
const GOLDEN_SINCE = new URL("../../test/golden/messages-since-11e9979.jsonl", import.meta.url);

interface GoldenLine {
    readonly kind?: string;
    readonly relayRequest?: string;
    readonly relayRefusal?: string;
    readonly relayLeaving?: string;
}

/** The names and types of the fields of a value, with those of its parts. */
function shapeOf(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.slice(0, 1).map(shapeOf);
    }
    return typeof value === "object" && value !== null
        ? Object.fromEntries(Object.entries(value).sort().map(([name, part]) => [name, shapeOf(part)]))
        : typeof value;
}

// Guards against a change of what hosts send each other that the release in production cannot read, or the reverse.
describe("Messages between this build and the release in production", () => {
    const readLines = (file: URL) =>
        fs.readFileSync(file, "utf8").trim().split("\n").map((text) => ({
            text,
            value: JSON.parse(text) as GoldenLine,
        }));
    const lines = readLines(GOLDEN);
    const since = readLines(GOLDEN_SINCE);
    const datagrams = lines.filter(({ value }) => value.kind !== undefined);

    it("are read as the release writes them", () => {
        for (const { text, value } of [...datagrams, ...since]) {
            chai.expect(messages.parseMessage(Buffer.from(text))).to.deep.equal(value);
        }
        const kindsOf = (of: typeof lines) => new Set(of.map(({ value }) => value.kind));
        chai.expect(kindsOf([...datagrams, ...since])).to.deep.equal(new Set(Object.values(messages.MessageKind)));
        chai.expect([...kindsOf(since)].filter((kind) => kindsOf(datagrams).has(kind))).to.deep.equal([]);
    });

    it("are read although a later release has more fields", () => {
        for (const { value } of datagrams) {
            const later = Buffer.from(JSON.stringify({ ...value, fieldToCome: { more: [1] } }));
            chai.expect(messages.parseMessage(later)).to.deep.equal(value);
        }
        chai.expect(messages.parseMessage(Buffer.from(`{"kind":"kind to come"}`))).to.equal(undefined);
    });

    it("about relayed requests are read as the release writes them", () => {
        for (const { value: { relayRequest, relayRefusal, relayLeaving } } of lines) {
            if (relayRequest !== undefined) {
                const headers = { "citronlead-relay-request": relayRequest };
                const request = { headers } as unknown as http.IncomingMessage;
                envelopes.markRelayed(request);
                chai.expect(envelopes.relayedRequestOf(request)).to.deep.equal(JSON.parse(relayRequest));
                chai.expect(envelopes.relayHeaders(JSON.parse(relayRequest))).to.include(relayRequest);
            }
            if (relayRefusal !== undefined) {
                chai.expect(envelopes.parseRefusal({ "citronlead-relay-refusal": relayRefusal }))
                    .to.deep.include(JSON.parse(relayRefusal));
            }
            if (relayLeaving !== undefined) {
                chai.expect(envelopes.parseLeaving({ "citronlead-relay-leaving": relayLeaving })).to.equal(
                    relayLeaving,
                );
                chai.expect(envelopes.leavingHeaders(relayLeaving)).to.include(relayLeaving);
            }
        }
    });

    it("are written as the release reads them", async () => {
        const scope = new lifecycle.Scope("test");
        const port = testing.testPortBase(3_200);
        const clock = lifecycle.monotonicClock;
        const log = logs.makeDecisionLog({}, clock, () => undefined);
        const written: messages.Message[] = [];
        const other = dgram.createSocket("udp4");
        await new Promise<void>((resolve) => other.bind(port + 1, "127.0.0.1", resolve));
        other.on("message", (bytes, from) => {
            const message = JSON.parse(bytes.toString()) as messages.Message;
            written.push(message);
            if (message.kind === messages.MessageKind.Charge) {
                const reply = {
                    kind: messages.MessageKind.ChargeReply,
                    id: message.id,
                    answer: { granted: true, bucket: 1 },
                };
                other.send(JSON.stringify(reply), from.port, from.address);
            }
        });
        const self = `127.0.0.1:${port}`;
        const channel = await peers.openPeers({
            scope,
            clock,
            log,
            listen: { address: "127.0.0.1", port },
            hosts: () => [`127.0.0.1:${port}`, `127.0.0.1:${port + 1}`],
            quotaTolerance: () => 0,
            quotaWindowMs: 8_000,
            quarantine: new quarantines.Quarantine(clock, log, () => 0),
            limits: new limits.UpstreamLimits(clock, log),
            onStoreUpdate: () => undefined,
            evacuations: () => undefined,
            onEvacuations: () => undefined,
            onTurnMessage: () => undefined,
            onUnread: () => undefined,
        });
        for (const name of ["a", "b", "c", "d", "e", "f", "g", "h"]) {
            const limit = { ratePerSecond: 100, burst: 50, version: 3 };
            (await channel.charge(messages.Ledger.Workspaces, name, limit, 12.5)).refund();
        }
        channel.broadcastLimit("i-1@17", 2.5);
        channel.quarantine.broadcastCrash({
            service: "model",
            content: "c0ffee",
            parts: ["p1"],
            incarnation: "i-1@17",
            ranMs: 12,
        });
        const observation = {
            id: 7,
            incarnation: "i-1@17",
            state: dispatch.ObservedState.Refused,
            observer: self,
            ageMs: 3,
        };
        channel.sendObservations([observation], [`127.0.0.1:${port + 1}`]);
        const samples = { incarnation: "i-1@17", kind: dispatch.SpeedKind.Prefill, unitMs: 0.02, count: 2 };
        channel.sendSpeeds([samples], [`127.0.0.1:${port + 1}`]);
        channel.quarantine.broadcastBarred(["c0ffee"]);
        channel.quarantine.broadcastCleared(["p1"]);
        const update = { era: 2, revision: 45, upstreams: "digest", ageMs: 12.5, configuration: 7 };
        channel.sendStoreUpdate(update, [`127.0.0.1:${port + 1}`]);
        const emptied = { era: 2, revision: 44, zones: [{ zone: "a", revision: 41 }] };
        channel.sendStoreUpdate({ ...update, evacuations: emptied }, [`127.0.0.1:${port + 1}`]);
        await lifecycle.pause(scope, 300);
        await scope.close();
        await new Promise<void>((resolve) => other.close(() => resolve()));
        const known = [...datagrams, ...since].map(({ value }) => JSON.stringify(shapeOf(value)));
        chai.expect(written.length).to.be.above(6);
        for (const message of written) {
            if (message.kind === messages.MessageKind.StoreUpdate && message.news.evacuations) {
                // A field more, which the release passes over.
                chai.expect(messages.parseMessage(Buffer.from(JSON.stringify(message)))).to.deep.equal(message);
                delete message.news.evacuations;
            }
            chai.expect(known).to.include(JSON.stringify(shapeOf(message)));
        }
    });
});
