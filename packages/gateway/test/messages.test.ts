import * as chai from "chai";
import * as fastCheck from "fast-check";
import type * as http from "node:http";
import * as messages from "../src/messages.js";
import * as envelopes from "../src/relay/envelope.js";

const MAX_DURATION_MS = 2_147_483_647;

/** All numbers in a value. */
function numbersIn(value: unknown): number[] {
    if (typeof value === "number") {
        return [value];
    }
    return typeof value === "object" && value !== null ? Object.values(value).flatMap(numbersIn) : [];
}

const anyNumber = fastCheck.oneof(
    fastCheck.nat(),
    fastCheck.double(),
    fastCheck.constantFrom(-1, 1e308, 1e16, 0.5, "1e999", null),
);
const anyText = fastCheck.oneof(fastCheck.string(), fastCheck.constant("x".repeat(1_500)), fastCheck.anything());
const anyMessage = fastCheck.record({
    kind: fastCheck.oneof(fastCheck.constantFrom(...Object.values(messages.MessageKind)), fastCheck.string()),
    id: anyNumber,
    ledger: fastCheck.constantFrom("workspaces", "upstreams", "odd"),
    workspace: anyText,
    limit: fastCheck.record({ ratePerSecond: anyNumber, burst: anyNumber, version: anyNumber }),
    cost: anyNumber,
    answer: fastCheck.record({ granted: fastCheck.boolean(), waitMs: anyNumber, bucket: anyNumber }),
    bucket: anyNumber,
    reports: fastCheck.array(fastCheck.record({ content: anyText, incarnation: anyText, ranMs: anyNumber })),
    incarnation: anyText,
    perSecond: anyNumber,
    fingerprints: fastCheck.array(anyText),
    news: fastCheck.record({ era: anyNumber, revision: anyNumber, upstreams: anyText, ageMs: anyNumber }),
}, { requiredKeys: ["kind"] });

// Guards against odd numbers and texts of other hosts that make limits, clocks or timers unusable.
describe("What other hosts send", () => {
    it("is read as a message whose numbers can be used, or not at all", () => {
        fastCheck.assert(
            fastCheck.property(anyMessage, (value) => {
                const message = messages.parseMessage(Buffer.from(JSON.stringify(value)));
                for (const number of numbersIn(message)) {
                    chai.expect(number).to.be.within(0, 1e15);
                }
            }),
            { numRuns: 5_000 },
        );
        fastCheck.assert(fastCheck.property(fastCheck.uint8Array(), (bytes) => {
            chai.expect(() => messages.parseMessage(Buffer.from(bytes))).to.not.throw();
        }));
        chai.expect(messages.parseMessage(Buffer.from("[".repeat(60_000)))).to.equal(undefined);
    });

    it("is told apart by what makes it unreadable", () => {
        const reasonOf = (text: string) => messages.unreadReason(Buffer.from(text));
        chai.expect(reasonOf(`{"kind":"kind to come","fingerprints":[]}`)).to.equal(messages.UnreadReason.UnknownKind);
        for (const text of [`{"kind":"barred"}`, `{"kind":7}`, "{}", "no JSON"]) {
            chai.expect(reasonOf(text), text).to.equal(messages.UnreadReason.Malformed);
        }
    });

    it("about a relayed request is read as a time that a timer can wait, or as none", () => {
        const anyEnvelope = fastCheck.record({ timeLeftMs: anyNumber, configuration: anyNumber, more: anyText });
        const anyHeader = fastCheck.oneof(anyEnvelope.map((value) => JSON.stringify(value)), fastCheck.string());
        fastCheck.assert(fastCheck.property(anyHeader, (text) => {
            const request = { headers: { "citronlead-relay-request": text } } as unknown as http.IncomingMessage;
            envelopes.markRelayed(request);
            chai.expect(envelopes.relayedRequestOf(request)?.timeLeftMs).to.be.within(0, MAX_DURATION_MS);
        }));
    });

    it("about a refusal is read as a time that can be told to a caller, or as none", () => {
        const anyRefusal = fastCheck.record({ reason: anyText, retryAfterMs: anyNumber });
        const anyHeader = fastCheck.oneof(anyRefusal.map((value) => JSON.stringify(value)), fastCheck.string());
        fastCheck.assert(fastCheck.property(anyHeader, (text) => {
            const refusal = envelopes.parseRefusal({ "citronlead-relay-refusal": text });
            chai.expect(refusal?.retryAfterMs ?? 0).to.be.within(0, MAX_DURATION_MS);
        }));
    });
});
