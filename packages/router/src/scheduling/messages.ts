import type * as protobuf from "@bufbuild/protobuf";
import type * as decision from "@citronlead/decision";
import * as protocol from "@citronlead/protocol";
import * as scheduling from "@citronlead/scheduling";
import * as owners from "./owner.js";
import type * as shards from "./shards.js";

type Progress = Omit<Extract<scheduling.Event, { kind: scheduling.EventKind.Progress; }>, "kind">;
type End = Omit<Extract<scheduling.Event, { kind: scheduling.EventKind.End; }>, "kind">;

/** What a host tells the owner of a shard. */
export type ToOwner =
    | { readonly kind: ToOwnerKind.Ask; readonly shard: shards.ShardName; readonly ask: scheduling.Ask; }
    | { readonly kind: ToOwnerKind.Progress; readonly shard: shards.ShardName; readonly progress: Progress; }
    | { readonly kind: ToOwnerKind.End; readonly shard: shards.ShardName; readonly end: End; };

/** The kinds of message to an owner. */
export enum ToOwnerKind {
    Ask = "ask",
    Progress = "progress",
    End = "end",
}

/** What an owner answers, as the host that asked takes it. Times count from its arrival. */
export interface FromOwner {
    readonly id: string;
    readonly standing: owners.Standing;
    readonly prefill: string;
    readonly decode: string;
    readonly startAfterMs: decision.Milliseconds;
    readonly prefillMs: decision.Milliseconds;
    readonly transferMs: decision.Milliseconds;
    readonly retryAfterMs: decision.Milliseconds;
}

type Message = protobuf.MessageInitShape<typeof protocol.SchedulingMessageSchema>;

/** Writes a message to an owner. Deadlines travel as the time that is left. */
export function encodeToOwner(message: ToOwner, now: decision.Milliseconds): Message {
    const { pool, shard } = message.shard;
    switch (message.kind) {
        case ToOwnerKind.Ask:
            return { body: { case: "reservationRequest", value: { pool, shard, ...encodeAsk(message.ask, now) } } };
        case ToOwnerKind.Progress: {
            const { id: reservationId, ...seen } = message.progress;
            return { body: { case: "reservationProgress", value: { pool, shard, reservationId, ...seen } } };
        }
        case ToOwnerKind.End: {
            const { id: reservationId, failed, ...rest } = message.end;
            const value = { pool, shard, reservationId, failedUpstreams: [...failed], ...rest };
            return { body: { case: "reservationEnd", value } };
        }
    }
}

function encodeAsk(ask: scheduling.Ask, now: decision.Milliseconds) {
    return {
        reservationId: ask.id,
        workspace: ask.workspace,
        priority: ask.priority,
        promptTokens: ask.promptTokens,
        outputTokens: ask.outputTokens,
        firstTokenPatienceMs: ask.firstTokenDeadline - now,
        deadlinePatienceMs: ask.deadline - now,
        suspect: ask.suspect,
        prefixHashes: ask.prefixHashes.map((hash) => BigInt(`0x${hash}`)),
        prefixTokens: [...ask.prefixTokens ?? []],
        avoid: [...ask.avoid],
        retry: ask.retry,
    };
}

/** Reads a message to an owner, or undefined if it is none. */
export function decodeToOwner(
    message: protocol.SchedulingMessage,
    holder: string,
    now: decision.Milliseconds,
): ToOwner | undefined {
    const { case: kind, value } = message.body;
    switch (kind) {
        case "reservationRequest":
            return { kind: ToOwnerKind.Ask, shard: value, ask: decodeAsk(value, holder, now) };
        case "reservationProgress": {
            const { reservationId: id, prefillMs, prefillDone, cachedTokens, transferMs, tokenMs } = value;
            const progress = { id, prefillMs, prefillDone, cachedTokens, transferMs, tokenMs };
            return { kind: ToOwnerKind.Progress, shard: value, progress };
        }
        case "reservationEnd": {
            const { reservationId: id, outputTokens, whole, failedUpstreams: failed } = value;
            return { kind: ToOwnerKind.End, shard: value, end: { id, outputTokens, whole, failed } };
        }
        default:
            return undefined;
    }
}

function decodeAsk(request: protocol.ReservationRequest, holder: string, now: decision.Milliseconds): scheduling.Ask {
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

const STANDINGS: Readonly<Record<owners.Standing, protocol.ReservationStanding>> = {
    [owners.Standing.Waiting]: protocol.ReservationStanding.WAITING,
    [owners.Standing.Granted]: protocol.ReservationStanding.GRANTED,
    [owners.Standing.Refused]: protocol.ReservationStanding.REFUSED,
    [owners.Standing.NotOwner]: protocol.ReservationStanding.NOT_OWNER,
};

/** The answer of an owner as the host that asked takes it. */
export function describeAnswer(id: string, answer: owners.OwnerAnswer): FromOwner {
    const empty = { prefill: "", decode: "", startAfterMs: 0, prefillMs: 0, transferMs: 0, retryAfterMs: 0 };
    switch (answer.standing) {
        case owners.Standing.Granted: {
            const { prefill, decode, prefillMs, transferMs } = answer.grant;
            const { standing, startAfterMs } = answer;
            return { ...empty, id, standing, prefill, decode, prefillMs, transferMs, startAfterMs };
        }
        case owners.Standing.Refused:
            return { ...empty, id, ...answer };
        default:
            return { ...empty, id, standing: answer.standing };
    }
}

/** Writes the answer of an owner. */
export function encodeAnswer(id: string, answer: owners.OwnerAnswer): Message {
    const { prefill, decode, standing, ...rest } = describeAnswer(id, answer);
    const value = {
        ...rest,
        reservationId: id,
        standing: STANDINGS[standing],
        prefillUpstream: prefill,
        decodeUpstream: decode,
    };
    return { body: { case: "reservationReply", value } };
}

/** Reads the answer of an owner, or undefined if the message is none. */
export function decodeAnswer(message: protocol.SchedulingMessage): FromOwner | undefined {
    if (message.body.case !== "reservationReply") {
        return undefined;
    }
    const { value } = message.body;
    const standing = Object.values(owners.Standing).find((one) => STANDINGS[one] === value.standing);
    return {
        id: value.reservationId,
        standing: standing ?? owners.Standing.NotOwner,
        prefill: value.prefillUpstream,
        decode: value.decodeUpstream,
        startAfterMs: value.startAfterMs,
        prefillMs: value.prefillMs,
        transferMs: value.transferMs,
        retryAfterMs: value.retryAfterMs,
    };
}
