import type * as decision from "@citronlead/decision";

/** The state of a charge at the owner that replies. */
export enum ChargeStatus {
    Granted = "granted",
    Refused = "refused",
    /** The charge waits in the queue of the slice. Another reply follows. */
    Waiting = "waiting",
    /** The receiver does not act for the slice. */
    NotOwner = "not-owner",
}

/** Asks the owner of a slice for tokens. A request with a known charge identifier gets the same answer as before. */
export interface ChargeRequest {
    readonly kind: MessageKind.ChargeRequest;
    readonly chargeId: string;
    readonly workspace: string;
    readonly slice: number;
    readonly tokens: number;
    /** How long the charge may wait. */
    readonly patienceMs: decision.Milliseconds;
}

/** Answers a charge. */
export interface ChargeReply {
    readonly kind: MessageKind.ChargeReply;
    readonly chargeId: string;
    readonly workspace: string;
    readonly slice: number;
    readonly status: ChargeStatus;
    /** Tokens debited if the charge is granted. */
    readonly tokens: number;
    /** After how long a refused charge may fit; negative if it never will. */
    readonly retryAfterMs: decision.Milliseconds;
}

/** Reports how many tokens a charge used in the end. Zero cancels it, even while it waits. */
export interface Settlement {
    readonly kind: MessageKind.Settlement;
    readonly chargeId: string;
    readonly workspace: string;
    readonly slice: number;
    readonly usedTokens: number;
}

/** Asks the owner of a slice for tokens on behalf of another slice. */
export interface LevelRequest {
    readonly kind: MessageKind.LevelRequest;
    readonly transferId: string;
    readonly workspace: string;
    readonly fromSlice: number;
    readonly toSlice: number;
    /** How many tokens the borrowing slice could spend at once. */
    readonly tokens: number;
    /** How many tokens it is short of by the deadline of its charge. */
    readonly requiredTokens: number;
    /** How long it can wait for promised tokens. */
    readonly patienceMs: decision.Milliseconds;
    readonly revision: number;
}

/** Moves tokens that the sender has already debited to another slice. */
export interface LevelTransfer {
    readonly kind: MessageKind.LevelTransfer;
    readonly transferId: string;
    readonly workspace: string;
    readonly fromSlice: number;
    readonly toSlice: number;
    /** 0 for tokens that are lent at once, 1 for those that were promised. */
    readonly part: number;
    readonly tokens: number;
    /** How many tokens part 1 will bring, unless the borrower ends the transfer before. */
    readonly promisedTokens: number;
    /** How long the tokens are valid, counted from when the receiver sent its request. */
    readonly validMs: decision.Milliseconds;
    readonly revision: number;
}

/** Says that tokens of a transfer were spent, credited or dropped, so that the lender's slice may refill. */
export interface LevelTransferAcknowledgement {
    readonly kind: MessageKind.LevelTransferAcknowledgement;
    readonly transferId: string;
    /** The acknowledged part. */
    readonly part: number;
    /** Whether the whole transfer ends: all parts are acknowledged and no further one is accepted. */
    readonly ended: boolean;
    readonly workspace: string;
    readonly fromSlice: number;
}

/** Asks the owner of a partition whether it keeps within the rates and bursts of a revision. */
export interface RevisionQuery {
    readonly kind: MessageKind.RevisionQuery;
    /** The partition whose owner is asked. */
    readonly partition: string;
    readonly askingPartition: string;
    readonly revision: number;
}

/** Confirms that an owner keeps within the rates and bursts of a revision. */
export interface RevisionReply {
    readonly kind: MessageKind.RevisionReply;
    /** The partition whose owner asked. */
    readonly partition: string;
    /** The partition whose owner confirms. */
    readonly askingPartition: string;
    readonly revision: number;
}

/** The level of the slice of one workspace. */
export interface SliceLevel {
    readonly workspace: string;
    readonly tokens: number;
}

/** Hands over the exact levels of a partition to its next owner. */
export interface SliceHandOver {
    readonly kind: MessageKind.SliceHandOver;
    readonly partition: string;
    readonly fencing: number;
    readonly revision: number;
    readonly levels: readonly SliceLevel[];
}

export enum MessageKind {
    ChargeRequest = "chargeRequest",
    ChargeReply = "chargeReply",
    Settlement = "settlement",
    LevelTransfer = "levelTransfer",
    LevelTransferAcknowledgement = "levelTransferAcknowledgement",
    LevelRequest = "levelRequest",
    RevisionQuery = "revisionQuery",
    RevisionReply = "revisionReply",
    SliceHandOver = "sliceHandOver",
}

/**
 * A message between owners of slices, or between an owner and a request. Any may be lost, late, repeated or reordered.
 */
export type Message =
    | ChargeRequest
    | ChargeReply
    | Settlement
    | LevelTransfer
    | LevelTransferAcknowledgement
    | LevelRequest
    | RevisionQuery
    | RevisionReply
    | SliceHandOver;
