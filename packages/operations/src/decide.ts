import * as decision from "@citronlead/decision";
import * as call from "./call.js";
import * as records from "./record.js";

enum Phase {
    /** Writing the claim to the record, until it is known whether the write took effect. */
    Claiming = "claiming",
    /** Another attempt has claimed the record; polling it until that attempt ends. */
    Waiting = "waiting",
    Running = "running",
    /** Writing the outcome of the attempt to the record. */
    Recording = "recording",
    Ended = "ended",
}

/** The state of one call. */
export interface CallState {
    readonly settings: call.CallSettings;
    readonly phase: Phase;
    /** Whether the caller was given its final response: an answer or a refusal. */
    readonly answered: boolean;
    /** Whether the call was passed on to be sent to an upstream. */
    readonly sent: boolean;
    /** The record that this attempt writes. */
    readonly record: records.OperationRecord;
    /** The revision that the key must have for the write to succeed; 0 means that it must not exist. */
    readonly expectedRevision: number;
    readonly phaseStartedAt: decision.Milliseconds;
    /** Whether a claim whose write was not answered may have taken effect. */
    readonly claimInDoubt: boolean;
    /** The delay before the next write or read; doubles with each retry. */
    readonly retryDelayMs: decision.Milliseconds;
}

type Transition = decision.Transition<CallState, call.CallAction>;

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2_000;
/** How long the write of a claim is retried while the key-value service does not answer. */
const CLAIM_TIMEOUT_MS = 3_000;
/** How long the write of an outcome is retried while the key-value service does not answer. */
const RECORDING_TIMEOUT_MS = 10 * 60 * decision.SECOND_MS;
/** How long a call waits for another attempt before its caller is told that the outcome is unknown. */
const WAITING_TIMEOUT_MS = 60 * decision.SECOND_MS;
/** The last write or read is made this long before the deadline, so that its answer still arrives in time. */
const DEADLINE_MARGIN_MS = 50;
const RETRY_AFTER_MS = 1_000;
const OUTAGE_RETRY_AFTER_MS = 5_000;

/** Runs one call with an idempotency key at most once across all hosts. See docs/design/run-once.md. */
export const operationModule: decision.DecisionModule<call.CallSettings, CallState, call.CallEvent, call.CallAction> = {
    name: "operation",
    start: (settings, now) => ({
        settings,
        phase: Phase.Claiming,
        answered: false,
        sent: false,
        record: {
            state: records.RecordState.Claimed,
            attempt: settings.attempt,
            contentHash: settings.contentHash,
        },
        expectedRevision: 0,
        phaseStartedAt: now,
        claimInDoubt: false,
        retryDelayMs: INITIAL_RETRY_DELAY_MS,
    }),
    decide,
};

function decide(state: CallState, event: call.CallEvent, now: decision.Milliseconds): Transition {
    switch (event.kind) {
        case call.CallEventKind.Begin:
            return conditionalWrite(state);
        case call.CallEventKind.Aborted:
            return aborted(state);
        case call.CallEventKind.RunEnded:
            return runEnded(state, event, now);
        case call.CallEventKind.TimerFired:
            return timerFired(state, now);
        case call.CallEventKind.ReadAnswered:
            return state.phase === Phase.Waiting
                ? handleExistingRecord(state, event.current, now)
                : decision.withoutActions(state);
        case call.CallEventKind.ReadError:
            return state.phase === Phase.Waiting ? waitForOtherAttempt(state, now) : decision.withoutActions(state);
        case call.CallEventKind.WriteAnswered:
            return state.phase === Phase.Recording
                ? recordingWriteAnswered(state, event, now)
                : claimWriteAnswered(state, event, now);
        case call.CallEventKind.WriteUnanswered:
            return state.phase === Phase.Recording
                ? recordingWriteUnanswered(state, now)
                : claimWriteUnanswered({ ...state, claimInDoubt: state.claimInDoubt || event.reached }, now);
    }
}

type WriteAnsweredEvent = Extract<call.CallEvent, { kind: call.CallEventKind.WriteAnswered; }>;
type RunEndedEvent = Extract<call.CallEvent, { kind: call.CallEventKind.RunEnded; }>;

function claimWriteAnswered(state: CallState, event: WriteAnsweredEvent, now: decision.Milliseconds): Transition {
    if (state.phase !== Phase.Claiming) {
        return decision.withoutActions(state);
    }
    if (event.succeeded) {
        return claimSucceeded({ ...state, expectedRevision: event.revision }, now);
    }
    if (event.current?.record.attempt === state.settings.attempt) {
        return claimSucceeded({ ...state, expectedRevision: event.current.modRevision }, now);
    }
    if (state.answered) {
        return end(state);
    }
    return handleExistingRecord({ ...state, claimInDoubt: false }, event.current, now);
}

/**
 * The record belongs to this attempt. The call is sent only if its caller still waits and the lease keeps the record
 * for the whole retention; otherwise the record is set to NotRun.
 */
function claimSucceeded(state: CallState, now: decision.Milliseconds): Transition {
    const { deadline, leaseEndsAt } = state.settings;
    if (!state.answered && now < deadline && leaseEndsAt - now >= records.RETENTION_MS) {
        decision.invariant(!state.sent, "a call is sent at most once");
        const next = { ...state, phase: Phase.Running, sent: true, phaseStartedAt: now };
        return { state: next, actions: [{ kind: call.CallActionKind.Run }] };
    }
    const refused = refuse(state, call.RefusalCause.RecordUnavailable, false, RETRY_AFTER_MS);
    return andThen(refused, (next) => startRecording(next, { state: records.RecordState.NotRun }, now));
}

function claimWriteUnanswered(state: CallState, now: decision.Milliseconds): Transition {
    if (state.phase !== Phase.Claiming) {
        return decision.withoutActions(state);
    }
    const timeoutAt = Math.min(state.settings.deadline - DEADLINE_MARGIN_MS, state.phaseStartedAt + CLAIM_TIMEOUT_MS);
    if (state.answered || now + state.retryDelayMs >= timeoutAt) {
        const refused = refuse(state, call.RefusalCause.RecordUnavailable, false, OUTAGE_RETRY_AFTER_MS);
        return andThen(refused, (next) => abandonClaim(next, now));
    }
    return retryLater(state);
}

/**
 * Gives up claiming the record. A claim that may have taken effect would block later attempts, so NotRun is written
 * over it; if the claim was not written, the NotRun record is created instead.
 */
function abandonClaim(state: CallState, now: decision.Milliseconds): Transition {
    return state.claimInDoubt
        ? startRecording(state, { state: records.RecordState.NotRun }, now)
        : end(state);
}

/** Reacts to the record of another attempt, or to a missing record: replays, refuses, claims or waits. */
function handleExistingRecord(
    state: CallState,
    current: records.VersionedRecord | undefined,
    now: decision.Milliseconds,
): Transition {
    if (!current) {
        return claim(state, 0, now);
    }
    const { record, modRevision } = current;
    if (record.state === records.RecordState.Unknown && record.attempt === "") {
        return andThen(refuse(state, call.RefusalCause.OutcomeUnknown, true), end);
    }
    if (record.contentHash !== state.settings.contentHash) {
        return andThen(refuse(state, call.RefusalCause.Conflict, false), end);
    }
    switch (record.state) {
        case records.RecordState.Done:
            return record.answer
                ? andThen(answer(state, record.answer, true), end)
                : andThen(refuse(state, call.RefusalCause.AnswerNotKept, true), end);
        case records.RecordState.Unknown:
            return andThen(refuse(state, call.RefusalCause.OutcomeUnknown, true), end);
        case records.RecordState.NotRun:
            return claim(state, modRevision, now);
        case records.RecordState.Claimed:
            return waitForOtherAttempt(state, now);
    }
}

function claim(state: CallState, expectedRevision: number, now: decision.Milliseconds): Transition {
    const phaseStartedAt = state.phase === Phase.Claiming ? state.phaseStartedAt : now;
    return conditionalWrite({ ...state, phase: Phase.Claiming, expectedRevision, phaseStartedAt });
}

function waitForOtherAttempt(state: CallState, now: decision.Milliseconds): Transition {
    const phaseStartedAt = state.phase === Phase.Waiting ? state.phaseStartedAt : now;
    const waiting = { ...state, phase: Phase.Waiting, phaseStartedAt };
    const remainingMs = Math.min(state.settings.deadline, phaseStartedAt + WAITING_TIMEOUT_MS) - now
        - DEADLINE_MARGIN_MS;
    if (remainingMs <= 0) {
        return andThen(refuse(waiting, call.RefusalCause.OutcomeUnknown, true, RETRY_AFTER_MS), end);
    }
    return retryLater(waiting, remainingMs);
}

function runEnded(state: CallState, event: RunEndedEvent, now: decision.Milliseconds): Transition {
    if (state.phase !== Phase.Running) {
        return decision.withoutActions(state);
    }
    if (event.result === call.RunKind.Answered && event.answer) {
        const storedAnswer = event.answer.body.length <= records.ANSWER_LIMIT_CHARACTERS ? event.answer : undefined;
        const outcome = { state: records.RecordState.Done, answer: storedAnswer };
        return andThen(answer(state, event.answer, false), (next) => startRecording(next, outcome, now));
    }
    const didNotRun = event.result === call.RunKind.NotRun;
    const outcome = { state: didNotRun ? records.RecordState.NotRun : records.RecordState.Unknown };
    const refused = refuse(state, call.RefusalCause.RunFailed, !didNotRun, RETRY_AFTER_MS);
    return andThen(refused, (next) => startRecording(next, outcome, now));
}

function aborted(state: CallState): Transition {
    const mayHaveRun = state.sent || state.phase === Phase.Waiting;
    const refused = refuse(state, call.RefusalCause.Aborted, mayHaveRun, RETRY_AFTER_MS);
    return state.phase === Phase.Waiting ? andThen(refused, end) : refused;
}

function timerFired(state: CallState, now: decision.Milliseconds): Transition {
    switch (state.phase) {
        case Phase.Claiming:
            return state.answered ? abandonClaim(state, now) : conditionalWrite(state);
        case Phase.Recording:
            return conditionalWrite(state);
        case Phase.Waiting:
            return { state, actions: [{ kind: call.CallActionKind.ReadRecord }] };
        default:
            return decision.withoutActions(state);
    }
}

function startRecording(
    state: CallState,
    outcome: Pick<records.OperationRecord, "state" | "answer">,
    now: decision.Milliseconds,
): Transition {
    const record = { ...state.record, ...outcome };
    return conditionalWrite({
        ...state,
        phase: Phase.Recording,
        record,
        phaseStartedAt: now,
        retryDelayMs: INITIAL_RETRY_DELAY_MS,
    });
}

function recordingWriteAnswered(state: CallState, event: WriteAnsweredEvent, now: decision.Milliseconds): Transition {
    const { current } = event;
    if (event.succeeded || !current) {
        return end(state);
    }
    if (current.record.attempt === state.settings.attempt) {
        return current.record.state === records.RecordState.Claimed
            ? conditionalWrite({ ...state, expectedRevision: current.modRevision })
            : end(state);
    }
    decision.invariant(
        !state.sent || state.record.state === records.RecordState.NotRun || now >= state.settings.leaseEndsAt,
        "no other attempt takes over the record of an attempt that was sent",
    );
    return end(state);
}

function recordingWriteUnanswered(state: CallState, now: decision.Milliseconds): Transition {
    return now - state.phaseStartedAt >= RECORDING_TIMEOUT_MS ? end(state) : retryLater(state);
}

function conditionalWrite(state: CallState): Transition {
    const { expectedRevision, record } = state;
    return { state, actions: [{ kind: call.CallActionKind.ConditionalWrite, expectedRevision, record }] };
}

function retryLater(state: CallState, maxDelayMs: decision.Milliseconds = MAX_RETRY_DELAY_MS): Transition {
    const retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, state.retryDelayMs * 2);
    const afterMs = Math.min(maxDelayMs, state.retryDelayMs);
    return { state: { ...state, retryDelayMs }, actions: [{ kind: call.CallActionKind.StartTimer, afterMs }] };
}

function end(state: CallState): Transition {
    decision.invariant(state.answered, "a call ends only after its caller was given a final answer");
    return { state: { ...state, phase: Phase.Ended }, actions: [{ kind: call.CallActionKind.End }] };
}

function answer(state: CallState, storedAnswer: records.StoredAnswer, replayed: boolean): Transition {
    if (state.answered) {
        return decision.withoutActions(state);
    }
    const action = { kind: call.CallActionKind.Answer as const, answer: storedAnswer, replayed };
    return { state: { ...state, answered: true }, actions: [action] };
}

/** Refuses the call unless its caller was given a final response already. */
function refuse(
    state: CallState,
    cause: call.RefusalCause,
    mayHaveRun: boolean,
    retryAfterMs?: decision.Milliseconds,
): Transition {
    if (state.answered) {
        return decision.withoutActions(state);
    }
    decision.invariant(
        mayHaveRun || !state.sent || cause === call.RefusalCause.RunFailed,
        "a call that was sent is not refused as not run",
    );
    const action = { kind: call.CallActionKind.Refuse as const, cause, mayHaveRun, retryAfterMs };
    return { state: { ...state, answered: true }, actions: [action] };
}

function andThen(first: Transition, next: (state: CallState) => Transition): Transition {
    const second = next(first.state);
    return { state: second.state, actions: [...first.actions, ...second.actions] };
}
