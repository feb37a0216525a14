import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as operations from "../src/index.js";

const GOLDEN = path.resolve(import.meta.dirname, "../../test/golden");
const { CallEventKind, CallActionKind, RecordState } = operations;

const settings: operations.CallSettings = {
    attempt: "a-1",
    contentHash: "hash",
    deadline: 10_000,
    leaseEndsAt: operations.LEASE_MS,
};
const answer: operations.StoredAnswer = { status: 200, contentType: "application/json", body: "e30=" };

function versioned(state: operations.RecordState, attempt: string, modRevision: number): operations.VersionedRecord {
    return { record: { state, attempt, contentHash: "hash" }, modRevision };
}

function event(now: number, told: operations.CallEvent) {
    return { now, event: told };
}

/** The actions of the last event of a call. */
function lastActions(events: readonly (readonly [number, operations.CallEvent])[], changes: object = {}) {
    let state = operations.operationModule.start({ ...settings, ...changes }, 0);
    let actions: readonly operations.CallAction[] = [];
    for (const [now, told] of events) {
        ({ state, actions } = operations.operationModule.decide(state, told, now));
    }
    return actions;
}

describe("a call that runs at most once", () => {
    it("resolves lost answers of both writes (golden session)", () => {
        const lines = decision.runSession(operations.operationModule, [
            { now: 0, settings },
            event(0, { kind: CallEventKind.Begin }),
            event(1_000, { kind: CallEventKind.SwapLost, reached: true }),
            event(1_050, { kind: CallEventKind.Woken }),
            event(1_055, {
                kind: CallEventKind.Swapped,
                succeeded: false,
                revision: 7,
                current: versioned(RecordState.Claimed, "a-1", 7),
            }),
            event(1_400, { kind: CallEventKind.RunEnded, result: operations.RunKind.Answered, answer }),
            event(2_400, { kind: CallEventKind.SwapLost, reached: true }),
            event(2_450, { kind: CallEventKind.Woken }),
            event(2_455, {
                kind: CallEventKind.Swapped,
                succeeded: false,
                revision: 8,
                current: versioned(RecordState.Done, "a-1", 8),
            }),
        ]);
        testing.expectGolden(path.join(GOLDEN, "lost-answers.jsonl"), lines);
    });

    it("waits for another attempt, then takes its record over when that did not run (golden session)", () => {
        const other = versioned(RecordState.Claimed, "a-0", 3);
        const lines = decision.runSession(operations.operationModule, [
            { now: 0, settings },
            event(0, { kind: CallEventKind.Begin }),
            event(5, { kind: CallEventKind.Swapped, succeeded: false, revision: 3, current: other }),
            event(55, { kind: CallEventKind.Woken }),
            event(60, { kind: CallEventKind.Read, current: other }),
            event(160, { kind: CallEventKind.Woken }),
            event(165, { kind: CallEventKind.Read, current: versioned(RecordState.NotRun, "a-0", 4) }),
            event(170, { kind: CallEventKind.Swapped, succeeded: true, revision: 5 }),
            event(300, { kind: CallEventKind.RunEnded, result: operations.RunKind.Answered, answer }),
            event(305, { kind: CallEventKind.Swapped, succeeded: true, revision: 6 }),
        ]);
        testing.expectGolden(path.join(GOLDEN, "takeover.jsonl"), lines);
    });

    it("is refused as not run while the key-value service is away, and sends nothing", () => {
        const lost = { kind: CallEventKind.SwapLost, reached: false } as const;
        const actions = lastActions([[0, { kind: CallEventKind.Begin }], [3_000, lost]]);
        chai.expect(actions.map((action) => action.kind)).to.deep.equal([CallActionKind.Refuse, CallActionKind.End]);
        chai.expect(actions[0]).to.include({ cause: operations.RefusalCause.RecordUnavailable, mayHaveRun: false });
    });

    it("replaces a claim in doubt by a record that says not run", () => {
        const lost = { kind: CallEventKind.SwapLost, reached: true } as const;
        const actions = lastActions([[0, { kind: CallEventKind.Begin }], [3_000, lost]]);
        chai.expect(actions[1]).to.deep.include({ kind: CallActionKind.Swap, expectedRevision: 0 });
        chai.expect(actions[1]).to.have.nested.property("record.state", RecordState.NotRun);
    });

    it("sends nothing when its host was paused past the deadline or past the lease", () => {
        const claimed = { kind: CallEventKind.Swapped, succeeded: true, revision: 1 } as const;
        for (const [now, changes] of [[10_000, {}], [5, { leaseEndsAt: operations.RETENTION_MS }]] as const) {
            const actions = lastActions([[0, { kind: CallEventKind.Begin }], [now, claimed]], changes);
            chai.expect(actions.map((action) => action.kind)).to.deep.equal([
                CallActionKind.Refuse,
                CallActionKind.Swap,
            ]);
        }
    });

    it("answers a repeat from the record, a mistaken one with a conflict, an unreadable one with unknown", () => {
        const told = (current: operations.VersionedRecord) =>
            lastActions([
                [0, { kind: CallEventKind.Begin }],
                [5, { kind: CallEventKind.Swapped, succeeded: false, revision: 9, current }],
            ])[0];
        const done = versioned(RecordState.Done, "a-0", 9);
        chai.expect(told({ ...done, record: { ...done.record, answer } })).to.include({ replayed: true });
        chai.expect(told(done)).to.include({ cause: operations.RefusalCause.AnswerNotKept, mayHaveRun: true });
        chai.expect(told({ ...done, record: { ...done.record, contentHash: "other" } }))
            .to.include({ cause: operations.RefusalCause.Conflict, mayHaveRun: false });
        chai.expect(told({ record: operations.readRecord("{"), modRevision: 9 }))
            .to.include({ cause: operations.RefusalCause.OutcomeUnknown, mayHaveRun: true });
    });

    it("keeps no answer that is too large and says so to a repeat", () => {
        const large = { ...answer, body: "a".repeat(operations.ANSWER_LIMIT_CHARACTERS + 1) };
        const actions = lastActions([
            [0, { kind: CallEventKind.Begin }],
            [5, { kind: CallEventKind.Swapped, succeeded: true, revision: 1 }],
            [9, { kind: CallEventKind.RunEnded, result: operations.RunKind.Answered, answer: large }],
        ]);
        chai.expect(actions[0]).to.deep.include({ kind: CallActionKind.Answer, answer: large });
        chai.expect(actions[1]).to.have.nested.property("record.state", RecordState.Done);
        chai.expect(actions[1]).to.not.have.nested.property("record.answer.body");
    });
});
