import * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import * as borrowing from "./borrowing.js";
import * as buckets from "./bucket.js";
import * as charges from "./charges.js";
import * as messages from "./messages.js";
import * as rateLimits from "./ratelimit.js";
import * as sharded from "./shardedmap.js";
import * as slices from "./slice.js";
import * as updates from "./sliceupdate.js";

const MAX_QUEUE_LENGTH = 128;

/** Time reserved for the reply to reach the sender before its deadline. */
const REPLY_MARGIN_MS = 20;

/** Keeps rounding errors from scheduling a wake-up slightly too early. */
const WAKE_MARGIN_MS = 0.01;

/** Tokens promised for the deadline itself may arrive slightly later because of rounding errors and timer delays. */
const DEADLINE_GRACE_MS = 5;

/** How long the owner keeps the record of a granted charge that is not settled. */
const GRANTED_RETENTION_MS = 180_000;

/** How long the owner keeps the record of a charge that was refused, cancelled or settled. */
const DECIDED_RETENTION_MS = 30_000;

/** Grants, queues or refuses a charge. A repeated request gets the same answer as before. */
export function receiveCharge(
    update: updates.SliceUpdate,
    request: messages.ChargeRequest,
    replyTo: actions.Destination,
): void {
    const known = sharded.find(update.slice.chargeRecords, request.chargeId);
    if (known) {
        repeatReply(update, known, request.chargeId, replyTo);
        return;
    }
    if (update.slice.queue.some((waiting) => waiting.id === request.chargeId)) {
        updates.replyToCharge(update, replyTo, request.chargeId, messages.ChargeStatus.Waiting);
        return;
    }
    const entry = chargeEntry(update, request, replyTo);
    if (request.tokens > workspaceBurst(update)) {
        refuse(update, entry, -1);
        return;
    }
    if (fitsNow(update, entry)) {
        grant(update, entry);
        return;
    }
    if (update.slice.queue.length >= MAX_QUEUE_LENGTH || entry.deadline <= update.now) {
        refuse(update, entry, retryAfter(update, entry));
        return;
    }
    update.slice = { ...update.slice, queue: slices.enqueue(update.slice.queue, entry) };
    borrowing.borrowOrRefuse(update, entry);
    if (update.slice.queue.some((waiting) => waiting.id === entry.id)) {
        updates.replyToCharge(update, replyTo, entry.id, messages.ChargeStatus.Waiting);
    }
}

function chargeEntry(
    update: updates.SliceUpdate,
    request: messages.ChargeRequest,
    replyTo: actions.Destination,
): slices.QueueEntry {
    const deadline = update.now + request.patienceMs - REPLY_MARGIN_MS;
    return {
        kind: slices.QueueEntryKind.Charge,
        id: request.chargeId,
        tokens: request.tokens,
        deadline,
        nextBorrowAt: borrowing.nextBorrowTime(deadline, update.now),
        replyTo,
        requests: [],
        validMs: 0,
        receivedAt: update.now,
        toSlice: request.slice,
    };
}

function repeatReply(
    update: updates.SliceUpdate,
    record: charges.ChargeRecord,
    chargeId: string,
    replyTo: actions.Destination,
): void {
    if (record.state === charges.ChargeState.Granted) {
        updates.replyToCharge(update, replyTo, chargeId, messages.ChargeStatus.Granted, { tokens: record.tokens });
    }
    else if (record.state === charges.ChargeState.Refused) {
        const { retryAfterMs } = record;
        updates.replyToCharge(update, replyTo, chargeId, messages.ChargeStatus.Refused, { retryAfterMs });
    }
}

/** The burst of the whole workspace: the smallest of all revisions that owners may still apply. */
function workspaceBurst(update: updates.SliceUpdate): number {
    return rateLimits.strictest(update.slice.rateLimitHistory).burstTokens;
}

/** Whether an entry can be served now without causing another to miss its deadline. */
function fitsNow(update: updates.SliceUpdate, entry: slices.QueueEntry): boolean {
    const neededTokens = slices.missingNow(entry, update.now);
    return neededTokens <= update.slice.bucket.level
        && neededTokens <= slices.spareTokens(update.slice, update.now, update.now);
}

/** Debits a charge and answers it. Borrowed tokens that it does not need are credited to this slice. */
export function grant(update: updates.SliceUpdate, entry: slices.QueueEntry): void {
    decision.invariant(update.now < update.right.until, "tokens would be granted without a valid right to the slice");
    const borrowed = slices.borrowedTokens(entry, update.now);
    const neededTokens = slices.missingNow(entry, update.now);
    decision.invariant(
        neededTokens <= update.slice.bucket.level,
        "a charge would be granted beyond the level of its slice",
    );
    updates.changeBucket(update, (bucket) => buckets.debit(bucket, neededTokens));
    recordCharge(update, entry.id, charges.ChargeState.Granted, entry.tokens, 0);
    dequeue(update, entry);
    borrowing.endBorrowing(update, entry, Math.max(0, borrowed - entry.tokens));
    updates.recordTokens(update, actions.RecordKind.Grant, entry.id, entry.tokens);
    updates.replyToCharge(update, entry.replyTo, entry.id, messages.ChargeStatus.Granted, { tokens: entry.tokens });
}

/** Refuses a charge. The delay after which a retry may succeed is negative if the charge can never fit. */
export function refuse(
    update: updates.SliceUpdate,
    entry: slices.QueueEntry,
    retryAfterMs: decision.Milliseconds,
): void {
    dequeue(update, entry);
    borrowing.endBorrowing(update, entry, slices.borrowedTokens(entry, update.now));
    recordCharge(update, entry.id, charges.ChargeState.Refused, 0, retryAfterMs);
    updates.replyToCharge(update, entry.replyTo, entry.id, messages.ChargeStatus.Refused, { retryAfterMs });
}

/**
 * Estimates after how many milliseconds a charge that cannot be served in time would fit. Assumes that the slice can
 * use the whole workspace's rate, since it may borrow from the others, but knows only its own queue. -1 if the rate is
 * zero.
 */
export function retryAfter(update: updates.SliceUpdate, entry: slices.QueueEntry): decision.Milliseconds {
    const workspaceLimit = rateLimits.strictest(update.slice.rateLimitHistory);
    const demand = update.slice.queue.reduce((sum, waiting) => sum + slices.missingNow(waiting, update.now), 0);
    const entryDemand = update.slice.queue.some((waiting) => waiting.id === entry.id) ? 0 : entry.tokens;
    const missingTokens = Math.max(0, demand + entryDemand - update.slice.bucket.level);
    return workspaceLimit.tokensPerSecond > 0
        ? Math.ceil(missingTokens / workspaceLimit.tokensPerSecond * decision.SECOND_MS / rateLimits.REFILL_RATE_FACTOR)
            + 1
        : -1;
}

function dequeue(update: updates.SliceUpdate, entry: slices.QueueEntry): void {
    update.slice = { ...update.slice, queue: slices.replaceEntry(update.slice.queue, entry.id) };
}

function recordCharge(
    update: updates.SliceUpdate,
    chargeId: string,
    state: charges.ChargeState,
    tokens: number,
    retryAfterMs: decision.Milliseconds,
): void {
    const retentionMs = state === charges.ChargeState.Granted ? GRANTED_RETENTION_MS : DECIDED_RETENTION_MS;
    const bucketVersion = update.slice.bucket.version;
    const record = { state, tokens, bucketVersion, retryAfterMs, expiresAt: update.now + retentionMs };
    update.slice = {
        ...update.slice,
        chargeRecords: sharded.put(
            update.slice.chargeRecords,
            chargeId,
            record,
            (known) => known.expiresAt > update.now,
        ),
    };
}

/**
 * Refunds what a granted charge did not use, or debits what it used beyond the charge. A charge that still waits leaves
 * the queue. Only the first settlement of a charge counts.
 */
export function settle(update: updates.SliceUpdate, settlement: messages.Settlement): void {
    const { chargeId, usedTokens } = settlement;
    const waiting = update.slice.queue.find((entry) => entry.id === chargeId);
    const known = sharded.find(update.slice.chargeRecords, chargeId);
    if (waiting) {
        dequeue(update, waiting);
        borrowing.endBorrowing(update, waiting, slices.borrowedTokens(waiting, update.now));
    }
    if (known?.state === charges.ChargeState.Settled) {
        return;
    }
    // A charge may arrive after its own cancellation; the record keeps it from being served then.
    recordCharge(update, chargeId, charges.ChargeState.Settled, 0, 0);
    if (known?.state === charges.ChargeState.Granted) {
        applySettlement(update, chargeId, known, usedTokens);
    }
}

function applySettlement(
    update: updates.SliceUpdate,
    chargeId: string,
    charge: charges.ChargeRecord,
    usedTokens: number,
): void {
    const unused = charge.tokens - usedTokens;
    if (unused >= 0) {
        const credited = buckets.refundable(update.slice.bucket, unused, charge.bucketVersion);
        updates.changeBucket(update, (bucket) => buckets.refund(bucket, credited, charge.bucketVersion));
        updates.recordTokens(update, actions.RecordKind.Refund, chargeId, unused, credited);
    }
    else {
        updates.changeBucket(update, (bucket) => buckets.debit(bucket, -unused));
        updates.recordTokens(update, actions.RecordKind.Debt, chargeId, -unused);
    }
}

/** Serves the queue in order of deadlines and refuses charges whose deadline has passed. */
export function serveQueue(update: updates.SliceUpdate): void {
    borrowing.expireBorrowing(update);
    for (let head = update.slice.queue[0]; head; head = update.slice.queue[0]) {
        if (head.deadline + DEADLINE_GRACE_MS <= update.now) {
            expireEntry(update, head);
        }
        else if (slices.missingNow(head, update.now) > update.slice.bucket.level) {
            return;
        }
        else if (head.kind === slices.QueueEntryKind.PromisedLoan) {
            borrowing.fulfilPromise(update, head);
        }
        else {
            grant(update, head);
        }
    }
}

function expireEntry(update: updates.SliceUpdate, entry: slices.QueueEntry): void {
    if (entry.kind === slices.QueueEntryKind.PromisedLoan) {
        dequeue(update, entry);
    }
    else {
        refuse(update, entry, retryAfter(update, entry));
    }
}

/** When the slice needs its next wake-up, if no other event comes first. */
export function nextWake(update: updates.SliceUpdate): decision.Milliseconds | undefined {
    const head = update.slice.queue[0];
    if (!head) {
        return undefined;
    }
    const ready = readyAt(update, slices.missingNow(head, update.now));
    const timeouts = update.slice.queue.map(borrowing.nextTimeoutAt);
    return Math.min(ready, head.deadline + DEADLINE_GRACE_MS, ...timeouts);
}

/** When the level will reach an amount. An amount above the capacity has to wait until a loan expires. */
function readyAt(update: updates.SliceUpdate, tokens: number): decision.Milliseconds {
    const { bucket } = update.slice;
    if (tokens > buckets.capacity(bucket)) {
        return Math.min(Infinity, ...bucket.loans.map((loan) => loan.expiresAt));
    }
    const perMs = buckets.refillPerMs(bucket);
    return perMs > 0 ? update.now + Math.max(0, tokens - bucket.level) / perMs + WAKE_MARGIN_MS : Infinity;
}
