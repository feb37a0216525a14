import type * as decision from "@citronlead/decision";
import type * as messages from "./messages.js";

/** What the shell has to carry out. */
export enum ActionKind {
    Send = "send",
    Answer = "answer",
    WakeAt = "wake-at",
    Record = "record",
    HandedOver = "handed-over",
}

/** Where a message goes: to a host, or to the owner of a partition as last known. */
export type Destination =
    | { readonly host: string; }
    | { readonly partition: string; };

/** Sends a message, or delivers it at once if the destination is this host. */
export interface Send {
    readonly kind: ActionKind.Send;
    readonly to: Destination;
    readonly message: messages.Message;
}

/** Answers a request that wished for tokens. */
export interface Answer {
    readonly kind: ActionKind.Answer;
    readonly requestId: string;
    readonly granted: boolean;
    /** When a refused charge would fit, in milliseconds; negative when it never will. */
    readonly retryAfterMs: decision.Milliseconds;
}

/** Asks for a wake event at a time that replaces the former one of the same partition or request. */
export interface WakeAt {
    readonly kind: ActionKind.WakeAt;
    /** A partition or a request. */
    readonly subject: string;
    /** Undefined when no wake event is needed. */
    readonly at: decision.Milliseconds | undefined;
}

/** What a change of a slice's level was for. */
export enum RecordKind {
    Grant = "grant",
    Refund = "refund",
    /** An engine used more than was charged. */
    Debt = "debt",
}

/** Tells metrics and checkers of tokens that were granted or given back. */
export interface Record {
    readonly kind: ActionKind.Record;
    readonly record: RecordKind;
    readonly workspace: string;
    readonly partition: string;
    readonly fencing: number;
    readonly chargeId: string;
    readonly tokens: number;
    /** Of a refund, what the slice could take back. */
    readonly creditedTokens: number;
}

/** Says that nothing of a partition is under way any more and that its levels were sent to the next owner. */
export interface HandedOver {
    readonly kind: ActionKind.HandedOver;
    readonly partition: string;
}

/** An action of the admission module. */
export type Action = Send | Answer | WakeAt | Record | HandedOver;
