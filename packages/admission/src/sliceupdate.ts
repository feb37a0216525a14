import type * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import * as buckets from "./bucket.js";
import * as messages from "./messages.js";
import type * as slices from "./slice.js";

/** The right to act for a partition, as granted by membership. */
export interface Right {
    /** The fencing token of the owner's term. */
    readonly fencing: number;
    /** When the right expires, on this host's clock. */
    readonly until: decision.Milliseconds;
}

/** The state of one slice while an event is applied to it, and the actions that this leads to. */
export interface SliceUpdate {
    slice: slices.SliceState;
    readonly actions: actions.Action[];
    readonly now: decision.Milliseconds;
    readonly right: Right;
    readonly partition: string;
    /** The newest configuration revision that the owner knows. */
    readonly revision: number;
    /** Returns identifiers that are unique among all owners and terms. */
    readonly nextTransferId: () => string;
}

export function changeBucket(update: SliceUpdate, change: (bucket: buckets.Bucket) => buckets.Bucket): void {
    update.slice = { ...update.slice, bucket: change(update.slice.bucket) };
}

/** Replaces a queue entry, or removes it if no replacement is given. */
export function changeEntry(update: SliceUpdate, id: string, next?: slices.QueueEntry): void {
    const queue = update.slice.queue;
    const changed = queue.findIndex((waiting) => waiting.id === id);
    update.slice = {
        ...update.slice,
        queue: next ? queue.with(changed, next) : queue.filter((waiting) => waiting.id !== id),
    };
}

export function send(update: SliceUpdate, to: actions.Destination, message: messages.Message): void {
    update.actions.push({ kind: actions.ActionKind.Send, to, message });
}

export function replyToCharge(
    update: SliceUpdate,
    to: actions.Destination,
    chargeId: string,
    status: messages.ChargeStatus,
    amount: { readonly tokens?: number; readonly retryAfterMs?: decision.Milliseconds; } = {},
): void {
    send(update, to, {
        kind: messages.MessageKind.ChargeReply,
        chargeId,
        workspace: update.slice.workspace,
        slice: update.slice.index,
        status,
        tokens: amount.tokens ?? 0,
        retryAfterMs: amount.retryAfterMs ?? 0,
    });
}

/** Reports granted or returned tokens to metrics and checkers. */
export function recordTokens(
    update: SliceUpdate,
    kind: actions.RecordKind,
    chargeId: string,
    tokens: number,
    creditedTokens = 0,
): void {
    update.actions.push({
        kind: actions.ActionKind.Record,
        record: kind,
        workspace: update.slice.workspace,
        partition: update.partition,
        fencing: update.right.fencing,
        chargeId,
        tokens,
        creditedTokens,
    });
}
