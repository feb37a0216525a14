import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as decisions from "@citronlead/operations";
import * as platform from "@citronlead/platform";
import * as crypto from "node:crypto";
import * as pQueue from "p-queue";
import type * as callerRequests from "../callers/request.js";
import type * as contexts from "../context.js";
import * as refusals from "../refusal.js";
import * as modelServing from "../serving/model.js";
import * as operationsLease from "./lease.js";

export { RunKind, type StoredAnswer } from "@citronlead/operations";

/** How an attempt to run a call at the upstreams ended. */
export type RunResult =
    | { readonly kind: decisions.RunKind.Answered; readonly answer: decisions.StoredAnswer; }
    | {
        readonly kind: decisions.RunKind.NotRun | decisions.RunKind.Unknown;
        readonly refusal: refusals.Refusal;
    };

/** The final outcome of a call that runs at most once. */
export type OperationOutcome =
    | { readonly answered: true; readonly answer: decisions.StoredAnswer; readonly replayed: boolean; }
    | { readonly answered: false; readonly refusal: refusals.Refusal; };

/** Identifies an operation, with the request that asks for it. */
export interface OperationRequest {
    readonly workspace: string;
    readonly service: string;
    readonly idempotencyKey: string;
    /** Hash of method, path and body. Different content under the same key is refused as a conflict. */
    readonly contentHash: string;
    readonly request: callerRequests.CallerRequest;
}

/** Runs each call at most once across all hosts. */
export interface Operations {
    /**
     * Runs the call, unless a call with the same key ran or may have run: then returns the stored answer or a refusal.
     * A run continues after its caller has disconnected, so that a retry finds the answer.
     */
    readonly runOnce: (operation: OperationRequest, run: () => Promise<RunResult>) => Promise<OperationOutcome>;
}

const MAX_LEASE_ATTEMPTS = 3;
const LEASE_RETRY_DELAY_MS = 200;
const OUTAGE_RETRY_AFTER_MS = 5_000;
/** How long a stop waits for calls in flight to end and to write their records. */
const STOP_TIMEOUT_MS = 5_000;
/** Record writes of calls that are already answered run one at a time, so that an outage does not end in a burst. */
const BACKGROUND_WRITE_CONCURRENCY = 1;
/** With this many record writes queued, the outcome of further answered calls is not recorded. */
const MAX_BACKGROUND_WRITES = 2_000;

/** Starts at-most-once execution of operations. */
export function startOperations(context: contexts.Context): Operations {
    const scope = new lifecycle.Scope("operations");
    const recordLease = new operationsLease.SharedRecordLease(context);
    const backgroundWrites = new pQueue.default({ concurrency: BACKGROUND_WRITE_CONCURRENCY });
    const inFlight = new Set<InFlightCall>();
    context.scope.defer(async () => {
        const settled = Promise.all([...inFlight].map((call) => call.ended));
        await Promise.race([settled, lifecycle.pause(scope, STOP_TIMEOUT_MS)]);
        await scope.close();
    });
    return {
        runOnce: async (operation, run) => {
            const lease = await obtainLease(scope, recordLease, operation.request.signal);
            if (!lease) {
                return { answered: false, refusal: toRefusal(operation, RECORD_UNAVAILABLE) };
            }
            const call = new InFlightCall({ context, scope, backgroundWrites, operation, run, lease });
            inFlight.add(call);
            void call.ended.then(() => inFlight.delete(call));
            return call.begin();
        },
    };
}

type Refuse = Extract<decisions.CallAction, { kind: decisions.CallActionKind.Refuse; }>;

const RECORD_UNAVAILABLE: Refuse = {
    kind: decisions.CallActionKind.Refuse,
    cause: decisions.RefusalCause.RecordUnavailable,
    mayHaveRun: false,
    retryAfterMs: OUTAGE_RETRY_AFTER_MS,
};

async function obtainLease(
    scope: lifecycle.Scope,
    recordLease: operationsLease.SharedRecordLease,
    signal: AbortSignal,
): Promise<operationsLease.RecordLease | undefined> {
    for (let attempt = 0; attempt < MAX_LEASE_ATTEMPTS && !signal.aborted; attempt++) {
        const lease = await recordLease.current();
        if (lease) {
            return lease;
        }
        await lifecycle.pause(scope, LEASE_RETRY_DELAY_MS);
    }
    return undefined;
}

interface CallOptions {
    readonly context: contexts.Context;
    readonly scope: lifecycle.Scope;
    readonly backgroundWrites: pQueue.default;
    readonly operation: OperationRequest;
    readonly run: () => Promise<RunResult>;
    readonly lease: operationsLease.RecordLease;
}

/** A call, from its arrival until its outcome is recorded. */
class InFlightCall {
    readonly ended: Promise<void>;
    private state: decisions.CallState;
    private resolveEnded: () => void = () => undefined;
    private resolveOutcome: (outcome: OperationOutcome) => void = () => undefined;
    private runRefusal: refusals.Refusal | undefined;
    private readonly key: string;

    constructor(private readonly options: CallOptions) {
        const { context, operation, lease } = options;
        this.key = recordKey(operation);
        this.ended = new Promise((resolve) => this.resolveEnded = resolve);
        this.state = decisions.operationModule.start({
            attempt: crypto.randomUUID(),
            contentHash: operation.contentHash,
            deadline: operation.request.deadline,
            leaseEndsAt: lease.endsAt,
        }, context.clock());
    }

    begin(): Promise<OperationOutcome> {
        const { signal } = this.options.operation.request;
        const outcome = new Promise<OperationOutcome>((resolve) => this.resolveOutcome = resolve);
        const onAbort = () => this.dispatch({ kind: decisions.CallEventKind.Aborted });
        signal.addEventListener("abort", onAbort, { once: true });
        void this.ended.then(() => signal.removeEventListener("abort", onAbort));
        this.dispatch({ kind: decisions.CallEventKind.Begin });
        if (signal.aborted) {
            onAbort();
        }
        return outcome;
    }

    private dispatch(event: decisions.CallEvent): void {
        const next = decisions.operationModule.decide(this.state, event, this.options.context.clock());
        this.state = next.state;
        next.actions.forEach((action) => this.carryOut(action));
    }

    private carryOut(action: decisions.CallAction): void {
        const { operation, scope } = this.options;
        switch (action.kind) {
            case decisions.CallActionKind.ConditionalWrite:
                return void this.swap(action.expectedRevision, action.record);
            case decisions.CallActionKind.ReadRecord:
                return void this.read();
            case decisions.CallActionKind.Run:
                return void this.run();
            case decisions.CallActionKind.StartTimer:
                lifecycle.after(
                    scope,
                    action.afterMs,
                    () => this.dispatch({ kind: decisions.CallEventKind.TimerFired }),
                );
                return;
            case decisions.CallActionKind.Answer:
                operation.request.addTraceStep("operations", action.replayed ? "stored answer" : "answered");
                return this.resolveOutcome({ answered: true, answer: action.answer, replayed: action.replayed });
            case decisions.CallActionKind.Refuse:
                operation.request.addTraceStep("operations", "refused", {
                    cause: action.cause,
                    mayHaveRun: action.mayHaveRun,
                });
                return this.resolveOutcome({ answered: false, refusal: toRefusal(operation, action, this.runRefusal) });
            case decisions.CallActionKind.End:
                return this.resolveEnded();
        }
    }

    private async swap(expectedRevision: number, record: decisions.OperationRecord): Promise<void> {
        const { context, backgroundWrites, lease } = this.options;
        const write = () =>
            context.keyValue.swap([{ key: this.key, modRevision: expectedRevision }], [{
                kind: platform.ChangeKind.Put,
                key: this.key,
                value: decisions.serializeRecord(record),
                lease: lease.id,
            }]);
        if (this.state.answered && backgroundWrites.size >= MAX_BACKGROUND_WRITES) {
            this.resolveEnded();
            return;
        }
        const outcome = await (this.state.answered ? backgroundWrites.add(write) : write());
        if (outcome.effect === decision.Effect.Known) {
            const { succeeded, revision, current } = outcome.value;
            this.dispatch({
                kind: decisions.CallEventKind.WriteAnswered,
                succeeded,
                revision,
                current: toVersionedRecord(current[0]),
            });
        }
        else {
            this.dispatch({
                kind: decisions.CallEventKind.WriteUnanswered,
                reached: outcome.effect === decision.Effect.Unknown,
            });
        }
    }

    private async read(): Promise<void> {
        const outcome = await this.options.context.keyValue.read(this.key);
        this.dispatch(
            outcome.effect === decision.Effect.Known
                ? { kind: decisions.CallEventKind.ReadAnswered, current: toVersionedRecord(outcome.value.entries[0]) }
                : { kind: decisions.CallEventKind.ReadError },
        );
    }

    private async run(): Promise<void> {
        const result = await this.options.run();
        if (result.kind === decisions.RunKind.Answered) {
            this.dispatch({ kind: decisions.CallEventKind.RunEnded, result: result.kind, answer: result.answer });
            return;
        }
        const refusalSaysNotRun = result.refusal.ran === refusals.Ran.No;
        decision.invariant(
            refusalSaysNotRun === (result.kind === decisions.RunKind.NotRun),
            "the refusal of a call agrees with its result on whether it ran",
        );
        this.runRefusal = result.refusal;
        this.dispatch({ kind: decisions.CallEventKind.RunEnded, result: result.kind });
    }
}

function recordKey(operation: OperationRequest): string {
    const digest = crypto.createHash("sha256").update(operation.idempotencyKey).digest("hex");
    return `/citronlead/operations/${operation.workspace}/${operation.service}/${digest}`;
}

function toVersionedRecord(entry: platform.Entry | undefined): decisions.VersionedRecord | undefined {
    return entry && { record: decisions.parseRecord(entry.value), modRevision: entry.modRevision };
}

function toRefusal(operation: OperationRequest, action: Refuse, runRefusal?: refusals.Refusal): refusals.Refusal {
    const { RefusalCause } = decisions;
    switch (action.cause) {
        case RefusalCause.RecordUnavailable: {
            const message = "this call was not sent: the record of operations is out of reach";
            return refusals.notRun(refusals.Reason.RecordUnavailable, message, action.retryAfterMs);
        }
        case RefusalCause.Conflict: {
            const message = "this call was not sent: another content has this idempotency key";
            return refusals.notRun(refusals.Reason.IdempotencyConflict, message);
        }
        case RefusalCause.OutcomeUnknown: {
            const message = "a call with this idempotency key may have run";
            return refusals.mayHaveRun(refusals.Reason.OutcomeUnknown, message, action.retryAfterMs);
        }
        case RefusalCause.AnswerNotKept: {
            const message = "a call with this idempotency key ran; its answer was too large to keep";
            return refusals.mayHaveRun(refusals.Reason.OutcomeUnknown, message);
        }
        case RefusalCause.Aborted: {
            const ran = action.mayHaveRun ? refusals.Ran.Unknown : refusals.Ran.No;
            return { ...modelServing.abortRefusal(operation.request), ran };
        }
        case RefusalCause.RunFailed:
            decision.invariant(runRefusal !== undefined, "a failed run has a refusal");
            return runRefusal;
    }
}
