import type * as protobuf from "@bufbuild/protobuf";
import type * as decision from "@citronlead/decision";
import * as protocol from "@citronlead/protocol";
import * as scheduling from "@citronlead/scheduling";
import * as owners from "./owner.js";
import type * as shards from "./shards.js";

type Progress = Omit<Extract<scheduling.Event, { kind: scheduling.EventKind.Progress; }>, "kind">;
type End = Omit<Extract<scheduling.Event, { kind: scheduling.EventKind.End; }>, "kind">;

/** A message from a host to the owner of a shard. */
export type OwnerMessage =
    | {
        readonly kind: OwnerMessageKind.Request;
        readonly shard: shards.ShardName;
        readonly request: scheduling.ReservationRequest;
    }
    | { readonly kind: OwnerMessageKind.Progress; readonly shard: shards.ShardName; readonly progress: Progress; }
    | { readonly kind: OwnerMessageKind.End; readonly shard: shards.ShardName; readonly end: End; };

export enum OwnerMessageKind {
    Request = "ask",
    Progress = "progress",
    End = "end",
}

/** An owner's answer as the requesting host receives it. Durations count from its arrival. */
export interface ReceivedAnswer {
    readonly id: string;
    readonly status: owners.ReservationStatus;
    readonly prefill: string;
    readonly decode: string;
    readonly startAfterMs: decision.Milliseconds;
    readonly prefillMs: decision.Milliseconds;
    readonly transferMs: decision.Milliseconds;
    readonly retryAfterMs: decision.Milliseconds;
}

type Message = protobuf.MessageInitShape<typeof protocol.SchedulingMessageSchema>;

/** Encodes a message to an owner. Deadlines are sent as the time remaining, because each host has its own clock. */
export function encodeOwnerMessage(message: OwnerMessage, now: decision.Milliseconds): Message {
    const { pool, shard } = message.shard;
    switch (message.kind) {
        case OwnerMessageKind.Request:
            return {
                body: { case: "reservationRequest", value: { pool, shard, ...encodeRequest(message.request, now) } },
            };
        case OwnerMessageKind.Progress: {
            const { id: reservationId, ...progress } = message.progress;
            return { body: { case: "reservationProgress", value: { pool, shard, reservationId, ...progress } } };
        }
        case OwnerMessageKind.End: {
            const { id: reservationId, failed, ...rest } = message.end;
            const value = { pool, shard, reservationId, failedUpstreams: [...failed], ...rest };
            return { body: { case: "reservationEnd", value } };
        }
    }
}

function encodeRequest(request: scheduling.ReservationRequest, now: decision.Milliseconds) {
    return {
        reservationId: request.id,
        workspace: request.workspace,
        priority: request.priority,
        promptTokens: request.promptTokens,
        outputTokens: request.outputTokens,
        firstTokenPatienceMs: request.firstTokenDeadline - now,
        deadlinePatienceMs: request.deadline - now,
        suspect: request.suspect,
        prefixHashes: request.prefixHashes.map((hash) => BigInt(`0x${hash}`)),
        prefixTokens: [...request.prefixTokens ?? []],
        avoid: [...request.avoid],
        retry: request.retry,
    };
}

/** Decodes a message to an owner. Returns undefined for any other message. */
export function decodeOwnerMessage(
    message: protocol.SchedulingMessage,
    holder: string,
    now: decision.Milliseconds,
): OwnerMessage | undefined {
    const { case: kind, value } = message.body;
    switch (kind) {
        case "reservationRequest":
            return { kind: OwnerMessageKind.Request, shard: value, request: decodeRequest(value, holder, now) };
        case "reservationProgress": {
            const { reservationId: id, prefillMs, prefillDone, cachedTokens, transferMs, tokenMs } = value;
            const progress = { id, prefillMs, prefillDone, cachedTokens, transferMs, tokenMs };
            return { kind: OwnerMessageKind.Progress, shard: value, progress };
        }
        case "reservationEnd": {
            const { reservationId: id, outputTokens, whole, failedUpstreams: failed } = value;
            return { kind: OwnerMessageKind.End, shard: value, end: { id, outputTokens, whole, failed } };
        }
        default:
            return undefined;
    }
}

function decodeRequest(
    request: protocol.ReservationRequest,
    holder: string,
    now: decision.Milliseconds,
): scheduling.ReservationRequest {
    return {
        id: request.reservationId,
        holder,
        workspace: request.workspace,
        priority: request.priority,
        promptTokens: request.promptTokens,
        outputTokens: request.outputTokens,
        firstTokenDeadline: now + request.firstTokenPatienceMs,
        deadline: now + request.deadlinePatienceMs,
        suspect: request.suspect,
        prefixHashes: request.prefixHashes.map((hash) => hash.toString(16).padStart(HASH_DIGITS, "0")),
        prefixTokens: request.prefixTokens,
        avoid: request.avoid,
        retry: request.retry,
    };
}

const HASH_DIGITS = 16;

const PROTOCOL_STATUSES: Readonly<Record<owners.ReservationStatus, protocol.ReservationStanding>> = {
    [owners.ReservationStatus.Waiting]: protocol.ReservationStanding.WAITING,
    [owners.ReservationStatus.Granted]: protocol.ReservationStanding.GRANTED,
    [owners.ReservationStatus.Refused]: protocol.ReservationStanding.REFUSED,
    [owners.ReservationStatus.NotOwner]: protocol.ReservationStanding.NOT_OWNER,
};

/** Converts an owner's answer to the form in which the requesting host receives it. */
export function toReceivedAnswer(id: string, answer: owners.OwnerAnswer): ReceivedAnswer {
    const empty = { prefill: "", decode: "", startAfterMs: 0, prefillMs: 0, transferMs: 0, retryAfterMs: 0 };
    switch (answer.status) {
        case owners.ReservationStatus.Granted: {
            const { prefill, decode, prefillMs, transferMs } = answer.grant;
            const { status, startAfterMs } = answer;
            return { ...empty, id, status, prefill, decode, prefillMs, transferMs, startAfterMs };
        }
        case owners.ReservationStatus.Refused:
            return { ...empty, id, ...answer };
        default:
            return { ...empty, id, status: answer.status };
    }
}

/** Encodes an owner's answer. */
export function encodeAnswer(id: string, answer: owners.OwnerAnswer): Message {
    const { prefill, decode, status, ...rest } = toReceivedAnswer(id, answer);
    const value = {
        ...rest,
        reservationId: id,
        standing: PROTOCOL_STATUSES[status],
        prefillUpstream: prefill,
        decodeUpstream: decode,
    };
    return { body: { case: "reservationReply", value } };
}

/** Decodes an owner's answer. Returns undefined for any other message. */
export function decodeAnswer(message: protocol.SchedulingMessage): ReceivedAnswer | undefined {
    if (message.body.case !== "reservationReply") {
        return undefined;
    }
    const { value } = message.body;
    const status = Object.values(owners.ReservationStatus).find((candidate) =>
        PROTOCOL_STATUSES[candidate] === value.standing
    );
    return {
        id: value.reservationId,
        status: status ?? owners.ReservationStatus.NotOwner,
        prefill: value.prefillUpstream,
        decode: value.decodeUpstream,
        startAfterMs: value.startAfterMs,
        prefillMs: value.prefillMs,
        transferMs: value.transferMs,
        retryAfterMs: value.retryAfterMs,
    };
}
