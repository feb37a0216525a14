import * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import * as borrowing from "./borrowing.js";
import * as buckets from "./bucket.js";
import * as charges from "./charges.js";
import * as messages from "./messages.js";
import * as sharded from "./sharded.js";
import * as slices from "./slice.js";
import * as terms from "./terms.js";
import * as works from "./work.js";

/** Entries that wait in one slice at most. */
const QUEUE_LIMIT = 128;

/** What a reply may take on its way back, in milliseconds. */
const REPLY_MARGIN_MS = 20;

/** Keeps a wake-up from coming a rounding error too early, in milliseconds. */
const READY_MARGIN_MS = 0.01;

/** How long the owner remembers a granted charge that is not settled. */
const GRANTED_MEMORY_MS = 180_000;

/** How long the owner remembers a charge that was refused, cancelled or settled. */
const DECIDED_MEMORY_MS = 30_000;

/** Serves, queues or refuses a charge. */
export function takeCharge(work: works.Work, request: messages.ChargeRequest, replyTo: actions.Destination): void {
    const known = sharded.find(work.slice.records, request.chargeId);
    if (known) {
        repeatReply(work, known, request.chargeId, replyTo);
        return;
    }
    if (work.slice.queue.some((waiting) => waiting.id === request.chargeId)) {
        works.replyToCharge(work, replyTo, request.chargeId, messages.ChargeStatus.Waiting);
        return;
    }
    const entry = chargeEntry(work, request, replyTo);
    if (request.tokens > wholeBurst(work)) {
        refuse(work, entry, -1);
        return;
    }
    if (fitsNow(work, entry)) {
        grant(work, entry);
        return;
    }
    if (work.slice.queue.length >= QUEUE_LIMIT || entry.deadline <= work.now) {
        refuse(work, entry, retryAfter(work, entry));
        return;
    }
    work.slice = { ...work.slice, queue: slices.enqueue(work.slice.queue, entry) };
    borrowing.askFurther(work, entry);
    if (work.slice.queue.some((waiting) => waiting.id === entry.id)) {
        works.replyToCharge(work, replyTo, entry.id, messages.ChargeStatus.Waiting);
    }
}

function chargeEntry(
    work: works.Work,
    request: messages.ChargeRequest,
    replyTo: actions.Destination,
): slices.Waiting {
    const deadline = work.now + request.patienceMs - REPLY_MARGIN_MS;
    return {
        kind: slices.WaitingKind.Charge,
        id: request.chargeId,
        tokens: request.tokens,
        deadline,
        lastAskAt: borrowing.lastAskAt(deadline, work.now),
        replyTo,
        asks: [],
        validMs: 0,
        arrivedAt: work.now,
        toSlice: request.slice,
    };
}

function repeatReply(
    work: works.Work,
    known: charges.ChargeRecord,
    chargeId: string,
    replyTo: actions.Destination,
): void {
    if (known.state === charges.RecordState.Granted) {
        works.replyToCharge(work, replyTo, chargeId, messages.ChargeStatus.Granted, { tokens: known.tokens });
    }
    else if (known.state === charges.RecordState.Refused) {
        const { retryAfterMs } = known;
        works.replyToCharge(work, replyTo, chargeId, messages.ChargeStatus.Refused, { retryAfterMs });
    }
}

/** The burst of the whole workspace within all revisions that owners may still act under. */
function wholeBurst(work: works.Work): number {
    return terms.withinAll(work.slice.history).burstTokens;
}

/** Whether an entry can be served now without making another miss its deadline. */
function fitsNow(work: works.Work, entry: slices.Waiting): boolean {
    const missing = slices.missingNow(entry, work.now);
    return missing <= work.slice.bucket.level && missing <= slices.headroom(work.slice, work.now, work.now);
}

/** Debits a charge and answers it. What was gathered beyond it goes to this slice's own level. */
export function grant(work: works.Work, entry: slices.Waiting): void {
    decision.invariant(work.now < work.right.until, "tokens are spent only while the right to the slice holds");
    const gathered = slices.gatheredTokens(entry, work.now);
    const missing = slices.missingNow(entry, work.now);
    decision.invariant(missing <= work.slice.bucket.level, "a charge is granted only within the level of its slice");
    works.changeBucket(work, (bucket) => buckets.debit(bucket, missing));
    remember(work, entry.id, charges.RecordState.Granted, entry.tokens, 0);
    remove(work, entry);
    borrowing.closeAsks(work, entry, Math.max(0, gathered - entry.tokens));
    works.record(work, actions.RecordKind.Grant, entry.id, entry.tokens);
    works.replyToCharge(work, entry.replyTo, entry.id, messages.ChargeStatus.Granted, { tokens: entry.tokens });
}

/** Refuses a charge and says when to come back, in milliseconds; negative when it never fits. */
export function refuse(work: works.Work, entry: slices.Waiting, retryAfterMs: decision.Milliseconds): void {
    remove(work, entry);
    borrowing.closeAsks(work, entry, slices.gatheredTokens(entry, work.now));
    remember(work, entry.id, charges.RecordState.Refused, 0, retryAfterMs);
    works.replyToCharge(work, entry.replyTo, entry.id, messages.ChargeStatus.Refused, { retryAfterMs });
}

/** When a charge that cannot be served in time would fit, in milliseconds, as far as this slice can tell. */
export function retryAfter(work: works.Work, entry: slices.Waiting): decision.Milliseconds {
    const whole = terms.withinAll(work.slice.history);
    const demand = work.slice.queue.reduce((sum, waiting) => sum + slices.missingNow(waiting, work.now), 0);
    const own = work.slice.queue.some((waiting) => waiting.id === entry.id) ? 0 : entry.tokens;
    const lacking = Math.max(0, demand + own - work.slice.bucket.level);
    return whole.tokensPerSecond > 0
        ? Math.ceil(lacking / whole.tokensPerSecond * decision.SECOND_MS / terms.REFILL_SAFETY) + 1
        : -1;
}

function remove(work: works.Work, entry: slices.Waiting): void {
    work.slice = { ...work.slice, queue: slices.replaceWaiting(work.slice.queue, entry.id) };
}

function remember(
    work: works.Work,
    chargeId: string,
    state: charges.RecordState,
    tokens: number,
    retryAfterMs: decision.Milliseconds,
): void {
    const memoryMs = state === charges.RecordState.Granted ? GRANTED_MEMORY_MS : DECIDED_MEMORY_MS;
    const bucketStep = work.slice.bucket.step;
    const record = { state, tokens, bucketStep, retryAfterMs, until: work.now + memoryMs };
    work.slice = {
        ...work.slice,
        records: sharded.put(work.slice.records, chargeId, record, (known) => known.until > work.now),
    };
}

/** Gives back what a charge did not use, books what it used beyond, or drops it from the queue. Counts once. */
export function settle(work: works.Work, settlement: messages.Settlement): void {
    const { chargeId, usedTokens } = settlement;
    const waiting = work.slice.queue.find((entry) => entry.id === chargeId);
    const known = sharded.find(work.slice.records, chargeId);
    if (waiting) {
        remove(work, waiting);
        borrowing.closeAsks(work, waiting, slices.gatheredTokens(waiting, work.now));
    }
    if (known?.state === charges.RecordState.Settled) {
        return;
    }
    // A charge that is not known yet may still arrive after its own cancellation; the record keeps it from being served.
    remember(work, chargeId, charges.RecordState.Settled, 0, 0);
    if (known?.state === charges.RecordState.Granted) {
        bookUse(work, chargeId, known, usedTokens);
    }
}

function bookUse(work: works.Work, chargeId: string, charge: charges.ChargeRecord, usedTokens: number): void {
    const unused = charge.tokens - usedTokens;
    if (unused >= 0) {
        const credited = buckets.refundable(work.slice.bucket, unused, charge.bucketStep);
        works.changeBucket(work, (bucket) => buckets.refund(bucket, credited, charge.bucketStep));
        works.record(work, actions.RecordKind.Refund, chargeId, unused, credited);
    }
    else {
        works.changeBucket(work, (bucket) => buckets.debit(bucket, -unused));
        works.record(work, actions.RecordKind.Debt, chargeId, -unused);
    }
}

/** Serves the queue in the order of deadlines and refuses what is too late. */
export function serveQueue(work: works.Work): void {
    borrowing.dropVoid(work);
    for (let head = work.slice.queue[0]; head; head = work.slice.queue[0]) {
        if (head.deadline <= work.now) {
            giveUp(work, head);
        }
        else if (slices.missingNow(head, work.now) > work.slice.bucket.level) {
            return;
        }
        else if (head.kind === slices.WaitingKind.Loan) {
            borrowing.giveLoan(work, head);
        }
        else {
            grant(work, head);
        }
    }
}

function giveUp(work: works.Work, entry: slices.Waiting): void {
    if (entry.kind === slices.WaitingKind.Loan) {
        remove(work, entry);
    }
    else {
        refuse(work, entry, retryAfter(work, entry));
    }
}

/** When the slice needs an event next, if nothing else happens before. */
export function nextWake(work: works.Work): decision.Milliseconds | undefined {
    const head = work.slice.queue[0];
    if (!head) {
        return undefined;
    }
    const ready = readyAt(work, slices.missingNow(head, work.now));
    const timeouts = work.slice.queue.map(borrowing.nextTimeout);
    return Math.min(ready, head.deadline, ...timeouts);
}

/** When the level will reach an amount. What exceeds the capacity has to wait for room that is held. */
function readyAt(work: works.Work, tokens: number): decision.Milliseconds {
    const { bucket } = work.slice;
    if (tokens > buckets.capacity(bucket)) {
        return Math.min(Infinity, ...bucket.held.map((room) => room.until));
    }
    const perMs = buckets.refillPerMs(bucket);
    return perMs > 0 ? work.now + Math.max(0, tokens - bucket.level) / perMs + READY_MARGIN_MS : Infinity;
}
