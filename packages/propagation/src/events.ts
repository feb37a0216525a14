import type * as decision from "@citronlead/decision";

/** A host as the roster shows it. */
export interface RosterEntry {
    readonly host: string;
    readonly availabilityZone: string;
}

/** What a host starts from. */
export interface PropagationSettings {
    readonly host: string;
    readonly availabilityZone: string;
}

/** A host that had heard of no revision above the sender's, and how long ago that was. */
export interface Witness {
    readonly host: string;
    readonly agoMs: decision.Milliseconds;
}

/** The kinds of event. */
export enum PropagationEventKind {
    /** Time has passed; comes several times a second. */
    Tick = "tick",
    RosterChanged = "roster-changed",
    /** The key-value service answered a read of the head. */
    HeadRead = "head-read",
    /** A read of the head had no answer. */
    ReadLost = "read-lost",
    /** The watch told a head. It may be late, so it proves nothing about now. */
    WatchTold = "watch-told",
    WatchEnded = "watch-ended",
    /** A whole revision was fetched and can be used. */
    Fetched = "fetched",
    /** A revision could not be fetched. */
    FetchLost = "fetch-lost",
    /** Another host asked for this host's revision. */
    PeerAsked = "peer-asked",
    /** Another host replied to this host. */
    PeerReplied = "peer-replied",
}

/** What a host is told. Revision 0 stands for none. */
export type PropagationEvent =
    | {
        readonly kind:
            | PropagationEventKind.Tick
            | PropagationEventKind.ReadLost
            | PropagationEventKind.WatchEnded;
    }
    | { readonly kind: PropagationEventKind.RosterChanged; readonly roster: readonly RosterEntry[]; }
    | {
        readonly kind: PropagationEventKind.HeadRead;
        readonly revision: number;
        /** When the read was asked for; the answer says nothing of a later time. */
        readonly askedAt: decision.Milliseconds;
    }
    | {
        readonly kind:
            | PropagationEventKind.WatchTold
            | PropagationEventKind.Fetched
            | PropagationEventKind.FetchLost;
        readonly revision: number;
    }
    | {
        readonly kind: PropagationEventKind.PeerAsked;
        readonly peer: string;
        readonly exchange: number;
        /** The highest revision that the peer has heard of. */
        readonly revision: number;
        readonly withWitnesses: boolean;
    }
    | {
        readonly kind: PropagationEventKind.PeerReplied;
        readonly peer: string;
        readonly exchange: number;
        /** The revision that the peer has in force, which it can hand on. */
        readonly inForce: number;
        /** The highest revision that the peer has heard of. */
        readonly revision: number;
        /** How long ago nothing newer than the peer's revision in force was accepted; undefined if it cannot tell. */
        readonly confirmedAgoMs?: decision.Milliseconds;
        readonly witnesses: readonly Witness[];
    };

/** The kinds of action. */
export enum PropagationActionKind {
    /** Start watching the head. */
    Watch = "watch",
    /** Read the head from the key-value service. */
    ReadHead = "read-head",
    /** Fetch what is missing of a revision. */
    Fetch = "fetch",
    /** Serve by this revision from now on. */
    PutInForce = "put-in-force",
    /** Ask a host for its revision. */
    Ask = "ask",
    /** Reply to a host that asked. */
    Reply = "reply",
}

/** What the shell has to do. */
export type PropagationAction =
    | { readonly kind: PropagationActionKind.Watch | PropagationActionKind.ReadHead; }
    | {
        readonly kind: PropagationActionKind.Fetch;
        readonly revision: number;
        /** The host to fetch it from; undefined for the key-value service. */
        readonly from?: string;
        /** Spreads the reads of the fleet. */
        readonly afterMs: decision.Milliseconds;
    }
    | { readonly kind: PropagationActionKind.PutInForce; readonly revision: number; }
    | {
        readonly kind: PropagationActionKind.Ask;
        readonly peer: string;
        readonly exchange: number;
        readonly revision: number;
        readonly withWitnesses: boolean;
    }
    | {
        readonly kind: PropagationActionKind.Reply;
        readonly peer: string;
        readonly exchange: number;
        readonly inForce: number;
        readonly revision: number;
        readonly confirmedAgoMs?: decision.Milliseconds;
        readonly witnesses: readonly Witness[];
    };
