import * as decision from "@citronlead/decision";
import * as call from "./call.js";
import * as records from "./record.js";

enum Phase {
    /** Writing the claim until its effect is known. */
    Claiming = "claiming",
    /** Another attempt holds the record. */
    Waiting = "waiting",
    Running = "running",
    /** Writing how the attempt ended. */
    Recording = "recording",
    Ended = "ended",
}

/** The state of one call. */
export interface CallState {
    readonly settings: call.CallSettings;
    readonly phase: Phase;
    /** Whether the caller has its final answer. */
    readonly answered: boolean;
    /** Whether the call was handed to the upstreams. */
    readonly sent: boolean;
    /** The record to write, and the revision that the key must have for it. */
    readonly record: records.OperationRecord;
    readonly expectedRevision: number;
    /** When the phase began. */
    readonly since: decision.Milliseconds;
    /** Whether a claim without an answer may have taken effect. */
    readonly claimInDoubt: boolean;
    /** How long to wait before the next try of a write or a read. */
    readonly pauseMs: decision.Milliseconds;
}

type Result = decision.Transaction<CallState, call.CallAction>;

const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 2_000;
/** How long a claim is tried while the key-value service does not answer. */
const CLAIM_PATIENCE_MS = 3_000;
/** How long the end of an attempt is tried to be written. */
const RECORDING_PATIENCE_MS = 10 * 60 * decision.SECOND_MS;
/** How long a call waits for another attempt before it is told that the outcome is unknown. */
const WAITING_PATIENCE_MS = 60 * decision.SECOND_MS;
/** The last try is made this long before the deadline, so that its answer is of use. */
const LAST_TRY_MARGIN_MS = 50;
const RETRY_AFTER_MS = 1_000;
const OUTAGE_RETRY_AFTER_MS = 5_000;

/** Decides one call that runs at most once over all hosts. See docs/design/run-once.md. */
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
        since: now,
        claimInDoubt: false,
        pauseMs: FIRST_PAUSE_MS,
    }),
    decide,
};

function decide(state: CallState, event: call.CallEvent, now: decision.Milliseconds): Result {
    switch (event.kind) {
        case call.CallEventKind.Begin:
            return swap(state);
        case call.CallEventKind.CallerLeft:
            return callerLeft(state);
        case call.CallEventKind.RunEnded:
            return runEnded(state, event, now);
        case call.CallEventKind.Woken:
            return woken(state, now);
        case call.CallEventKind.Read:
            return state.phase === Phase.Waiting ? follow(state, event.current, now) : decision.unchanged(state);
        case call.CallEventKind.ReadLost:
            return state.phase === Phase.Waiting ? waitForOther(state, now) : decision.unchanged(state);
        case call.CallEventKind.Swapped:
            return state.phase === Phase.Recording ? recorded(state, event, now) : claimAnswered(state, event, now);
        case call.CallEventKind.SwapLost:
            return state.phase === Phase.Recording
                ? recordingLost(state, now)
                : claimLost({ ...state, claimInDoubt: state.claimInDoubt || event.reached }, now);
    }
}

type Swapped = Extract<call.CallEvent, { kind: call.CallEventKind.Swapped; }>;
type RunEnded = Extract<call.CallEvent, { kind: call.CallEventKind.RunEnded; }>;

function claimAnswered(state: CallState, event: Swapped, now: decision.Milliseconds): Result {
    if (state.phase !== Phase.Claiming) {
        return decision.unchanged(state);
    }
    if (event.succeeded) {
        return claimed({ ...state, expectedRevision: event.revision }, now);
    }
    if (event.current?.record.attempt === state.settings.attempt) {
        return claimed({ ...state, expectedRevision: event.current.modRevision }, now);
    }
    if (state.answered) {
        return end(state);
    }
    return follow({ ...state, claimInDoubt: false }, event.current, now);
}

/** The record is this attempt's. It is sent only if the record outlives the call by the retention. */
function claimed(state: CallState, now: decision.Milliseconds): Result {
    const { deadline, leaseEndsAt } = state.settings;
    if (!state.answered && now < deadline && leaseEndsAt - now >= records.RETENTION_MS) {
        decision.invariant(!state.sent, "a call is sent once");
        const next = { ...state, phase: Phase.Running, sent: true, since: now };
        return { state: next, actions: [{ kind: call.CallActionKind.Run }] };
    }
    const refused = refuse(state, call.RefusalCause.RecordUnavailable, false, RETRY_AFTER_MS);
    return then(refused, (next) => startRecording(next, { state: records.RecordState.NotRun }, now));
}

function claimLost(state: CallState, now: decision.Milliseconds): Result {
    if (state.phase !== Phase.Claiming) {
        return decision.unchanged(state);
    }
    const patienceEndsAt = Math.min(state.settings.deadline - LAST_TRY_MARGIN_MS, state.since + CLAIM_PATIENCE_MS);
    if (state.answered || now + state.pauseMs >= patienceEndsAt) {
        const refused = refuse(state, call.RefusalCause.RecordUnavailable, false, OUTAGE_RETRY_AFTER_MS);
        return then(refused, (next) => giveUpClaim(next, now));
    }
    return pause(state);
}

/** Leaves no claim behind that nobody will finish: writes that the attempt did not run, over its claim or in its place. */
function giveUpClaim(state: CallState, now: decision.Milliseconds): Result {
    return state.claimInDoubt
        ? startRecording(state, { state: records.RecordState.NotRun }, now)
        : end(state);
}

/** Does what the record of another attempt permits. */
function follow(state: CallState, current: records.VersionedRecord | undefined, now: decision.Milliseconds): Result {
    if (!current) {
        return claim(state, 0, now);
    }
    const { record, modRevision } = current;
    if (record.state === records.RecordState.Unknown && record.attempt === "") {
        return then(refuse(state, call.RefusalCause.OutcomeUnknown, true), end);
    }
    if (record.contentHash !== state.settings.contentHash) {
        return then(refuse(state, call.RefusalCause.Conflict, false), end);
    }
    switch (record.state) {
        case records.RecordState.Done:
            return record.answer
                ? then(answer(state, record.answer, true), end)
                : then(refuse(state, call.RefusalCause.AnswerNotKept, true), end);
        case records.RecordState.Unknown:
            return then(refuse(state, call.RefusalCause.OutcomeUnknown, true), end);
        case records.RecordState.NotRun:
            return claim(state, modRevision, now);
        case records.RecordState.Claimed:
            return waitForOther(state, now);
    }
}

function claim(state: CallState, expectedRevision: number, now: decision.Milliseconds): Result {
    const since = state.phase === Phase.Claiming ? state.since : now;
    return swap({ ...state, phase: Phase.Claiming, expectedRevision, since });
}

function waitForOther(state: CallState, now: decision.Milliseconds): Result {
    const since = state.phase === Phase.Waiting ? state.since : now;
    const waiting = { ...state, phase: Phase.Waiting, since };
    const left = Math.min(state.settings.deadline, since + WAITING_PATIENCE_MS) - now - LAST_TRY_MARGIN_MS;
    if (left <= 0) {
        return then(refuse(waiting, call.RefusalCause.OutcomeUnknown, true, RETRY_AFTER_MS), end);
    }
    return pause(waiting, left);
}

function runEnded(state: CallState, event: RunEnded, now: decision.Milliseconds): Result {
    if (state.phase !== Phase.Running) {
        return decision.unchanged(state);
    }
    if (event.result === call.RunKind.Answered && event.answer) {
        const kept = event.answer.body.length <= records.ANSWER_LIMIT_CHARACTERS ? event.answer : undefined;
        const ending = { state: records.RecordState.Done, answer: kept };
        return then(answer(state, event.answer, false), (next) => startRecording(next, ending, now));
    }
    const didNotRun = event.result === call.RunKind.NotRun;
    const ending = { state: didNotRun ? records.RecordState.NotRun : records.RecordState.Unknown };
    const refused = refuse(state, call.RefusalCause.RunFailed, !didNotRun, RETRY_AFTER_MS);
    return then(refused, (next) => startRecording(next, ending, now));
}

function callerLeft(state: CallState): Result {
    const mayHaveRun = state.sent || state.phase === Phase.Waiting;
    const refused = refuse(state, call.RefusalCause.CallerLeft, mayHaveRun, RETRY_AFTER_MS);
    return state.phase === Phase.Waiting ? then(refused, end) : refused;
}

function woken(state: CallState, now: decision.Milliseconds): Result {
    switch (state.phase) {
        case Phase.Claiming:
            return state.answered ? giveUpClaim(state, now) : swap(state);
        case Phase.Recording:
            return swap(state);
        case Phase.Waiting:
            return { state, actions: [{ kind: call.CallActionKind.Read }] };
        default:
            return decision.unchanged(state);
    }
}

function startRecording(
    state: CallState,
    ending: Pick<records.OperationRecord, "state" | "answer">,
    now: decision.Milliseconds,
): Result {
    const record = { ...state.record, ...ending };
    return swap({ ...state, phase: Phase.Recording, record, since: now, pauseMs: FIRST_PAUSE_MS });
}

function recorded(state: CallState, event: Swapped, now: decision.Milliseconds): Result {
    const { current } = event;
    if (event.succeeded || !current) {
        return end(state);
    }
    if (current.record.attempt === state.settings.attempt) {
        return current.record.state === records.RecordState.Claimed
            ? swap({ ...state, expectedRevision: current.modRevision })
            : end(state);
    }
    decision.invariant(
        !state.sent || state.record.state === records.RecordState.NotRun || now >= state.settings.leaseEndsAt,
        "nobody takes over the record of an attempt that was sent",
    );
    return end(state);
}

function recordingLost(state: CallState, now: decision.Milliseconds): Result {
    return now - state.since >= RECORDING_PATIENCE_MS ? end(state) : pause(state);
}

function swap(state: CallState): Result {
    const { expectedRevision, record } = state;
    return { state, actions: [{ kind: call.CallActionKind.Swap, expectedRevision, record }] };
}

function pause(state: CallState, longestMs: decision.Milliseconds = LONGEST_PAUSE_MS): Result {
    const pauseMs = Math.min(LONGEST_PAUSE_MS, state.pauseMs * 2);
    const afterMs = Math.min(longestMs, state.pauseMs);
    return { state: { ...state, pauseMs }, actions: [{ kind: call.CallActionKind.Wake, afterMs }] };
}

function end(state: CallState): Result {
    decision.invariant(state.answered, "a call ends only after its final answer");
    return { state: { ...state, phase: Phase.Ended }, actions: [{ kind: call.CallActionKind.End }] };
}

function answer(state: CallState, given: records.StoredAnswer, replayed: boolean): Result {
    if (state.answered) {
        return decision.unchanged(state);
    }
    const action = { kind: call.CallActionKind.Answer as const, answer: given, replayed };
    return { state: { ...state, answered: true }, actions: [action] };
}

/** Refuses the call unless it has its final answer already. */
function refuse(
    state: CallState,
    cause: call.RefusalCause,
    mayHaveRun: boolean,
    retryAfterMs?: decision.Milliseconds,
): Result {
    if (state.answered) {
        return decision.unchanged(state);
    }
    decision.invariant(
        mayHaveRun || !state.sent || cause === call.RefusalCause.RunFailed,
        "a call that was sent is not reported as not run",
    );
    const action = { kind: call.CallActionKind.Refuse as const, cause, mayHaveRun, retryAfterMs };
    return { state: { ...state, answered: true }, actions: [action] };
}

function then(first: Result, next: (state: CallState) => Result): Result {
    const second = next(first.state);
    return { state: second.state, actions: [...first.actions, ...second.actions] };
}
