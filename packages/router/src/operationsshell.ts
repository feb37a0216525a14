import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as decisions from "@citronlead/operations";
import * as platform from "@citronlead/platform";
import * as crypto from "node:crypto";
import * as pQueue from "p-queue";
import type * as callerRequests from "./callerrequest.js";
import type * as contexts from "./context.js";
import * as modelpath from "./modelpath.js";
import * as operationsLease from "./operationslease.js";
import * as refusals from "./refusal.js";

export { RunKind, type StoredAnswer } from "@citronlead/operations";

/** How one try of a call at an upstream ended. */
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

/** What names an operation. */
export interface OperationWish {
    readonly workspace: string;
    readonly service: string;
    readonly idempotencyKey: string;
    /** Hash of method, path and body: another content under the same key is a mistake of the caller. */
    readonly contentHash: string;
    readonly request: callerRequests.CallerRequest;
}

/** Runs calls at most once over all hosts. */
export interface Operations {
    /**
     * Runs the call unless a call with the same key did or may have; then its answer or its state is given. The run
     * goes on after its caller has left, so that a repeat finds the answer.
     */
    readonly runOnce: (wish: OperationWish, run: () => Promise<RunResult>) => Promise<OperationOutcome>;
}

const LEASE_TRIES = 3;
const LEASE_PAUSE_MS = 200;
const OUTAGE_RETRY_AFTER_MS = 5_000;
/** How long a stop waits for the records of calls that have their answer. */
const STOP_PATIENCE_MS = 5_000;
/** Writes of calls that have their answer already; one at a time, so that the end of an outage brings no rush. */
const BACKGROUND_WRITES = 1;
/** Above this number of calls whose end is still to be written, the record of the next one is left as it is. */
const BACKGROUND_LIMIT = 2_000;

/** Starts the record of operations. */
export function startOperations(context: contexts.Context): Operations {
    const scope = new lifecycle.Lifecycle("operations");
    const leases = new operationsLease.RecordLeases(context);
    const background = new pQueue.default({ concurrency: BACKGROUND_WRITES });
    const open = new Set<OpenCall>();
    context.scope.own(async () => {
        const settled = Promise.all([...open].map((call) => call.ended));
        await Promise.race([settled, lifecycle.pause(scope, STOP_PATIENCE_MS)]);
        await scope.close();
    });
    return {
        runOnce: async (wish, run) => {
            const lease = await obtainLease(scope, leases, wish.request.signal);
            if (!lease) {
                return { answered: false, refusal: refusalOf(wish, recordUnavailable) };
            }
            const call = new OpenCall({ context, scope, background, wish, run, lease });
            open.add(call);
            void call.ended.then(() => open.delete(call));
            return call.begin();
        },
    };
}

type Refuse = Extract<decisions.CallAction, { kind: decisions.CallActionKind.Refuse; }>;

const recordUnavailable: Refuse = {
    kind: decisions.CallActionKind.Refuse,
    cause: decisions.RefusalCause.RecordUnavailable,
    mayHaveRun: false,
    retryAfterMs: OUTAGE_RETRY_AFTER_MS,
};

async function obtainLease(
    scope: lifecycle.Lifecycle,
    leases: operationsLease.RecordLeases,
    signal: AbortSignal,
): Promise<operationsLease.RecordLease | undefined> {
    for (let tries = 0; tries < LEASE_TRIES && !signal.aborted; tries++) {
        const lease = await leases.current();
        if (lease) {
            return lease;
        }
        await lifecycle.pause(scope, LEASE_PAUSE_MS);
    }
    return undefined;
}

interface CallParts {
    readonly context: contexts.Context;
    readonly scope: lifecycle.Lifecycle;
    readonly background: pQueue.default;
    readonly wish: OperationWish;
    readonly run: () => Promise<RunResult>;
    readonly lease: operationsLease.RecordLease;
}

/** One call from its arrival until its record says how it ended. */
class OpenCall {
    readonly ended: Promise<void>;
    private state: decisions.CallState;
    private finish: () => void = () => undefined;
    private give: (outcome: OperationOutcome) => void = () => undefined;
    private runRefusal: refusals.Refusal | undefined;
    private readonly key: string;

    constructor(private readonly parts: CallParts) {
        const { context, wish, lease } = parts;
        this.key = recordKey(wish);
        this.ended = new Promise((resolve) => this.finish = resolve);
        this.state = decisions.operationModule.start({
            attempt: crypto.randomUUID(),
            contentHash: wish.contentHash,
            deadline: wish.request.deadline,
            leaseEndsAt: lease.endsAt,
        }, context.clock());
    }

    begin(): Promise<OperationOutcome> {
        const { signal } = this.parts.wish.request;
        const given = new Promise<OperationOutcome>((resolve) => this.give = resolve);
        const left = () => this.tell({ kind: decisions.CallEventKind.CallerLeft });
        signal.addEventListener("abort", left, { once: true });
        void this.ended.then(() => signal.removeEventListener("abort", left));
        this.tell({ kind: decisions.CallEventKind.Begin });
        if (signal.aborted) {
            left();
        }
        return given;
    }

    private tell(event: decisions.CallEvent): void {
        const next = decisions.operationModule.decide(this.state, event, this.parts.context.clock());
        this.state = next.state;
        next.actions.forEach((action) => this.carryOut(action));
    }

    private carryOut(action: decisions.CallAction): void {
        const { wish, scope } = this.parts;
        switch (action.kind) {
            case decisions.CallActionKind.Swap:
                return void this.swap(action.expectedRevision, action.record);
            case decisions.CallActionKind.Read:
                return void this.read();
            case decisions.CallActionKind.Run:
                return void this.run();
            case decisions.CallActionKind.Wake:
                lifecycle.after(scope, action.afterMs, () => this.tell({ kind: decisions.CallEventKind.Woken }));
                return;
            case decisions.CallActionKind.Answer:
                wish.request.note("operations", action.replayed ? "stored answer" : "answered");
                return this.give({ answered: true, answer: action.answer, replayed: action.replayed });
            case decisions.CallActionKind.Refuse:
                wish.request.note("operations", "refused", { cause: action.cause, mayHaveRun: action.mayHaveRun });
                return this.give({ answered: false, refusal: refusalOf(wish, action, this.runRefusal) });
            case decisions.CallActionKind.End:
                return this.finish();
        }
    }

    private async swap(expectedRevision: number, record: decisions.OperationRecord): Promise<void> {
        const { context, background, lease } = this.parts;
        const write = () =>
            context.keyValue.swap([{ key: this.key, modRevision: expectedRevision }], [{
                kind: platform.ChangeKind.Put,
                key: this.key,
                value: decisions.writeRecord(record),
                lease: lease.id,
            }]);
        if (this.state.answered && background.size >= BACKGROUND_LIMIT) {
            this.finish();
            return;
        }
        const outcome = await (this.state.answered ? background.add(write) : write());
        if (outcome.effect === decision.Effect.Known) {
            const { succeeded, revision, current } = outcome.value;
            this.tell({
                kind: decisions.CallEventKind.Swapped,
                succeeded,
                revision,
                current: versioned(current[0]),
            });
        }
        else {
            this.tell({ kind: decisions.CallEventKind.SwapLost, reached: outcome.effect === decision.Effect.Unknown });
        }
    }

    private async read(): Promise<void> {
        const outcome = await this.parts.context.keyValue.read(this.key);
        this.tell(
            outcome.effect === decision.Effect.Known
                ? { kind: decisions.CallEventKind.Read, current: versioned(outcome.value.entries[0]) }
                : { kind: decisions.CallEventKind.ReadLost },
        );
    }

    private async run(): Promise<void> {
        const result = await this.parts.run();
        if (result.kind === decisions.RunKind.Answered) {
            this.tell({ kind: decisions.CallEventKind.RunEnded, result: result.kind, answer: result.answer });
            return;
        }
        const saysNotRun = result.refusal.ran === refusals.Ran.No;
        decision.invariant(
            saysNotRun === (result.kind === decisions.RunKind.NotRun),
            "a refusal says whether its call ran",
        );
        this.runRefusal = result.refusal;
        this.tell({ kind: decisions.CallEventKind.RunEnded, result: result.kind });
    }
}

function recordKey(wish: OperationWish): string {
    const digest = crypto.createHash("sha256").update(wish.idempotencyKey).digest("hex");
    return `/citronlead/operations/${wish.workspace}/${wish.service}/${digest}`;
}

function versioned(entry: platform.Entry | undefined): decisions.VersionedRecord | undefined {
    return entry && { record: decisions.readRecord(entry.value), modRevision: entry.modRevision };
}

function refusalOf(wish: OperationWish, action: Refuse, runRefusal?: refusals.Refusal): refusals.Refusal {
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
        case RefusalCause.CallerLeft: {
            const ran = action.mayHaveRun ? refusals.Ran.Unknown : refusals.Ran.No;
            return { ...modelpath.abortRefusal(wish.request), ran };
        }
        case RefusalCause.RunFailed:
            decision.invariant(runRefusal !== undefined, "a run that failed has its refusal");
            return runRefusal;
    }
}
