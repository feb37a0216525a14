import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as buckets from "./bucket.js";
import * as messages from "./messages.js";
import * as names from "./names.js";
import * as serving from "./serving.js";
import * as slices from "./slice.js";
import * as terms from "./terms.js";
import * as works from "./work.js";

/** A charge that its own slice can serve within this time is not worth asking others for, in milliseconds. */
const BORROW_AFTER_MS = 100;

/** How long an owner waits for another slice's first answer. */
const ANSWER_TIMEOUT_MS = 100;

/** The longest time for which tokens are lent to a waiting charge; a hand-over of the partition waits for them. */
const LOAN_LIMIT_MS = 1_750;

/** When a charge that can wait longer than loans last asks the other slices again, in milliseconds. */
const ASK_AGAIN_AFTER_MS = 1_000;

/** When a charge may ask the same slice again, in milliseconds. */
const SAME_SLICE_AFTER_MS = 300;

/** How long before its deadline a charge that still waits asks the other slices once more, in milliseconds. */
const LAST_ASK_MS = 350;

/** What a loan outlasts the deadline that it is needed for, in milliseconds. */
const LOAN_GRACE_MS = 100;

/** How long a slice that had nothing to give is not asked again, in milliseconds. */
const DRY_PERIOD_MS = 100;

/** How long a slice whose owner did not answer is not asked again, in milliseconds. */
const SILENT_PERIOD_MS = 1_000;

/** Tokens that were lent are put into the level, as far as it has room, this long before they become void. */
const RECLAIM_MARGIN_MS = 50;

/** Loans below this amount are not worth a message, in tokens. */
const SMALLEST_LOAN_TOKENS = 1;

/**
 * Asks the next slice for what a charge lacks, if it lacks anything. Once every slice has answered and the charge still
 * cannot be served by its deadline, it is refused.
 */
export function askFurther(work: works.Work, entry: slices.Waiting): void {
    if (entry.kind === slices.WaitingKind.Loan || entry.asks.some((ask) => !ask.answered)) {
        return;
    }
    if (entry.askAgainAt !== undefined && work.now < entry.askAgainAt) {
        return;
    }
    const required = slices.shortfall(work.slice, entry, work.now);
    const soon = Math.min(entry.deadline, work.now + BORROW_AFTER_MS);
    const supplySoon = slices.headroom({ ...work.slice, queue: queueBefore(work.slice, entry) }, soon, work.now);
    const missing = slices.missingByDeadline(entry, work.now) - Math.max(0, supplySoon);
    const wanted = Math.max(required > 0 ? SMALLEST_LOAN_TOKENS : 0, required, missing);
    const next = nextSlice(work.slice, entry, work.now);
    if (wanted >= SMALLEST_LOAN_TOKENS && next !== undefined) {
        ask(work, entry, next, wanted, required);
    }
    else if (required > 0 && mayAskAgain(work, entry)) {
        startOver(work, entry);
    }
    else if (required > 0) {
        serving.refuse(work, entry, serving.retryAfter(work, entry));
    }
}

/** Whether the charge can wait beyond the longest loan and the whole rate would refill enough in that time. */
function mayAskAgain(work: works.Work, entry: slices.Waiting): boolean {
    const leftMs = entry.deadline - work.now;
    return leftMs > LOAN_LIMIT_MS && serving.retryAfter(work, entry) < leftMs;
}

/** When a charge with the given deadline asks the other slices once more; undefined if that is now or over. */
export function lastAskAt(
    deadline: decision.Milliseconds,
    now: decision.Milliseconds,
): decision.Milliseconds | undefined {
    const at = deadline - LAST_ASK_MS;
    return at > now ? at : undefined;
}

/** Closes what was asked so far and asks again later, when the other slices have refilled. */
function startOver(work: works.Work, entry: slices.Waiting): void {
    works.changeWaiting(work, entry.id, { ...entry, asks: [], askAgainAt: work.now + ASK_AGAIN_AFTER_MS });
    closeAsks(work, entry, slices.gatheredTokens(entry, work.now));
}

function queueBefore(slice: slices.SliceState, entry: slices.Waiting): readonly slices.Waiting[] {
    return slice.queue.slice(0, slice.queue.findIndex((waiting) => waiting.id === entry.id));
}

function nextSlice(
    slice: slices.SliceState,
    entry: slices.Waiting,
    now: decision.Milliseconds,
): number | undefined {
    const recent = entry.asks.filter((known) => !known.answered || now < known.askedAt + SAME_SLICE_AFTER_MS);
    const asked = [...recent.map((known) => known.slice), ...drySlices(slice, now)];
    const others = Array.from(
        { length: membership.SLICE_COUNT - 1 },
        (_, index) => (slice.index + index + 1) % membership.SLICE_COUNT,
    );
    return others.find((other) => !asked.includes(other));
}

/** Slices that gave less than they were asked for a short while ago; asking again would cost messages for nothing. */
function drySlices(slice: slices.SliceState, now: decision.Milliseconds): readonly number[] {
    return slice.dry.filter((known) => now < known.until).map((known) => known.slice);
}

function noteDry(work: works.Work, slice: number, periodMs: decision.Milliseconds): void {
    const others = work.slice.dry.filter((known) => known.slice !== slice);
    work.slice = { ...work.slice, dry: [...others, { slice, until: work.now + periodMs }] };
}

function ask(work: works.Work, entry: slices.Waiting, slice: number, tokens: number, required: number): void {
    const transferId = work.nextTransferId();
    const open = { transferId, slice, askedAt: work.now, answered: false, promised: 0, gathered: [] };
    works.changeWaiting(work, entry.id, { ...entry, asks: [...entry.asks, open] });
    works.send(work, { partition: names.slicePartition(work.slice.workspace, slice) }, {
        kind: messages.MessageKind.LevelRequest,
        transferId,
        workspace: work.slice.workspace,
        fromSlice: slice,
        toSlice: work.slice.index,
        tokens,
        requiredTokens: required,
        patienceMs: Math.min(LOAN_LIMIT_MS, entry.deadline - work.now),
        revision: work.revision,
    });
}

/** Gives another slice what this one can spare now, and promises what it can spare in time. Debits first. */
export function lend(work: works.Work, request: messages.LevelRequest): void {
    const { transferId } = request;
    const repeated = work.slice.queue.some((waiting) => waiting.id === transferId)
        || work.slice.bucket.held.some((room) => room.transferId === transferId);
    if (repeated) {
        return;
    }
    const rightMs = (work.right.until - work.now) * terms.SHORTER_ON_ANY_CLOCK;
    const validMs = Math.min(request.patienceMs + LOAN_GRACE_MS, LOAN_LIMIT_MS + LOAN_GRACE_MS, rightMs);
    const usable = request.revision === work.revision && validMs > 0;
    const spare = Math.min(work.slice.bucket.level, slices.headroom(work.slice, work.now, work.now));
    const given = usable ? worthLending(Math.min(request.tokens, spare)) : 0;
    const loan = loanEntry(work, request, validMs);
    if (given > 0) {
        lendNow(work, loan, { part: 0, tokens: given });
    }
    const promised = usable ? worthLending(promise(work, loan, request.requiredTokens - given)) : 0;
    if (promised > 0) {
        work.slice = { ...work.slice, queue: slices.enqueue(work.slice.queue, { ...loan, tokens: promised }) };
    }
    sendTransfer(work, loan, { part: 0, tokens: given, promised });
}

function loanEntry(work: works.Work, request: messages.LevelRequest, validMs: number): slices.Waiting {
    return {
        kind: slices.WaitingKind.Loan,
        id: request.transferId,
        tokens: 0,
        deadline: work.now + Math.min(request.patienceMs, validMs - RECLAIM_MARGIN_MS) * terms.SHORTER_ON_ANY_CLOCK,
        replyTo: { partition: names.slicePartition(request.workspace, request.toSlice) },
        asks: [],
        validMs,
        arrivedAt: work.now,
        toSlice: request.toSlice,
    };
}

function worthLending(tokens: number): number {
    return tokens >= SMALLEST_LOAN_TOKENS ? tokens : 0;
}

/** What the slice can add for a loan by its deadline, in tokens, at most what is lacking. */
function promise(work: works.Work, loan: slices.Waiting, lacking: number): number {
    const spare = slices.headroom(work.slice, loan.deadline, work.now);
    return Math.min(lacking, spare, buckets.capacity(work.slice.bucket));
}

function lendNow(
    work: works.Work,
    loan: slices.Waiting,
    { part, tokens }: { readonly part: number; readonly tokens: number; },
): void {
    decision.invariant(work.now < work.right.until, "tokens are lent only while the right to the slice holds");
    decision.invariant(tokens <= work.slice.bucket.level, "tokens are lent only within the level of the slice");
    const until = loan.arrivedAt + loan.validMs * terms.LONGER_ON_ANY_CLOCK;
    works.changeBucket(work, (bucket) => buckets.lend(bucket, { transferId: loan.id, part, tokens, until }));
}

function sendTransfer(
    work: works.Work,
    loan: slices.Waiting,
    amount: { readonly part: number; readonly tokens: number; readonly promised: number; },
): void {
    works.send(work, loan.replyTo, {
        kind: messages.MessageKind.LevelTransfer,
        transferId: loan.id,
        workspace: work.slice.workspace,
        fromSlice: work.slice.index,
        toSlice: loan.toSlice,
        part: amount.part,
        tokens: amount.tokens,
        promisedTokens: amount.promised,
        validMs: loan.validMs,
        revision: work.revision,
    });
}

/** Gives a promised loan. */
export function giveLoan(work: works.Work, loan: slices.Waiting): void {
    works.changeWaiting(work, loan.id);
    lendNow(work, loan, { part: 1, tokens: loan.tokens });
    sendTransfer(work, loan, { part: 1, tokens: loan.tokens, promised: 0 });
}

/** Takes in what another slice gave. Each part counts once, only while it is asked for and under the same terms. */
export function takeTransfer(work: works.Work, transfer: messages.LevelTransfer): void {
    const entry = work.slice.queue.find((waiting) => waiting.asks.some((open) => isAnswer(open, transfer)));
    const open = entry?.asks.find((candidate) => isAnswer(candidate, transfer));
    if (!entry || !open) {
        acknowledge(work, transfer.transferId, transfer.fromSlice, { part: transfer.part, ended: true });
        return;
    }
    const counted = open.gathered.some((gathered) => gathered.part === transfer.part);
    if (counted || transfer.revision !== work.revision) {
        return;
    }
    const validUntil = open.askedAt + transfer.validMs;
    const tokens = work.now < validUntil && !creditAtOnce(work, entry, transfer) ? transfer.tokens : 0;
    const gathered = { part: transfer.part, tokens, validUntil };
    const next: slices.OpenAsk = {
        ...open,
        answered: true,
        // Part 1 may overtake part 0; what it brought is promised no longer.
        promised: transfer.part === 0 && open.gathered.length === 0 ? transfer.promisedTokens : 0,
        gathered: [...open.gathered, gathered],
    };
    if (transfer.part === 0 && transfer.tokens + transfer.promisedTokens < SMALLEST_LOAN_TOKENS) {
        noteDry(work, transfer.fromSlice, DRY_PERIOD_MS);
    }
    const changed = { ...entry, asks: entry.asks.map((candidate) => candidate === open ? next : candidate) };
    works.changeWaiting(work, entry.id, changed);
    if (slices.missingNow(changed, work.now) > work.slice.bucket.level) {
        askFurther(work, changed);
    }
}

/**
 * Credits a transfer to the level if that has room for all of it, so that the sender's slice may fill up again at once.
 * Otherwise the tokens stay with the charge, and the sender holds their room.
 */
function creditAtOnce(work: works.Work, entry: slices.Waiting, transfer: messages.LevelTransfer): boolean {
    const { transferId, fromSlice, part, tokens } = transfer;
    const capacity = buckets.capacity(work.slice.bucket);
    // A charge that exceeds the slice's own burst needs tokens beside the level.
    const fits = tokens > 0
        && slices.missingNow(entry, work.now) <= capacity
        && work.slice.bucket.level + tokens <= capacity;
    if (fits) {
        works.changeBucket(work, (bucket) => buckets.credit(bucket, tokens));
        acknowledge(work, transferId, fromSlice, { part, ended: false });
    }
    return fits;
}

function isAnswer(open: slices.OpenAsk, transfer: messages.LevelTransfer): boolean {
    return open.transferId === transfer.transferId && open.slice === transfer.fromSlice;
}

/** Ends all asks of an entry. Leftover tokens go to this slice's level as far as its burst allows. */
export function closeAsks(work: works.Work, entry: slices.Waiting, leftoverTokens: number): void {
    if (leftoverTokens > 0) {
        works.changeBucket(work, (bucket) => buckets.credit(bucket, leftoverTokens));
    }
    entry.asks.filter(mayHoldRoom).forEach((open) =>
        acknowledge(work, open.transferId, open.slice, { part: 0, ended: true })
    );
}

/** Whether the other slice may still hold room for an ask, or tokens that it promised. */
function mayHoldRoom(open: slices.OpenAsk): boolean {
    const empty = open.gathered.every((gathered) => gathered.tokens === 0);
    return !open.answered || open.promised > 0 || open.gathered.length === 0 || !empty;
}

function acknowledge(
    work: works.Work,
    transferId: string,
    fromSlice: number,
    what: { readonly part: number; readonly ended: boolean; },
): void {
    works.send(work, { partition: names.slicePartition(work.slice.workspace, fromSlice) }, {
        kind: messages.MessageKind.LevelTransferAcknowledgement,
        transferId,
        workspace: work.slice.workspace,
        fromSlice,
        ...what,
    });
}

/** Frees the room of a part of a transfer, or of all of it, and takes back what was promised for it. */
export function endTransfer(work: works.Work, message: messages.LevelTransferAcknowledgement): void {
    const { transferId, part, ended } = message;
    works.changeBucket(work, (bucket) => buckets.release(bucket, transferId, ended ? undefined : part));
    if (!ended) {
        return;
    }
    work.slice = {
        ...work.slice,
        queue: work.slice.queue.filter((waiting) =>
            waiting.kind === slices.WaitingKind.Charge || waiting.id !== transferId
        ),
    };
}

/** Forgets asks whose answers are overdue or nearly void, and asks further for what is lacking then. */
export function dropVoid(work: works.Work): void {
    for (const entry of work.slice.queue.filter((waiting) => nextTimeout(waiting) <= work.now)) {
        entry.asks
            .filter((open) => !open.answered && work.now >= open.askedAt + ANSWER_TIMEOUT_MS)
            .forEach((open) => noteDry(work, open.slice, SILENT_PERIOD_MS));
        const ended = entry.asks.filter((open) => nearlyVoid(open, work.now));
        const asks = entry.asks.filter((open) => !ended.includes(open)).map((open) => withoutOverdue(open, work.now));
        const lastAskAt = entry.lastAskAt !== undefined && work.now < entry.lastAskAt ? entry.lastAskAt : undefined;
        const changed = { ...entry, asks, askAgainAt: undefined, lastAskAt };
        works.changeWaiting(work, entry.id, changed);
        const reclaimed = slices.gatheredTokens({ ...entry, asks: ended }, work.now);
        closeAsks(work, { ...entry, asks: ended }, reclaimed);
        askFurther(work, changed);
    }
}

function nearlyVoid(open: slices.OpenAsk, now: decision.Milliseconds): boolean {
    return open.gathered.some((gathered) => gathered.tokens > 0 && now >= gathered.validUntil - RECLAIM_MARGIN_MS);
}

function withoutOverdue(open: slices.OpenAsk, now: decision.Milliseconds): slices.OpenAsk {
    const answered = open.answered || now >= open.askedAt + ANSWER_TIMEOUT_MS;
    return { ...open, answered, promised: now >= open.askedAt + LOAN_LIMIT_MS + LOAN_GRACE_MS ? 0 : open.promised };
}

/** Drops everything that was asked of or promised to other slices: it is void under other terms. */
export function withoutAsks(slice: slices.SliceState, now: decision.Milliseconds): slices.SliceState {
    const queue = slice.queue.filter((waiting) => waiting.kind === slices.WaitingKind.Charge);
    const again = queue.map((waiting) => ({ ...waiting, asks: [], askAgainAt: now }));
    return { ...slice, queue: again, wakeAt: again.length > 0 ? now : undefined };
}

/** When something that was asked of other slices is overdue or nearly void, or may be asked again. */
export function nextTimeout(waiting: slices.Waiting): decision.Milliseconds {
    let earliest = Math.min(waiting.askAgainAt ?? Infinity, waiting.lastAskAt ?? Infinity);
    for (const open of waiting.asks) {
        earliest = Math.min(earliest, askTimeout(open));
    }
    return earliest;
}

function askTimeout(open: slices.OpenAsk): decision.Milliseconds {
    let earliest = open.answered ? Infinity : open.askedAt + ANSWER_TIMEOUT_MS;
    if (open.promised > 0) {
        earliest = Math.min(earliest, open.askedAt + LOAN_LIMIT_MS + LOAN_GRACE_MS);
    }
    for (const gathered of open.gathered) {
        if (gathered.tokens > 0) {
            earliest = Math.min(earliest, gathered.validUntil - RECLAIM_MARGIN_MS);
        }
    }
    return earliest;
}
