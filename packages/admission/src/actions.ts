import type * as decision from "@citronlead/decision";
import type * as messages from "./messages.js";

/** What the host process has to carry out for the admission module. */
export enum ActionKind {
    Send = "send",
    Answer = "answer",
    WakeAt = "wake-at",
    Record = "record",
    HandedOver = "handed-over",
}

/** The destination of a message: a host, or the last known owner of a partition. */
export type Destination =
    | { readonly host: string; }
    | { readonly partition: string; };

/** Sends a message. If the destination is this host, it is delivered at once. */
export interface Send {
    readonly kind: ActionKind.Send;
    readonly to: Destination;
    readonly message: messages.Message;
}

/** Answers a request for tokens. */
export interface Answer {
    readonly kind: ActionKind.Answer;
    readonly requestId: string;
    readonly granted: boolean;
    /** After how long a refused charge may fit; negative if it never will. */
    readonly retryAfterMs: decision.Milliseconds;
}

/** Schedules a wake event. Replaces the scheduled one of the same partition or request. */
export interface WakeAt {
    readonly kind: ActionKind.WakeAt;
    /** A partition or a request identifier. */
    readonly subject: string;
    /** Undefined cancels the scheduled wake event. */
    readonly at: decision.Milliseconds | undefined;
}

/** Why the level of a slice changed. */
export enum RecordKind {
    Grant = "grant",
    Refund = "refund",
    /** A model engine used more tokens than were charged. */
    Debt = "debt",
}

/** Reports granted, refunded or owed tokens to metrics and checkers. */
export interface RecordTokens {
    readonly kind: ActionKind.Record;
    readonly record: RecordKind;
    readonly workspace: string;
    readonly partition: string;
    readonly fencing: number;
    readonly chargeId: string;
    readonly tokens: number;
    /** The part of a refund that the slice had capacity for. */
    readonly creditedTokens: number;
}

/** Says that a partition has no outstanding loans and that its levels, if it has any, were sent to the next owner. */
export interface HandedOver {
    readonly kind: ActionKind.HandedOver;
    readonly partition: string;
}

/** An action of the admission module. */
export type Action = Send | Answer | WakeAt | RecordTokens | HandedOver;
