import type * as decision from "@citronlead/decision";
import * as messages from "./messages.js";
import * as names from "./names.js";
import type * as terms from "./terms.js";
import type * as works from "./work.js";

/** What the shell tells the admission module. */
export enum EventKind {
    Configuration = "configuration",
    Own = "own",
    HandOver = "hand-over",
    Message = "message",
    Wake = "wake",
    Wish = "wish",
    Leave = "leave",
    Settle = "settle",
}

/** A configuration came into force at this host. */
export interface Configuration {
    readonly kind: EventKind.Configuration;
    readonly revision: number;
    readonly workspaces: Readonly<Record<string, terms.Terms>>;
}

/** This host has gained the right to a partition. */
export interface Own {
    readonly kind: EventKind.Own;
    readonly partition: string;
    readonly right: works.Right;
    /** The revision that the key-value service named after the right was gained; nothing is spent under an older one. */
    readonly floorRevision: number;
}

/** This host is to hand a partition to another and has stopped acting for it. */
export interface HandOver {
    readonly kind: EventKind.HandOver;
    readonly partition: string;
    readonly nextHost: string;
}

/** A message arrived. */
export interface Arrival {
    readonly kind: EventKind.Message;
    readonly from: string;
    readonly message: messages.Message;
    /** This host's right to the partition that the message is about, if it has it now. */
    readonly right?: works.Right;
}

/** The time that was asked for has come. */
export interface Wake {
    readonly kind: EventKind.Wake;
    /** A partition or a request. */
    readonly subject: string;
    /** This host's right to the partition, if it has it now. */
    readonly right?: works.Right;
}

/** A request at this host wishes for tokens. */
export interface Wish {
    readonly kind: EventKind.Wish;
    readonly requestId: string;
    readonly workspace: string;
    readonly tokens: number;
    readonly deadline: decision.Milliseconds;
    /** The slices in the order in which they are to be asked. */
    readonly order: readonly number[];
}

/** The caller of a request has left. */
export interface Leave {
    readonly kind: EventKind.Leave;
    readonly requestId: string;
}

/** A granted request has ended. */
export interface Settle {
    readonly kind: EventKind.Settle;
    readonly requestId: string;
    readonly usedTokens: number;
}

/** An event of the admission module. */
export type Event = Configuration | Own | HandOver | Arrival | Wake | Wish | Leave | Settle;

/** The partition whose owner a message is for, or undefined if it is for a request. */
export function partitionOf(message: messages.Message): string | undefined {
    switch (message.kind) {
        case messages.MessageKind.ChargeRequest:
        case messages.MessageKind.Settlement:
            return names.slicePartition(message.workspace, message.slice);
        case messages.MessageKind.LevelRequest:
        case messages.MessageKind.LevelTransferAcknowledgement:
            return names.slicePartition(message.workspace, message.fromSlice);
        case messages.MessageKind.LevelTransfer:
            return names.slicePartition(message.workspace, message.toSlice);
        case messages.MessageKind.RevisionQuery:
        case messages.MessageKind.RevisionReply:
        case messages.MessageKind.SliceHandOver:
            return message.partition;
        case messages.MessageKind.ChargeReply:
            return undefined;
    }
}
