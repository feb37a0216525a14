import type * as decision from "@citronlead/decision";
import * as messages from "./messages.js";
import * as partitionNames from "./partitionnames.js";
import type * as rateLimits from "./ratelimit.js";
import type * as updates from "./sliceupdate.js";

/** What the host process reports to the admission module. */
export enum EventKind {
    Configuration = "configuration",
    OwnershipGained = "own",
    HandOver = "hand-over",
    Message = "message",
    Wake = "wake",
    AdmissionRequest = "wish",
    Cancel = "leave",
    Settle = "settle",
}

/** A configuration took effect at this host. */
export interface Configuration {
    readonly kind: EventKind.Configuration;
    readonly revision: number;
    readonly workspaces: Readonly<Record<string, rateLimits.RateLimit>>;
}

/** This host has become the owner of a partition. */
export interface OwnershipGained {
    readonly kind: EventKind.OwnershipGained;
    readonly partition: string;
    readonly right: updates.Right;
    /**
     * The revision that was read from the key-value service after the right was gained. No tokens are spent under an
     * older one.
     */
    readonly floorRevision: number;
}

/** This host no longer acts for a partition and hands it over to another host. */
export interface HandOver {
    readonly kind: EventKind.HandOver;
    readonly partition: string;
    readonly nextHost: string;
}

export interface Arrival {
    readonly kind: EventKind.Message;
    readonly from: string;
    readonly message: messages.Message;
    /** This host's right to the partition that the message is for, if the right is valid now. */
    readonly right?: updates.Right;
}

/** The time of a scheduled wake event has come. */
export interface Wake {
    readonly kind: EventKind.Wake;
    /** A partition or a request identifier. */
    readonly subject: string;
    /** This host's right to the partition, if the right is valid now. */
    readonly right?: updates.Right;
}

/** A request at this host asks for tokens. */
export interface AdmissionRequest {
    readonly kind: EventKind.AdmissionRequest;
    readonly requestId: string;
    readonly workspace: string;
    readonly tokens: number;
    readonly deadline: decision.Milliseconds;
    /** The slices, in the order in which to ask them. */
    readonly order: readonly number[];
}

/** The caller of a request has disconnected. */
export interface Cancel {
    readonly kind: EventKind.Cancel;
    readonly requestId: string;
}

/** A granted request has ended, and its use of tokens is known. */
export interface Settle {
    readonly kind: EventKind.Settle;
    readonly requestId: string;
    readonly usedTokens: number;
}

/** An event of the admission module. */
export type Event = Configuration | OwnershipGained | HandOver | Arrival | Wake | AdmissionRequest | Cancel | Settle;

/** The partition whose owner a message is for, or undefined if it is for a request. */
export function partitionOf(message: messages.Message): string | undefined {
    switch (message.kind) {
        case messages.MessageKind.ChargeRequest:
        case messages.MessageKind.Settlement:
            return partitionNames.slicePartition(message.workspace, message.slice);
        case messages.MessageKind.LevelRequest:
        case messages.MessageKind.LevelTransferAcknowledgement:
            return partitionNames.slicePartition(message.workspace, message.fromSlice);
        case messages.MessageKind.LevelTransfer:
            return partitionNames.slicePartition(message.workspace, message.toSlice);
        case messages.MessageKind.RevisionQuery:
        case messages.MessageKind.RevisionReply:
        case messages.MessageKind.SliceHandOver:
            return message.partition;
        case messages.MessageKind.ChargeReply:
            return undefined;
    }
}
