import type * as decision from "@citronlead/decision";

/** How a charge stands at the owner that answers. */
export enum ChargeStatus {
    Granted = "granted",
    Refused = "refused",
    /** The charge waits in the queue of the slice; a further reply follows. */
    Waiting = "waiting",
    /** The receiver does not act for the slice. */
    NotOwner = "not-owner",
}

/** Asks the owner of a slice for tokens. A repeat of the same charge identifier is answered as before. */
export interface ChargeRequest {
    readonly kind: MessageKind.ChargeRequest;
    readonly chargeId: string;
    readonly workspace: string;
    readonly slice: number;
    readonly tokens: number;
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
    /** When a refused charge would fit, in milliseconds; negative when it never will. */
    readonly retryAfterMs: decision.Milliseconds;
}

/** Says what a charge used in the end; 0 cancels it, also while it waits. */
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
    /** What the asking slice could spend at once. */
    readonly tokens: number;
    /** What it lacks by the deadline of its request. */
    readonly requiredTokens: number;
    readonly patienceMs: decision.Milliseconds;
    readonly revision: number;
}

/** Moves tokens, already debited at the sender, to another slice. */
export interface LevelTransfer {
    readonly kind: MessageKind.LevelTransfer;
    readonly transferId: string;
    readonly workspace: string;
    readonly fromSlice: number;
    readonly toSlice: number;
    /** 0 for what was given at once, 1 for what was promised. */
    readonly part: number;
    readonly tokens: number;
    /** What part 1 will bring unless the request is acknowledged before. */
    readonly promisedTokens: number;
    /** How long the tokens are valid, counted by the receiver from when it asked. */
    readonly validMs: decision.Milliseconds;
    readonly revision: number;
}

/** Says that tokens of a transfer are spent, credited or dropped, so the sender's slice may fill up again. */
export interface LevelTransferAcknowledgement {
    readonly kind: MessageKind.LevelTransferAcknowledgement;
    readonly transferId: string;
    /** The part that this is about. */
    readonly part: number;
    /** Whether all parts are meant and no further one is wanted. */
    readonly ended: boolean;
    readonly workspace: string;
    readonly fromSlice: number;
}

/** Asks the owner of a partition whether it acts within the rates and bursts of a revision. */
export interface RevisionQuery {
    readonly kind: MessageKind.RevisionQuery;
    readonly partition: string;
    readonly askingPartition: string;
    readonly revision: number;
}

/** Answers that the owner of the partition acts within the revision's rates and bursts. */
export interface RevisionReply {
    readonly kind: MessageKind.RevisionReply;
    readonly partition: string;
    readonly askingPartition: string;
    readonly revision: number;
}

/** The level of one workspace's slice. */
export interface SliceLevel {
    readonly workspace: string;
    readonly tokens: number;
}

/** Hands the exact levels of a partition to its next owner. */
export interface SliceHandOver {
    readonly kind: MessageKind.SliceHandOver;
    readonly partition: string;
    readonly fencing: number;
    readonly revision: number;
    readonly levels: readonly SliceLevel[];
}

/** The kinds of messages about slices. */
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

/** A message about the slices of a workspace's rate. Any may be lost, late, repeated or overtaken. */
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
