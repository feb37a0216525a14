import type * as decision from "@citronlead/decision";

/** A host of the roster. */
export interface RosterEntry {
    readonly host: string;
    readonly availabilityZone: string;
}

/** The host whose configuration is decided. */
export interface PropagationSettings {
    readonly host: string;
    readonly availabilityZone: string;
}

/** A host that knew of no revision above the sender's highest known one, and how long ago that was. */
export interface Witness {
    readonly host: string;
    readonly agoMs: decision.Milliseconds;
}

/** The kinds of event. */
export enum PropagationEventKind {
    /** Fires several times a second. */
    Tick = "tick",
    RosterChanged = "roster-changed",
    /** The head of the configuration was read from the key-value service. */
    HeadRead = "head-read",
    /** The head could not be read: no answer arrived, or the stored head was unreadable. */
    HeadReadFailed = "read-lost",
    /** The watch delivered a head. It may be delayed, so it does not confirm that the head is still the latest. */
    WatchNotified = "watch-told",
    WatchEnded = "watch-ended",
    /** A complete revision was fetched and can be put in force. */
    Fetched = "fetched",
    /** A revision could not be fetched. */
    FetchFailed = "fetch-lost",
    /** Another host requested the revisions of this host. */
    RevisionRequestReceived = "peer-asked",
    /** Another host replied to a revision request of this host. */
    RevisionReplyReceived = "peer-replied",
}

/** An event at one host. Revision 0 stands for none. */
export type PropagationEvent =
    | {
        readonly kind:
            | PropagationEventKind.Tick
            | PropagationEventKind.HeadReadFailed
            | PropagationEventKind.WatchEnded;
    }
    | { readonly kind: PropagationEventKind.RosterChanged; readonly roster: readonly RosterEntry[]; }
    | {
        readonly kind: PropagationEventKind.HeadRead;
        readonly revision: number;
        /** When the read was started; the answer says nothing about any later time. */
        readonly askedAt: decision.Milliseconds;
    }
    | {
        readonly kind:
            | PropagationEventKind.WatchNotified
            | PropagationEventKind.Fetched
            | PropagationEventKind.FetchFailed;
        readonly revision: number;
    }
    | {
        readonly kind: PropagationEventKind.RevisionRequestReceived;
        readonly peer: string;
        /** The number of the exchange at the requesting host; the reply repeats it. */
        readonly exchange: number;
        /** The highest revision that the peer knows of. */
        readonly revision: number;
        /** Whether the reply should list witnesses. */
        readonly withWitnesses: boolean;
    }
    | {
        readonly kind: PropagationEventKind.RevisionReplyReceived;
        readonly peer: string;
        readonly exchange: number;
        /** The revision that the peer has in force, which can be fetched from it. */
        readonly inForce: number;
        /** The highest revision that the peer knows of. */
        readonly revision: number;
        /** How long ago the peer's revision in force was confirmed to be the newest; undefined without a recent one. */
        readonly confirmedAgoMs?: decision.Milliseconds;
        readonly witnesses: readonly Witness[];
    };

/** The kinds of action. */
export enum PropagationActionKind {
    /** Watch the head in the key-value service. */
    Watch = "watch",
    /** Read the head from the key-value service. */
    ReadHead = "read-head",
    /** Fetch the parts of a revision that are not held yet. */
    Fetch = "fetch",
    /** Use this revision from now on. */
    PutInForce = "put-in-force",
    /** Request the revisions of a host. */
    SendRevisionRequest = "ask",
    /** Reply to the revision request of a host. */
    SendRevisionReply = "reply",
}

/** An action that the shell carries out. */
export type PropagationAction =
    | { readonly kind: PropagationActionKind.Watch | PropagationActionKind.ReadHead; }
    | {
        readonly kind: PropagationActionKind.Fetch;
        readonly revision: number;
        /** The host to fetch from; undefined for the key-value service. */
        readonly from?: string;
        /** Delay before the fetch, which differs by host so that not all hosts fetch at once. */
        readonly afterMs: decision.Milliseconds;
    }
    | { readonly kind: PropagationActionKind.PutInForce; readonly revision: number; }
    | {
        readonly kind: PropagationActionKind.SendRevisionRequest;
        readonly peer: string;
        readonly exchange: number;
        readonly revision: number;
        readonly withWitnesses: boolean;
    }
    | {
        readonly kind: PropagationActionKind.SendRevisionReply;
        readonly peer: string;
        readonly exchange: number;
        readonly inForce: number;
        readonly revision: number;
        readonly confirmedAgoMs?: decision.Milliseconds;
        readonly witnesses: readonly Witness[];
    };
