import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import * as crypto from "node:crypto";
import type * as callerRequests from "./callerrequest.js";
import type * as contexts from "./context.js";
import * as refusals from "./refusal.js";

/** A whole answer as it is kept for later calls with the same idempotency key. */
export interface StoredAnswer {
    readonly status: number;
    readonly contentType: string;
    /** The body in base64. */
    readonly body: string;
}

/** The kinds of run result. */
export enum RunKind {
    Answered = "answered",
    /** The call certainly did not run. */
    NotRun = "not-run",
    /** The call may have run. */
    Unknown = "unknown",
}

/** How one try of a call at an upstream ended. */
export type RunResult =
    | { readonly kind: RunKind.Answered; readonly answer: StoredAnswer; }
    | { readonly kind: RunKind.NotRun | RunKind.Unknown; readonly refusal: refusals.Refusal; };

/** The final outcome of a call that runs at most once. */
export type OperationOutcome =
    | { readonly answered: true; readonly answer: StoredAnswer; readonly replayed: boolean; }
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
    /** Runs the call unless a call with the same key did or may have; then its answer or its state is given. */
    readonly runOnce: (wish: OperationWish, run: () => Promise<RunResult>) => Promise<OperationOutcome>;
}

enum State {
    Claimed = "claimed",
    Done = "done",
    NotRun = "not-run",
    Unknown = "unknown",
}

interface OperationRecord {
    readonly state: State;
    readonly attempt: string;
    readonly contentHash: string;
    readonly answer?: StoredAnswer;
}

const RETRY_AFTER_MS = 1_000;

/** Starts the record of operations. */
export function startOperations(context: contexts.Context): Operations {
    return {
        runOnce: async (wish, run) => {
            const attempt = crypto.randomUUID();
            const key = recordKey(wish);
            const claim: OperationRecord = { state: State.Claimed, attempt, contentHash: wish.contentHash };
            const revision = await create(context, key, claim);
            if (revision === undefined) {
                return answerFromRecord(context, wish, key);
            }
            const result = await run();
            await write(context, key, revision, { ...claim, ...resultFields(result) });
            return result.kind === RunKind.Answered
                ? { answered: true, answer: result.answer, replayed: false }
                : { answered: false, refusal: result.refusal };
        },
    };
}

function recordKey(wish: OperationWish): string {
    const digest = crypto.createHash("sha256").update(wish.idempotencyKey).digest("hex");
    return `/citronlead/operations/${wish.workspace}/${wish.service}/${digest}`;
}

function resultFields(result: RunResult): Pick<OperationRecord, "state" | "answer"> {
    switch (result.kind) {
        case RunKind.Answered:
            return { state: State.Done, answer: result.answer };
        case RunKind.NotRun:
            return { state: State.NotRun };
        case RunKind.Unknown:
            return { state: State.Unknown };
    }
}

/** Creates the record. Returns its revision, or undefined if it is there already or the service did not answer. */
async function create(context: contexts.Context, key: string, record: OperationRecord): Promise<number | undefined> {
    const outcome = await write(context, key, 0, record);
    if (outcome.effect === decision.Effect.Known) {
        return outcome.value.succeeded ? outcome.value.revision : undefined;
    }
    const read = await context.keyValue.read(key);
    const entry = read.effect === decision.Effect.Known ? read.value.entries[0] : undefined;
    return entry && parse(entry.value).attempt === record.attempt ? entry.modRevision : undefined;
}

function write(
    context: contexts.Context,
    key: string,
    modRevision: number,
    record: OperationRecord,
): Promise<decision.Outcome<platform.Swap>> {
    const change: platform.Change = { kind: platform.ChangeKind.Put, key, value: JSON.stringify(record) };
    return context.keyValue.swap([{ key, modRevision }], [change]);
}

async function answerFromRecord(
    context: contexts.Context,
    wish: OperationWish,
    key: string,
): Promise<OperationOutcome> {
    const outcome = await context.keyValue.read(key);
    const entry = outcome.effect === decision.Effect.Known ? outcome.value.entries[0] : undefined;
    if (!entry) {
        const message = "the record of operations is out of reach";
        return {
            answered: false,
            refusal: refusals.notRun(refusals.Reason.RecordUnavailable, message, RETRY_AFTER_MS),
        };
    }
    const record = parse(entry.value);
    if (record.contentHash !== wish.contentHash) {
        const message = "another call used this idempotency key";
        return { answered: false, refusal: refusals.notRun(refusals.Reason.IdempotencyConflict, message) };
    }
    if (record.state === State.Done && record.answer) {
        return { answered: true, answer: record.answer, replayed: true };
    }
    const message = `a call with this idempotency key is ${record.state}`;
    return { answered: false, refusal: refusals.mayHaveRun(refusals.Reason.OutcomeUnknown, message, RETRY_AFTER_MS) };
}

function parse(value: string): OperationRecord {
    return JSON.parse(value) as OperationRecord;
}
