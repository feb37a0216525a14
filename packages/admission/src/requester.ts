import type * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import type * as events from "./events.js";
import * as messages from "./messages.js";
import * as names from "./names.js";
import * as sharded from "./sharded.js";

/** How a request of this host stands with the owners of its workspace's slices. */
export enum RequestState {
    /** A charge was sent and is not answered. */
    Asked = "asked",
    /** The owner said that the charge waits. */
    Waiting = "waiting",
    /** No owner answered; they are asked again after a pause. */
    Pausing = "pausing",
    Granted = "granted",
    /** Refused, left or settled. Kept for a while to recognise late replies. */
    Ended = "ended",
}

/** One request at the host that received it. */
export interface Request {
    /** When the request may be forgotten. */
    readonly until: decision.Milliseconds;
    readonly requestId: string;
    readonly workspace: string;
    readonly tokens: number;
    readonly deadline: decision.Milliseconds;
    readonly order: readonly number[];
    readonly state: RequestState;
    /** Counts the charges that were sent for this request. */
    readonly attempt: number;
    /** The host whose owner granted the charge. */
    readonly grantedBy?: string;
    /** The charge that counts, once one was granted. */
    readonly grantedChargeId?: string;
}

/** The requests of this host, and what it knows of the owners that it asks. */
export interface Requests {
    readonly open: sharded.ShardedMap<Request>;
    /** Until when partitions are asked last because their owners did not answer. */
    readonly silentUntil: ReadonlyMap<string, decision.Milliseconds>;
}

/** The state before the first request. */
export function noRequests(): Requests {
    return { open: sharded.emptyMap(), silentUntil: new Map() };
}

/** What one event leads to. */
export interface RequesterStep {
    readonly requests: Requests;
    readonly actions: readonly actions.Action[];
}

const REPLY_TIMEOUT_MS = 200;
/** How often a waiting charge is asked for, in case its owner is gone. */
const POLL_PERIOD_MS = 1_000;
const PAUSE_MS = 100;
const RETRY_AFTER_MS = 1_000;
const SILENT_PERIOD_MS = 2_000;
const ENDED_MEMORY_MS = 30_000;
const ATTEMPT_SEPARATOR = "#";

function chargeIdOf(request: Request): string {
    return `${request.requestId}${ATTEMPT_SEPARATOR}${request.attempt}`;
}

function currentSlice(request: Request): number {
    return request.order[(request.attempt - 1) % request.order.length] ?? 0;
}

/** Starts to ask for a request. */
export function wish(requests: Requests, event: events.Wish, now: decision.Milliseconds): RequesterStep {
    const { requestId, workspace, tokens, deadline } = event;
    const order = silentLast(requests, workspace, event.order, now);
    const state = RequestState.Asked;
    const request: Request = { requestId, workspace, tokens, deadline, order, state, attempt: 0, until: Infinity };
    return askNext(requests, request, now);
}

function silentLast(
    requests: Requests,
    workspace: string,
    order: readonly number[],
    now: decision.Milliseconds,
): readonly number[] {
    if (requests.silentUntil.size === 0) {
        return order;
    }
    const silent = (slice: number) => (requests.silentUntil.get(names.slicePartition(workspace, slice)) ?? 0) > now;
    return [...order.filter((slice) => !silent(slice)), ...order.filter(silent)];
}

/** Takes note that the owner of a request's slice did not answer in time. */
function noteSilent(requests: Requests, request: Request, now: decision.Milliseconds): Requests {
    const current = [...requests.silentUntil].filter(([, until]) => until > now);
    const partition = names.slicePartition(request.workspace, currentSlice(request));
    return { ...requests, silentUntil: new Map([...current, [partition, now + SILENT_PERIOD_MS]]) };
}

function askNext(requests: Requests, request: Request, now: decision.Milliseconds): RequesterStep {
    if (now >= request.deadline) {
        return end(requests, request, now, [answer(request, false, RETRY_AFTER_MS)]);
    }
    const next = { ...request, state: RequestState.Asked, attempt: request.attempt + 1 };
    return ask(requests, next, now);
}

function ask(requests: Requests, request: Request, now: decision.Milliseconds): RequesterStep {
    const timeout = Math.min(request.deadline, now + REPLY_TIMEOUT_MS);
    const slice = currentSlice(request);
    return keep(requests, { ...request, state: RequestState.Asked }, now, [
        send({ partition: names.slicePartition(request.workspace, slice) }, {
            kind: messages.MessageKind.ChargeRequest,
            chargeId: chargeIdOf(request),
            workspace: request.workspace,
            slice,
            tokens: request.tokens,
            patienceMs: request.deadline - now,
        }),
        wakeAt(request.requestId, timeout),
    ]);
}

/** Takes in an owner's reply. */
export function takeReply(
    requests: Requests,
    from: string,
    reply: messages.ChargeReply,
    now: decision.Milliseconds,
): RequesterStep {
    const requestId = reply.chargeId.slice(0, reply.chargeId.lastIndexOf(ATTEMPT_SEPARATOR));
    const request = sharded.find(requests.open, requestId);
    if (!request) {
        return { requests, actions: [] };
    }
    const open = request.state === RequestState.Asked || request.state === RequestState.Waiting;
    const current = open && reply.chargeId === chargeIdOf(request);
    if (reply.status === messages.ChargeStatus.Granted) {
        return current ? granted(requests, request, from, now) : giveBack(requests, request, from, reply);
    }
    if (!current) {
        return { requests, actions: [] };
    }
    switch (reply.status) {
        case messages.ChargeStatus.Refused:
            return end(requests, request, now, [answer(request, false, reply.retryAfterMs)]);
        case messages.ChargeStatus.Waiting:
            return keep(requests, { ...request, state: RequestState.Waiting }, now, [
                wakeAt(requestId, Math.min(request.deadline, now + POLL_PERIOD_MS)),
            ]);
        case messages.ChargeStatus.NotOwner:
            return tryNext(requests, request, now);
    }
}

function granted(requests: Requests, request: Request, from: string, now: decision.Milliseconds): RequesterStep {
    const next = {
        ...request,
        state: RequestState.Granted,
        grantedBy: from,
        grantedChargeId: chargeIdOf(request),
    };
    return keep(requests, next, now, [wakeAt(request.requestId, undefined), answer(request, true, 0)]);
}

/** Gives a charge back that was granted too late to count. A repeated reply to the one that counts changes nothing. */
function giveBack(requests: Requests, request: Request, from: string, reply: messages.ChargeReply): RequesterStep {
    if (request.grantedChargeId === reply.chargeId) {
        return { requests, actions: [] };
    }
    return { requests, actions: [cancel({ host: from }, request, reply.chargeId, reply.slice)] };
}

function cancel(to: actions.Destination, request: Request, chargeId: string, slice: number): actions.Action {
    const { workspace } = request;
    return send(to, { kind: messages.MessageKind.Settlement, chargeId, workspace, slice, usedTokens: 0 });
}

function cancelCurrent(request: Request): actions.Action {
    const slice = currentSlice(request);
    const to = { partition: names.slicePartition(request.workspace, slice) };
    return cancel(to, request, chargeIdOf(request), slice);
}

/** Asks the next slice; after all were asked, pauses before the next round. */
function tryNext(requests: Requests, request: Request, now: decision.Milliseconds): RequesterStep {
    if (request.attempt % request.order.length !== 0) {
        return askNext(requests, request, now);
    }
    const pausing = { ...request, state: RequestState.Pausing };
    const at = Math.min(request.deadline, now + PAUSE_MS);
    return keep(requests, pausing, now, [wakeAt(request.requestId, at)]);
}

/** The time that a request asked for has come: an answer is overdue, or the deadline has passed. */
export function wake(requests: Requests, requestId: string, now: decision.Milliseconds): RequesterStep {
    const request = sharded.find(requests.open, requestId);
    switch (request?.state) {
        case RequestState.Pausing:
            return askNext(requests, request, now);
        case RequestState.Asked: {
            const noted = noteSilent(requests, request, now);
            const next = now >= request.deadline ? askNext(noted, request, now) : tryNext(noted, request, now);
            return { requests: next.requests, actions: [cancelCurrent(request), ...next.actions] };
        }
        case RequestState.Waiting:
            return now < request.deadline
                ? ask(requests, request, now)
                : end(requests, request, now, [cancelCurrent(request), answer(request, false, RETRY_AFTER_MS)]);
        default:
            return { requests, actions: [] };
    }
}

/** Drops a request whose caller has left, at its owner too. */
export function leave(requests: Requests, requestId: string, now: decision.Milliseconds): RequesterStep {
    const request = sharded.find(requests.open, requestId);
    if (!request || request.state === RequestState.Granted || request.state === RequestState.Ended) {
        return { requests, actions: [] };
    }
    const cancelled = request.state === RequestState.Pausing ? [] : [cancelCurrent(request)];
    return end(requests, request, now, [...cancelled, answer(request, false, RETRY_AFTER_MS)]);
}

/** Tells the owner what a granted request used in the end. Only the first call counts. */
export function settle(requests: Requests, event: events.Settle, now: decision.Milliseconds): RequesterStep {
    const request = sharded.find(requests.open, event.requestId);
    if (request?.state !== RequestState.Granted || request.grantedBy === undefined) {
        return { requests, actions: [] };
    }
    if (event.usedTokens === request.tokens) {
        // Nothing comes back and nothing is owed, so the owner need not hear of it.
        return end(requests, request, now, []);
    }
    return end(requests, request, now, [send({ host: request.grantedBy }, {
        kind: messages.MessageKind.Settlement,
        chargeId: request.grantedChargeId ?? chargeIdOf(request),
        workspace: request.workspace,
        slice: currentSlice(request),
        usedTokens: event.usedTokens,
    })]);
}

function end(
    requests: Requests,
    request: Request,
    now: decision.Milliseconds,
    made: readonly actions.Action[],
): RequesterStep {
    const ended = { ...request, state: RequestState.Ended, until: now + ENDED_MEMORY_MS };
    return keep(requests, ended, now, [wakeAt(request.requestId, undefined), ...made]);
}

function keep(
    requests: Requests,
    request: Request,
    now: decision.Milliseconds,
    made: readonly actions.Action[],
): RequesterStep {
    const open = sharded.put(requests.open, request.requestId, request, (known) => known.until > now);
    return { requests: { ...requests, open }, actions: made };
}

function send(to: actions.Destination, message: messages.Message): actions.Action {
    return { kind: actions.ActionKind.Send, to, message };
}

function answer(request: Request, wasGranted: boolean, retryAfterMs: decision.Milliseconds): actions.Action {
    const { requestId } = request;
    return { kind: actions.ActionKind.Answer, requestId, granted: wasGranted, retryAfterMs };
}

function wakeAt(subject: string, at: decision.Milliseconds | undefined): actions.Action {
    return { kind: actions.ActionKind.WakeAt, subject, at };
}
