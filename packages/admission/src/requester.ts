import type * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import type * as events from "./events.js";
import * as messages from "./messages.js";
import * as partitionNames from "./partitionnames.js";
import * as sharded from "./shardedmap.js";

/** The state of a request that asks the owners of its workspace's slices for tokens. */
export enum RequestState {
    /** A charge was sent and has not been answered yet. */
    ChargeSent = "asked",
    /** The owner replied that the charge waits in its queue. */
    Waiting = "waiting",
    /** No owner decided the charge; they are asked again after a delay. */
    BackingOff = "pausing",
    Granted = "granted",
    /** Refused, cancelled or settled. Kept for a while to recognize late replies. */
    Ended = "ended",
}

/** A request for tokens at the host that received it. */
export interface Request {
    /** When the request may be dropped. */
    readonly expiresAt: decision.Milliseconds;
    readonly requestId: string;
    readonly workspace: string;
    readonly tokens: number;
    readonly deadline: decision.Milliseconds;
    readonly sliceOrder: readonly number[];
    readonly state: RequestState;
    /** Number of charges that were sent for this request. */
    readonly chargeCount: number;
    /** The host that granted the charge. */
    readonly grantedBy?: string;
    /** The charge that was accepted. Charges granted later are cancelled. */
    readonly grantedChargeId?: string;
}

/** The requests of this host, and which owners did not answer them. */
export interface Requests {
    readonly byId: sharded.ShardedMap<Request>;
    /** Partitions that are asked last because their owners did not answer, and until when. */
    readonly unresponsiveUntil: ReadonlyMap<string, decision.Milliseconds>;
}

export function noRequests(): Requests {
    return { byId: sharded.emptyMap(), unresponsiveUntil: new Map() };
}

/** The new state and the actions that follow from an event. */
export interface RequesterStep {
    readonly requests: Requests;
    readonly actions: readonly actions.Action[];
}

const REPLY_TIMEOUT_MS = 200;
/** How often a waiting charge is sent again, in case its owner is gone. */
const POLL_PERIOD_MS = 1_000;
/** Delay before the slices are asked again after all were asked. */
const ROUND_BACKOFF_MS = 100;
/** Retry delay reported for requests that end without an owner's refusal. */
const RETRY_AFTER_MS = 1_000;
const UNRESPONSIVE_PERIOD_MS = 2_000;
const ENDED_RETENTION_MS = 30_000;
const CHARGE_NUMBER_SEPARATOR = "#";

function chargeIdOf(request: Request): string {
    return `${request.requestId}${CHARGE_NUMBER_SEPARATOR}${request.chargeCount}`;
}

function currentSlice(request: Request): number {
    return request.sliceOrder[(request.chargeCount - 1) % request.sliceOrder.length] ?? 0;
}

/** Starts asking for the tokens of a request. */
export function startRequest(
    requests: Requests,
    event: events.AdmissionRequest,
    now: decision.Milliseconds,
): RequesterStep {
    const { requestId, workspace, tokens, deadline } = event;
    const order = unresponsiveLast(requests, workspace, event.order, now);
    const state = RequestState.ChargeSent;
    const request: Request = {
        requestId,
        workspace,
        tokens,
        deadline,
        sliceOrder: order,
        state,
        chargeCount: 0,
        expiresAt: Infinity,
    };
    return sendNextCharge(requests, request, now);
}

function unresponsiveLast(
    requests: Requests,
    workspace: string,
    order: readonly number[],
    now: decision.Milliseconds,
): readonly number[] {
    if (requests.unresponsiveUntil.size === 0) {
        return order;
    }
    const unresponsive = (slice: number) =>
        (requests.unresponsiveUntil.get(partitionNames.slicePartition(workspace, slice)) ?? 0) > now;
    return [...order.filter((slice) => !unresponsive(slice)), ...order.filter(unresponsive)];
}

/** Records that the owner of the slice that was asked did not answer in time. */
function markUnresponsive(requests: Requests, request: Request, now: decision.Milliseconds): Requests {
    const current = [...requests.unresponsiveUntil].filter(([, until]) => until > now);
    const partition = partitionNames.slicePartition(request.workspace, currentSlice(request));
    return { ...requests, unresponsiveUntil: new Map([...current, [partition, now + UNRESPONSIVE_PERIOD_MS]]) };
}

function sendNextCharge(requests: Requests, request: Request, now: decision.Milliseconds): RequesterStep {
    if (now >= request.deadline) {
        return endRequest(requests, request, now, [answer(request, false, RETRY_AFTER_MS)]);
    }
    const next = { ...request, state: RequestState.ChargeSent, chargeCount: request.chargeCount + 1 };
    return sendCharge(requests, next, now);
}

function sendCharge(requests: Requests, request: Request, now: decision.Milliseconds): RequesterStep {
    const timeoutAt = Math.min(request.deadline, now + REPLY_TIMEOUT_MS);
    const slice = currentSlice(request);
    return store(requests, { ...request, state: RequestState.ChargeSent }, now, [
        send({ partition: partitionNames.slicePartition(request.workspace, slice) }, {
            kind: messages.MessageKind.ChargeRequest,
            chargeId: chargeIdOf(request),
            workspace: request.workspace,
            slice,
            tokens: request.tokens,
            patienceMs: request.deadline - now,
        }),
        wakeAt(request.requestId, timeoutAt),
    ]);
}

export function handleReply(
    requests: Requests,
    from: string,
    reply: messages.ChargeReply,
    now: decision.Milliseconds,
): RequesterStep {
    const requestId = reply.chargeId.slice(0, reply.chargeId.lastIndexOf(CHARGE_NUMBER_SEPARATOR));
    const request = sharded.find(requests.byId, requestId);
    if (!request) {
        return { requests, actions: [] };
    }
    const awaitingReply = request.state === RequestState.ChargeSent || request.state === RequestState.Waiting;
    const current = awaitingReply && reply.chargeId === chargeIdOf(request);
    if (reply.status === messages.ChargeStatus.Granted) {
        return current ? acceptGrant(requests, request, from, now) : returnLateGrant(requests, request, from, reply);
    }
    if (!current) {
        return { requests, actions: [] };
    }
    switch (reply.status) {
        case messages.ChargeStatus.Refused:
            return endRequest(requests, request, now, [answer(request, false, reply.retryAfterMs)]);
        case messages.ChargeStatus.Waiting:
            return store(requests, { ...request, state: RequestState.Waiting }, now, [
                wakeAt(requestId, Math.min(request.deadline, now + POLL_PERIOD_MS)),
            ]);
        case messages.ChargeStatus.NotOwner:
            return tryNextSlice(requests, request, now);
    }
}

function acceptGrant(requests: Requests, request: Request, from: string, now: decision.Milliseconds): RequesterStep {
    const next = {
        ...request,
        state: RequestState.Granted,
        grantedBy: from,
        grantedChargeId: chargeIdOf(request),
    };
    return store(requests, next, now, [wakeAt(request.requestId, undefined), answer(request, true, 0)]);
}

/** Cancels a charge that was granted too late. A repeated reply to the accepted charge changes nothing. */
function returnLateGrant(
    requests: Requests,
    request: Request,
    from: string,
    reply: messages.ChargeReply,
): RequesterStep {
    if (request.grantedChargeId === reply.chargeId) {
        return { requests, actions: [] };
    }
    return { requests, actions: [cancelCharge({ host: from }, request, reply.chargeId, reply.slice)] };
}

function cancelCharge(to: actions.Destination, request: Request, chargeId: string, slice: number): actions.Action {
    const { workspace } = request;
    return send(to, { kind: messages.MessageKind.Settlement, chargeId, workspace, slice, usedTokens: 0 });
}

function cancelCurrentCharge(request: Request): actions.Action {
    const slice = currentSlice(request);
    const to = { partition: partitionNames.slicePartition(request.workspace, slice) };
    return cancelCharge(to, request, chargeIdOf(request), slice);
}

/** Asks the next slice. Once all were asked, backs off before the next round. */
function tryNextSlice(requests: Requests, request: Request, now: decision.Milliseconds): RequesterStep {
    if (request.chargeCount % request.sliceOrder.length !== 0) {
        return sendNextCharge(requests, request, now);
    }
    const backingOff = { ...request, state: RequestState.BackingOff };
    const at = Math.min(request.deadline, now + ROUND_BACKOFF_MS);
    return store(requests, backingOff, now, [wakeAt(request.requestId, at)]);
}

/**
 * Handles a wake-up of a request: its reply is overdue, its backoff is over, its charge is polled, or its deadline has
 * passed.
 */
export function wake(requests: Requests, requestId: string, now: decision.Milliseconds): RequesterStep {
    const request = sharded.find(requests.byId, requestId);
    switch (request?.state) {
        case RequestState.BackingOff:
            return sendNextCharge(requests, request, now);
        case RequestState.ChargeSent: {
            const marked = markUnresponsive(requests, request, now);
            const next = now >= request.deadline
                ? sendNextCharge(marked, request, now)
                : tryNextSlice(marked, request, now);
            return { requests: next.requests, actions: [cancelCurrentCharge(request), ...next.actions] };
        }
        case RequestState.Waiting:
            return now < request.deadline
                ? sendCharge(requests, request, now)
                : endRequest(requests, request, now, [
                    cancelCurrentCharge(request),
                    answer(request, false, RETRY_AFTER_MS),
                ]);
        default:
            return { requests, actions: [] };
    }
}

/** Ends a request whose caller has gone, and cancels its charge at the owner. */
export function cancelRequest(requests: Requests, requestId: string, now: decision.Milliseconds): RequesterStep {
    const request = sharded.find(requests.byId, requestId);
    if (!request || request.state === RequestState.Granted || request.state === RequestState.Ended) {
        return { requests, actions: [] };
    }
    const cancelled = request.state === RequestState.BackingOff ? [] : [cancelCurrentCharge(request)];
    return endRequest(requests, request, now, [...cancelled, answer(request, false, RETRY_AFTER_MS)]);
}

/** Tells the owner how many tokens a granted request used in the end. Only the first call counts. */
export function settle(requests: Requests, event: events.Settle, now: decision.Milliseconds): RequesterStep {
    const request = sharded.find(requests.byId, event.requestId);
    if (request?.state !== RequestState.Granted || request.grantedBy === undefined) {
        return { requests, actions: [] };
    }
    if (event.usedTokens === request.tokens) {
        // There is nothing to refund or to debit, so the owner needs no message.
        return endRequest(requests, request, now, []);
    }
    return endRequest(requests, request, now, [send({ host: request.grantedBy }, {
        kind: messages.MessageKind.Settlement,
        chargeId: request.grantedChargeId ?? chargeIdOf(request),
        workspace: request.workspace,
        slice: currentSlice(request),
        usedTokens: event.usedTokens,
    })]);
}

function endRequest(
    requests: Requests,
    request: Request,
    now: decision.Milliseconds,
    newActions: readonly actions.Action[],
): RequesterStep {
    const ended = { ...request, state: RequestState.Ended, expiresAt: now + ENDED_RETENTION_MS };
    return store(requests, ended, now, [wakeAt(request.requestId, undefined), ...newActions]);
}

function store(
    requests: Requests,
    request: Request,
    now: decision.Milliseconds,
    newActions: readonly actions.Action[],
): RequesterStep {
    const byId = sharded.put(requests.byId, request.requestId, request, (known) => known.expiresAt > now);
    return { requests: { ...requests, byId }, actions: newActions };
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
