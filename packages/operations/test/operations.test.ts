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

function input(now: number, event: operations.CallEvent) {
    return { now, event };
}

/** Runs a call through the events and returns the actions of the last one. */
function lastActions(events: readonly (readonly [number, operations.CallEvent])[], settingsOverrides: object = {}) {
    let state = operations.operationModule.start({ ...settings, ...settingsOverrides }, 0);
    let actions: readonly operations.CallAction[] = [];
    for (const [now, event] of events) {
        ({ state, actions } = operations.operationModule.decide(state, event, now));
    }
    return actions;
}

describe("a call that runs at most once", () => {
    it("recovers when the answers to both writes are lost (golden session)", () => {
        const lines = decision.runSession(operations.operationModule, [
            { now: 0, settings },
            input(0, { kind: CallEventKind.Begin }),
            input(1_000, { kind: CallEventKind.WriteUnanswered, reached: true }),
            input(1_050, { kind: CallEventKind.TimerFired }),
            input(1_055, {
                kind: CallEventKind.WriteAnswered,
                succeeded: false,
                revision: 7,
                current: versioned(RecordState.Claimed, "a-1", 7),
            }),
            input(1_400, { kind: CallEventKind.RunEnded, result: operations.RunKind.Answered, answer }),
            input(2_400, { kind: CallEventKind.WriteUnanswered, reached: true }),
            input(2_450, { kind: CallEventKind.TimerFired }),
            input(2_455, {
                kind: CallEventKind.WriteAnswered,
                succeeded: false,
                revision: 8,
                current: versioned(RecordState.Done, "a-1", 8),
            }),
        ]);
        testing.expectGolden(path.join(GOLDEN, "lost-answers.jsonl"), lines);
    });

    it("waits for another attempt and takes over the record if that attempt did not run (golden session)", () => {
        const other = versioned(RecordState.Claimed, "a-0", 3);
        const lines = decision.runSession(operations.operationModule, [
            { now: 0, settings },
            input(0, { kind: CallEventKind.Begin }),
            input(5, { kind: CallEventKind.WriteAnswered, succeeded: false, revision: 3, current: other }),
            input(55, { kind: CallEventKind.TimerFired }),
            input(60, { kind: CallEventKind.ReadAnswered, current: other }),
            input(160, { kind: CallEventKind.TimerFired }),
            input(165, { kind: CallEventKind.ReadAnswered, current: versioned(RecordState.NotRun, "a-0", 4) }),
            input(170, { kind: CallEventKind.WriteAnswered, succeeded: true, revision: 5 }),
            input(300, { kind: CallEventKind.RunEnded, result: operations.RunKind.Answered, answer }),
            input(305, { kind: CallEventKind.WriteAnswered, succeeded: true, revision: 6 }),
        ]);
        testing.expectGolden(path.join(GOLDEN, "takeover.jsonl"), lines);
    });

    it("is refused as not run and is not sent while the key-value service is unreachable", () => {
        const lost = { kind: CallEventKind.WriteUnanswered, reached: false } as const;
        const actions = lastActions([[0, { kind: CallEventKind.Begin }], [3_000, lost]]);
        chai.expect(actions.map((action) => action.kind)).to.deep.equal([CallActionKind.Refuse, CallActionKind.End]);
        chai.expect(actions[0]).to.include({ cause: operations.RefusalCause.RecordUnavailable, mayHaveRun: false });
    });

    it("overwrites a claim that may have taken effect with a NotRun record", () => {
        const lost = { kind: CallEventKind.WriteUnanswered, reached: true } as const;
        const actions = lastActions([[0, { kind: CallEventKind.Begin }], [3_000, lost]]);
        chai.expect(actions[1]).to.deep.include({ kind: CallActionKind.ConditionalWrite, expectedRevision: 0 });
        chai.expect(actions[1]).to.have.nested.property("record.state", RecordState.NotRun);
    });

    it("is not sent if its host was paused past the deadline or the lease expires too soon", () => {
        const claimed = { kind: CallEventKind.WriteAnswered, succeeded: true, revision: 1 } as const;
        for (const [now, changes] of [[10_000, {}], [5, { leaseEndsAt: operations.RETENTION_MS }]] as const) {
            const actions = lastActions([[0, { kind: CallEventKind.Begin }], [now, claimed]], changes);
            chai.expect(actions.map((action) => action.kind)).to.deep.equal([
                CallActionKind.Refuse,
                CallActionKind.ConditionalWrite,
            ]);
        }
    });

    it("replays a stored answer, reports other content as a conflict and a malformed record as unknown", () => {
        const firstAction = (current: operations.VersionedRecord) =>
            lastActions([
                [0, { kind: CallEventKind.Begin }],
                [5, { kind: CallEventKind.WriteAnswered, succeeded: false, revision: 9, current }],
            ])[0];
        const done = versioned(RecordState.Done, "a-0", 9);
        chai.expect(firstAction({ ...done, record: { ...done.record, answer } })).to.include({ replayed: true });
        chai.expect(firstAction(done)).to.include({ cause: operations.RefusalCause.AnswerNotKept, mayHaveRun: true });
        chai.expect(firstAction({ ...done, record: { ...done.record, contentHash: "other" } }))
            .to.include({ cause: operations.RefusalCause.Conflict, mayHaveRun: false });
        chai.expect(firstAction({ record: operations.parseRecord("{"), modRevision: 9 }))
            .to.include({ cause: operations.RefusalCause.OutcomeUnknown, mayHaveRun: true });
    });

    it("does not store an answer that is too large", () => {
        const large = { ...answer, body: "a".repeat(operations.ANSWER_LIMIT_CHARACTERS + 1) };
        const actions = lastActions([
            [0, { kind: CallEventKind.Begin }],
            [5, { kind: CallEventKind.WriteAnswered, succeeded: true, revision: 1 }],
            [9, { kind: CallEventKind.RunEnded, result: operations.RunKind.Answered, answer: large }],
        ]);
        chai.expect(actions[0]).to.deep.include({ kind: CallActionKind.Answer, answer: large });
        chai.expect(actions[1]).to.have.nested.property("record.state", RecordState.Done);
        chai.expect(actions[1]).to.not.have.nested.property("record.answer.body");
    });
});
