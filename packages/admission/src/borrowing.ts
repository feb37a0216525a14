import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as buckets from "./bucket.js";
import * as messages from "./messages.js";
import * as partitionNames from "./partitionnames.js";
import * as rateLimits from "./ratelimit.js";
import * as serving from "./serving.js";
import * as slices from "./slice.js";
import * as updates from "./sliceupdate.js";

/** Does not borrow for a charge that its own slice can serve within this time. */
const MIN_WAIT_TO_BORROW_MS = 100;
/** How long an owner waits for another slice's first transfer. */
const ANSWER_TIMEOUT_MS = 100;
/** Tokens are lent for at most this time, since the hand-over of a partition waits until its loans have expired. */
const MAX_LOAN_MS = 1_750;
/** Delay before a charge that can wait longer than a loan is valid asks the other slices again. */
const BORROW_BACKOFF_MS = 200;
/** Delay before a charge may ask the same slice again. */
const REPEAT_DELAY_MS = 300;
/** How long before its deadline a charge that still waits asks the other slices for the last time. */
const LAST_BORROW_BEFORE_DEADLINE_MS = 350;
/** How often the first charge in the queue asks the other slices again. */
const BORROW_PERIOD_MS = 400;
/** How long a loan stays valid beyond the deadline that it is needed for. */
const LOAN_GRACE_MS = 100;
/** How long a slice that had nothing to lend is not asked again. */
const EXHAUSTED_SKIP_MS = 100;
/** How long a slice whose owner did not answer is not asked again. */
const UNRESPONSIVE_SKIP_MS = 150;
/** Borrowed tokens are credited to the level, up to its capacity, this long before they expire. */
const RECLAIM_MARGIN_MS = 50;
/** Smaller loans are not worth a message. */
const MIN_LOAN_TOKENS = 1;

/**
 * Asks the next slice for the tokens that a charge is short of, if any. Once every slice has answered and the charge
 * still cannot be served by its deadline, borrowing starts again later or the charge is refused.
 */
export function borrowOrRefuse(update: updates.SliceUpdate, entry: slices.QueueEntry): void {
    if (entry.kind === slices.QueueEntryKind.PromisedLoan || entry.requests.some((request) => !request.answered)) {
        return;
    }
    if (entry.borrowRetryAt !== undefined && update.now < entry.borrowRetryAt) {
        return;
    }
    const requiredTokens = slices.shortfall(update.slice, entry, update.now);
    const soon = Math.min(entry.deadline, update.now + MIN_WAIT_TO_BORROW_MS);
    const spareSoon = slices.spareTokens(
        { ...update.slice, queue: queueBefore(update.slice, entry) },
        soon,
        update.now,
    );
    const missing = slices.missingByDeadline(entry, update.now) - Math.max(0, spareSoon);
    const wanted = Math.max(requiredTokens > 0 ? MIN_LOAN_TOKENS : 0, requiredTokens, missing);
    const lender = nextLender(update.slice, entry, update.now);
    if (wanted >= MIN_LOAN_TOKENS && lender !== undefined) {
        sendLevelRequest(update, entry, lender, wanted, requiredTokens);
    }
    else if (requiredTokens > 0 && mayRetryBorrowing(update, entry)) {
        retryBorrowingLater(update, entry);
    }
    else if (requiredTokens > 0) {
        serving.refuse(update, entry, serving.retryAfter(update, entry));
    }
}

/**
 * Whether the workspace's whole rate refills enough before the deadline, and another round of requests may bring more:
 * because loans do not last until the deadline, or because an owner that did not answer may be about to start its term.
 */
function mayRetryBorrowing(update: updates.SliceUpdate, entry: slices.QueueEntry): boolean {
    const leftMs = entry.deadline - update.now;
    const unanswered = entry.requests.some((request) => request.receivedParts.length === 0);
    const useful = leftMs > MAX_LOAN_MS || (unanswered && leftMs > 2 * BORROW_BACKOFF_MS);
    return useful && serving.retryAfter(update, entry) < leftMs;
}

/** When a charge that still waits asks the other slices again; undefined if its deadline is too close for that. */
export function nextBorrowTime(
    deadline: decision.Milliseconds,
    now: decision.Milliseconds,
): decision.Milliseconds | undefined {
    const last = deadline - LAST_BORROW_BEFORE_DEADLINE_MS;
    return last > now ? Math.min(last, now + BORROW_PERIOD_MS) : undefined;
}

/** Ends the current requests and asks again later, when the other slices have refilled. */
function retryBorrowingLater(update: updates.SliceUpdate, entry: slices.QueueEntry): void {
    updates.changeEntry(update, entry.id, { ...entry, requests: [], borrowRetryAt: update.now + BORROW_BACKOFF_MS });
    endBorrowing(update, entry, slices.borrowedTokens(entry, update.now));
}

function queueBefore(slice: slices.SliceState, entry: slices.QueueEntry): readonly slices.QueueEntry[] {
    return slice.queue.slice(0, slice.queue.findIndex((waiting) => waiting.id === entry.id));
}

function nextLender(
    slice: slices.SliceState,
    entry: slices.QueueEntry,
    now: decision.Milliseconds,
): number | undefined {
    const recent = entry.requests.filter((request) => !request.answered || now < request.sentAt + REPEAT_DELAY_MS);
    const excluded = [...recent.map((request) => request.lenderSlice), ...skippedSlices(slice, now)];
    const others = Array.from(
        { length: membership.SLICE_COUNT - 1 },
        (_, index) => (slice.index + index + 1) % membership.SLICE_COUNT,
    );
    return others.find((other) => !excluded.includes(other));
}

/** Slices that recently had nothing to lend or did not answer. Asking them again would only cost messages. */
function skippedSlices(slice: slices.SliceState, now: decision.Milliseconds): readonly number[] {
    return slice.skippedSlices.filter((skipped) => now < skipped.skippedUntil).map((skipped) => skipped.slice);
}

function skipSlice(update: updates.SliceUpdate, slice: number, periodMs: decision.Milliseconds): void {
    const others = update.slice.skippedSlices.filter((skipped) => skipped.slice !== slice);
    update.slice = { ...update.slice, skippedSlices: [...others, { slice, skippedUntil: update.now + periodMs }] };
}

function sendLevelRequest(
    update: updates.SliceUpdate,
    entry: slices.QueueEntry,
    lenderSlice: number,
    tokens: number,
    requiredTokens: number,
): void {
    const transferId = update.nextTransferId();
    const request = { transferId, lenderSlice, sentAt: update.now, answered: false, promised: 0, receivedParts: [] };
    updates.changeEntry(update, entry.id, { ...entry, requests: [...entry.requests, request] });
    updates.send(update, { partition: partitionNames.slicePartition(update.slice.workspace, lenderSlice) }, {
        kind: messages.MessageKind.LevelRequest,
        transferId,
        workspace: update.slice.workspace,
        fromSlice: lenderSlice,
        toSlice: update.slice.index,
        tokens,
        requiredTokens,
        patienceMs: Math.min(MAX_LOAN_MS, entry.deadline - update.now),
        revision: update.revision,
    });
}

/**
 * Lends another slice what this one can spare now, and promises to lend what it can spare by the deadline of the
 * request. Tokens are debited here before they are sent.
 */
export function lend(update: updates.SliceUpdate, request: messages.LevelRequest): void {
    const { transferId } = request;
    const repeated = update.slice.queue.some((waiting) => waiting.id === transferId)
        || update.slice.bucket.loans.some((loan) => loan.transferId === transferId);
    if (repeated) {
        return;
    }
    const rightMs = (update.right.until - update.now) * rateLimits.SHORTER_DURATION_FACTOR;
    const validMs = Math.min(request.patienceMs + LOAN_GRACE_MS, MAX_LOAN_MS + LOAN_GRACE_MS, rightMs);
    const mayLend = request.revision === update.revision && validMs > 0;
    const spare = Math.min(update.slice.bucket.level, slices.spareTokens(update.slice, update.now, update.now));
    const lent = mayLend ? zeroIfNegligible(Math.min(request.tokens, spare)) : 0;
    const loan = loanEntry(update, request, validMs);
    if (lent > 0) {
        debitLoan(update, loan, { part: 0, tokens: lent });
    }
    const promised = mayLend ? zeroIfNegligible(promisableTokens(update, loan, request.requiredTokens - lent)) : 0;
    if (promised > 0) {
        update.slice = { ...update.slice, queue: slices.enqueue(update.slice.queue, { ...loan, tokens: promised }) };
    }
    sendTransfer(update, loan, { part: 0, tokens: lent, promised });
}

function loanEntry(update: updates.SliceUpdate, request: messages.LevelRequest, validMs: number): slices.QueueEntry {
    return {
        kind: slices.QueueEntryKind.PromisedLoan,
        id: request.transferId,
        tokens: 0,
        deadline: update.now
            + Math.min(request.patienceMs, validMs - RECLAIM_MARGIN_MS) * rateLimits.SHORTER_DURATION_FACTOR,
        replyTo: { partition: partitionNames.slicePartition(request.workspace, request.toSlice) },
        requests: [],
        validMs,
        receivedAt: update.now,
        toSlice: request.toSlice,
    };
}

function zeroIfNegligible(tokens: number): number {
    return tokens >= MIN_LOAN_TOKENS ? tokens : 0;
}

/** Tokens that the slice can lend by the deadline of a loan, at most what the borrower is still missing. */
function promisableTokens(update: updates.SliceUpdate, loan: slices.QueueEntry, missing: number): number {
    const spare = slices.spareTokens(update.slice, loan.deadline, update.now);
    return Math.min(missing, spare, buckets.capacity(update.slice.bucket));
}

function debitLoan(
    update: updates.SliceUpdate,
    loan: slices.QueueEntry,
    { part, tokens }: { readonly part: number; readonly tokens: number; },
): void {
    decision.invariant(update.now < update.right.until, "tokens would be lent without a valid right to the slice");
    decision.invariant(tokens <= update.slice.bucket.level, "tokens would be lent beyond the level of the slice");
    const expiresAt = loan.receivedAt + loan.validMs * rateLimits.LONGER_DURATION_FACTOR;
    updates.changeBucket(update, (bucket) => buckets.lend(bucket, { transferId: loan.id, part, tokens, expiresAt }));
}

function sendTransfer(
    update: updates.SliceUpdate,
    loan: slices.QueueEntry,
    amount: { readonly part: number; readonly tokens: number; readonly promised: number; },
): void {
    updates.send(update, loan.replyTo, {
        kind: messages.MessageKind.LevelTransfer,
        transferId: loan.id,
        workspace: update.slice.workspace,
        fromSlice: update.slice.index,
        toSlice: loan.toSlice,
        part: amount.part,
        tokens: amount.tokens,
        promisedTokens: amount.promised,
        validMs: loan.validMs,
        revision: update.revision,
    });
}

/** Debits and sends tokens that were promised to another slice. */
export function fulfilPromise(update: updates.SliceUpdate, loan: slices.QueueEntry): void {
    updates.changeEntry(update, loan.id);
    debitLoan(update, loan, { part: 1, tokens: loan.tokens });
    sendTransfer(update, loan, { part: 1, tokens: loan.tokens, promised: 0 });
}

/** Receives lent tokens. Each part counts once, while its request is open and both owners apply the same revision. */
export function receiveTransfer(update: updates.SliceUpdate, transfer: messages.LevelTransfer): void {
    const entry = update.slice.queue.find((waiting) => waiting.requests.some((request) => matches(request, transfer)));
    const request = entry?.requests.find((candidate) => matches(candidate, transfer));
    if (!entry || !request) {
        acknowledge(update, transfer.transferId, transfer.fromSlice, { part: transfer.part, ended: true });
        return;
    }
    const repeated = request.receivedParts.some((part) => part.part === transfer.part);
    if (repeated || transfer.revision !== update.revision) {
        return;
    }
    const validUntil = request.sentAt + transfer.validMs;
    const tokens = update.now < validUntil && !tryCredit(update, entry, transfer) ? transfer.tokens : 0;
    const received = { part: transfer.part, tokens, validUntil };
    const next: slices.BorrowRequest = {
        ...request,
        answered: true,
        // Part 1 may arrive before part 0. What it brought is no longer outstanding then.
        promised: transfer.part === 0 && request.receivedParts.length === 0 ? transfer.promisedTokens : 0,
        receivedParts: [...request.receivedParts, received],
    };
    if (transfer.part === 0 && transfer.tokens + transfer.promisedTokens < MIN_LOAN_TOKENS) {
        skipSlice(update, transfer.fromSlice, EXHAUSTED_SKIP_MS);
    }
    const changed = { ...entry, requests: entry.requests.map((candidate) => candidate === request ? next : candidate) };
    updates.changeEntry(update, entry.id, changed);
    if (slices.missingNow(changed, update.now) > update.slice.bucket.level) {
        borrowOrRefuse(update, changed);
    }
}

/**
 * Credits a transfer to the level if all of it fits, so that the lender's loan ends and its slice may refill at once.
 * Otherwise the tokens stay with the charge, and the loan keeps taking up the lender's capacity.
 */
function tryCredit(update: updates.SliceUpdate, entry: slices.QueueEntry, transfer: messages.LevelTransfer): boolean {
    const { transferId, fromSlice, part, tokens } = transfer;
    const capacity = buckets.capacity(update.slice.bucket);
    // A charge above the capacity of the slice needs borrowed tokens in addition to a full level.
    const fits = tokens > 0
        && slices.missingNow(entry, update.now) <= capacity
        && update.slice.bucket.level + tokens <= capacity;
    if (fits) {
        updates.changeBucket(update, (bucket) => buckets.credit(bucket, tokens));
        acknowledge(update, transferId, fromSlice, { part, ended: false });
    }
    return fits;
}

function matches(request: slices.BorrowRequest, transfer: messages.LevelTransfer): boolean {
    return request.transferId === transfer.transferId && request.lenderSlice === transfer.fromSlice;
}

/** Ends all borrow requests of an entry. Leftover tokens are credited to this slice, up to its capacity. */
export function endBorrowing(update: updates.SliceUpdate, entry: slices.QueueEntry, leftoverTokens: number): void {
    if (leftoverTokens > 0) {
        updates.changeBucket(update, (bucket) => buckets.credit(bucket, leftoverTokens));
    }
    entry.requests.filter(mayBeOutstanding).forEach((request) =>
        acknowledge(update, request.transferId, request.lenderSlice, { part: 0, ended: true })
    );
}

/** Whether the lender may still have a loan or a promise for a request. */
function mayBeOutstanding(request: slices.BorrowRequest): boolean {
    const empty = request.receivedParts.every((part) => part.tokens === 0);
    return !request.answered || request.promised > 0 || request.receivedParts.length === 0 || !empty;
}

function acknowledge(
    update: updates.SliceUpdate,
    transferId: string,
    fromSlice: number,
    acknowledged: { readonly part: number; readonly ended: boolean; },
): void {
    updates.send(update, { partition: partitionNames.slicePartition(update.slice.workspace, fromSlice) }, {
        kind: messages.MessageKind.LevelTransferAcknowledgement,
        transferId,
        workspace: update.slice.workspace,
        fromSlice,
        ...acknowledged,
    });
}

/** Releases the loan of one part of a transfer, or ends the whole transfer and removes its promise from the queue. */
export function endTransfer(update: updates.SliceUpdate, message: messages.LevelTransferAcknowledgement): void {
    const { transferId, part, ended } = message;
    updates.changeBucket(update, (bucket) => buckets.releaseLoans(bucket, transferId, ended ? undefined : part));
    if (!ended) {
        return;
    }
    update.slice = {
        ...update.slice,
        queue: update.slice.queue.filter((waiting) =>
            waiting.kind === slices.QueueEntryKind.Charge || waiting.id !== transferId
        ),
    };
}

/** Ends borrow requests that are overdue or whose tokens expire soon, and borrows again for what is missing then. */
export function expireBorrowing(update: updates.SliceUpdate): void {
    for (const entry of update.slice.queue.filter((waiting) => nextTimeoutAt(waiting) <= update.now)) {
        entry.requests
            .filter((request) => !request.answered && update.now >= request.sentAt + ANSWER_TIMEOUT_MS)
            .forEach((request) => skipSlice(update, request.lenderSlice, UNRESPONSIVE_SKIP_MS));
        const ended = entry.requests.filter((request) => expiresSoon(request, update.now));
        const requests = entry.requests.filter((request) => !ended.includes(request)).map((request) =>
            withTimeoutsApplied(request, update.now)
        );
        const borrowsAgain = entry.nextBorrowAt !== undefined && entry.nextBorrowAt <= update.now;
        const nextBorrowAt = borrowsAgain ? nextBorrowTime(entry.deadline, update.now) : entry.nextBorrowAt;
        const changed = { ...entry, requests, borrowRetryAt: undefined, nextBorrowAt };
        updates.changeEntry(update, entry.id, changed);
        const reclaimed = slices.borrowedTokens({ ...entry, requests: ended }, update.now);
        endBorrowing(update, { ...entry, requests: ended }, reclaimed);
        // A periodic retry is only for the first entry of the queue, since the others are served after it anyway. They
        // ask again only at their last retry.
        if (!borrowsAgain || nextBorrowAt === undefined || update.slice.queue[0]?.id === entry.id) {
            borrowOrRefuse(update, changed);
        }
    }
}

function expiresSoon(request: slices.BorrowRequest, now: decision.Milliseconds): boolean {
    return request.receivedParts.some((part) => part.tokens > 0 && now >= part.validUntil - RECLAIM_MARGIN_MS);
}

function withTimeoutsApplied(request: slices.BorrowRequest, now: decision.Milliseconds): slices.BorrowRequest {
    const answered = request.answered || now >= request.sentAt + ANSWER_TIMEOUT_MS;
    return {
        ...request,
        answered,
        promised: now >= request.sentAt + MAX_LOAN_MS + LOAN_GRACE_MS ? 0 : request.promised,
    };
}

/** Drops all borrow requests and promised loans, which are void under another rate limit. */
export function withoutBorrowing(slice: slices.SliceState, now: decision.Milliseconds): slices.SliceState {
    const queue = slice.queue.filter((waiting) => waiting.kind === slices.QueueEntryKind.Charge);
    const restarted = queue.map((waiting) => ({ ...waiting, requests: [], borrowRetryAt: now }));
    return { ...slice, queue: restarted, wakeAt: restarted.length > 0 ? now : undefined };
}

/** When a borrow request of an entry is overdue, its tokens expire soon, or the entry may borrow again. */
export function nextTimeoutAt(entry: slices.QueueEntry): decision.Milliseconds {
    let earliest = Math.min(entry.borrowRetryAt ?? Infinity, entry.nextBorrowAt ?? Infinity);
    for (const request of entry.requests) {
        earliest = Math.min(earliest, requestTimeoutAt(request));
    }
    return earliest;
}

function requestTimeoutAt(request: slices.BorrowRequest): decision.Milliseconds {
    let earliest = request.answered ? Infinity : request.sentAt + ANSWER_TIMEOUT_MS;
    if (request.promised > 0) {
        earliest = Math.min(earliest, request.sentAt + MAX_LOAN_MS + LOAN_GRACE_MS);
    }
    for (const received of request.receivedParts) {
        if (received.tokens > 0) {
            earliest = Math.min(earliest, received.validUntil - RECLAIM_MARGIN_MS);
        }
    }
    return earliest;
}
