import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as url from "node:url";
import * as admission from "../src/index.js";

const GOLDEN = url.fileURLToPath(new URL("../../test/golden/session.jsonl", import.meta.url));
const HOST = "braga-a-1";
const WORKSPACE = "atelier";
const LEASE_MS = 5_000;
const NETWORK_MS = 1;

type Input = decision.SessionInput<admission.Settings, admission.Event>;

/** Records the session of one host that owns all slices of a workspace and receives its own messages. */
class SessionRecorder {
    readonly inputs: Input[] = [{ now: 0, settings: { host: HOST } }];
    readonly answers: admission.Answer[] = [];
    private state = admission.start({ host: HOST });
    private messages: { readonly at: number; readonly message: admission.Message; }[] = [];
    private readonly wakes = new Map<string, number>();
    private rightUntil = LEASE_MS;

    feed(now: number, event: admission.Event): void {
        this.inputs.push({ now, event });
        const next = admission.decide(this.state, event, now);
        this.state = next.state;
        for (const action of next.actions) {
            this.carryOut(now, action);
        }
    }

    private carryOut(now: number, action: admission.Action): void {
        if (action.kind === admission.ActionKind.Send) {
            this.messages.push({ at: now + NETWORK_MS, message: action.message });
        }
        else if (action.kind === admission.ActionKind.Answer) {
            this.answers.push(action);
        }
        else if (action.kind === admission.ActionKind.WakeAt) {
            this.wakes.set(action.subject, action.at ?? Infinity);
        }
    }

    /** Delivers messages and wake-ups up to a time. */
    advance(until: number): void {
        for (;;) {
            const message = this.messages[0];
            const [subject, at] = [...this.wakes].sort((left, right) => left[1] - right[1])[0] ?? ["", Infinity];
            if (Math.min(message?.at ?? Infinity, at) > until) {
                return;
            }
            if (message && message.at <= at) {
                this.messages.shift();
                this.feed(message.at, {
                    kind: admission.EventKind.Message,
                    from: HOST,
                    message: message.message,
                    right: this.right(message.at),
                });
            }
            else {
                this.wakes.delete(subject);
                this.feed(at, { kind: admission.EventKind.Wake, subject, right: this.right(at) });
            }
        }
    }

    private right(now: number): admission.Right | undefined {
        return now < this.rightUntil ? { fencing: 1, until: this.rightUntil } : undefined;
    }

    /** Sets when the rights expire. */
    setRightEnd(until: number): void {
        this.rightUntil = until;
    }

    requestTokens(now: number, requestId: string, tokens: number, patienceMs: number): void {
        this.advance(now);
        this.feed(now, {
            kind: admission.EventKind.AdmissionRequest,
            requestId,
            workspace: WORKSPACE,
            tokens,
            deadline: now + patienceMs,
            order: [0, 1, 2],
        });
    }
}

function recordSession(): SessionRecorder {
    const recorder = new SessionRecorder();
    const partition = (slice: number) => membership.slicePartition(WORKSPACE, slice);
    const configure = (now: number, revision: number, tokensPerSecond: number) =>
        recorder.feed(now, {
            kind: admission.EventKind.Configuration,
            revision,
            workspaces: { [WORKSPACE]: { tokensPerSecond, burstTokens: 600 } },
        });
    configure(0, 1, 300);
    for (const slice of [0, 1, 2]) {
        const right = { fencing: 1, until: LEASE_MS };
        recorder.feed(1, {
            kind: admission.EventKind.OwnershipGained,
            partition: partition(slice),
            right,
            floorRevision: 1,
        });
    }
    recorder.requestTokens(1_000, "fits", 60, 2_000);
    recorder.requestTokens(1_100, "gathers", 240, 2_000);
    recorder.requestTokens(1_200, "too-late", 590, 300);
    recorder.requestTokens(1_210, "leaves", 400, 2_000);
    recorder.requestTokens(1_220, "beyond-burst", 601, 2_000);
    recorder.advance(1_300);
    recorder.feed(1_300, { kind: admission.EventKind.Cancel, requestId: "leaves" });
    recorder.advance(3_500);
    recorder.feed(3_500, { kind: admission.EventKind.Settle, requestId: "fits", usedTokens: 10 });
    recorder.setRightEnd(8_000);
    configure(3_600, 2, 150);
    recorder.requestTokens(3_700, "under-new-terms", 100, 2_000);
    recorder.advance(6_000);
    recorder.feed(6_000, { kind: admission.EventKind.HandOver, partition: partition(0), nextHost: "porto-b-2" });
    recorder.requestTokens(6_100, "elsewhere", 20, 1_000);
    recorder.requestTokens(8_100, "right-lapsed", 20, 500);
    recorder.advance(9_000);
    return recorder;
}

describe("an admission session", () => {
    it("matches its golden file", () => {
        const { inputs, answers } = recordSession();
        const granted = answers.filter((answer) => answer.granted).map((answer) => answer.requestId);
        chai.expect(granted).to.deep.equal(["fits", "gathers", "under-new-terms", "elsewhere"]);
        const replayed = JSON.parse(JSON.stringify(inputs)) as Input[];
        testing.expectGolden(GOLDEN, decision.runSession(admission.admissionModule, replayed));
    });
});
