import type * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import * as buckets from "./bucket.js";
import * as messages from "./messages.js";
import type * as slices from "./slice.js";

/** The right to act for a partition, as membership gives it. */
export interface Right {
    readonly fencing: number;
    /** When the right ends, on this host's clock. */
    readonly until: decision.Milliseconds;
}

/** What one event does to one slice, while it is being worked out. */
export interface Work {
    slice: slices.SliceState;
    readonly actions: actions.Action[];
    readonly now: decision.Milliseconds;
    readonly right: Right;
    readonly partition: string;
    /** The newest configuration revision that the owner knows. */
    readonly revision: number;
    /** Makes identifiers that are unique within the owner's term. */
    readonly nextTransferId: () => string;
}

/** Changes the slice's bucket. */
export function changeBucket(work: Work, change: (bucket: buckets.Bucket) => buckets.Bucket): void {
    work.slice = { ...work.slice, bucket: change(work.slice.bucket) };
}

/** Replaces or removes a waiting entry. */
export function changeWaiting(work: Work, id: string, next?: slices.Waiting): void {
    const queue = work.slice.queue;
    const changed = queue.findIndex((waiting) => waiting.id === id);
    work.slice = {
        ...work.slice,
        queue: next ? queue.with(changed, next) : queue.filter((waiting) => waiting.id !== id),
    };
}

/** Sends a message. */
export function send(work: Work, to: actions.Destination, message: messages.Message): void {
    work.actions.push({ kind: actions.ActionKind.Send, to, message });
}

/** Answers a charge. */
export function replyToCharge(
    work: Work,
    to: actions.Destination,
    chargeId: string,
    status: messages.ChargeStatus,
    amount: { readonly tokens?: number; readonly retryAfterMs?: decision.Milliseconds; } = {},
): void {
    send(work, to, {
        kind: messages.MessageKind.ChargeReply,
        chargeId,
        workspace: work.slice.workspace,
        slice: work.slice.index,
        status,
        tokens: amount.tokens ?? 0,
        retryAfterMs: amount.retryAfterMs ?? 0,
    });
}

/** Tells metrics and checkers of a change. */
export function record(
    work: Work,
    kind: actions.RecordKind,
    chargeId: string,
    tokens: number,
    creditedTokens = 0,
): void {
    work.actions.push({
        kind: actions.ActionKind.Record,
        record: kind,
        workspace: work.slice.workspace,
        partition: work.partition,
        fencing: work.right.fencing,
        chargeId,
        tokens,
        creditedTokens,
    });
}
