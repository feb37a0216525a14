import type * as decision from "@citronlead/decision";
import type * as durations from "./durations.js";
import * as records from "./records.js";
import type * as rules from "./rules.js";

/** Who a member is. */
export interface MemberSettings extends records.HostId {
    readonly availabilityZone: string;
    readonly peerAddress: string;
    /** All partitions, in the order in which the table holds them. */
    readonly partitions: readonly string[];
    readonly timing: durations.Timing;
    /** The most successors that a record names; by the size of the fleet if undefined. */
    readonly successorLimit?: number;
    /** Rules that are left out. Only runs that show what a rule is needed for name any. */
    readonly omit?: readonly rules.Rule[];
}

/** What hosts ask of successors and are told. */
export type MemberMessage =
    | {
        readonly kind: MessageKind.Request;
        readonly number: number;
        readonly incarnation: string;
        /** The version of the asker's record. */
        readonly version: number;
    }
    | {
        readonly kind: MessageKind.Grant;
        readonly number: number;
        /** The asker's incarnation: a later process of the same host counts its requests anew. */
        readonly incarnation: string;
        readonly durationMs: decision.Milliseconds;
    }
    | {
        readonly kind: MessageKind.Refusal;
        readonly number: number;
        readonly incarnation: string;
        readonly reason: Refusal;
    }
    | {
        /** Asks another successor of a host to promise it nothing more, and whether its promise has lapsed. */
        readonly kind: MessageKind.ConsentRequest | MessageKind.Consent;
        /** The asker's incarnation. */
        readonly incarnation: string;
        /** The host that may be dead. */
        readonly target: string;
        /** The version of the target's record. */
        readonly version: number;
    };

/** The kinds of message. */
export enum MessageKind {
    Request = "request",
    Grant = "grant",
    Refusal = "refusal",
    /** Asks for leave to take over a host that has several successors. */
    ConsentRequest = "consent-request",
    /** Gives leave: the giver's promise has lapsed and it gives none any more under this version. */
    Consent = "consent",
}

/** Why no promise is given. */
export enum Refusal {
    /** The giver is not the named successor, as far as it knows. */
    NotNamed = "not-named",
    /** The giver's own right does not hold. */
    NoRight = "no-right",
    /** The giver has asked for the takeover of this version of the record. */
    TakeoverAsked = "takeover-asked",
}

/** What a write compares: a key and its version, 0 for a key that must not exist. */
export interface Comparison {
    readonly key: string;
    readonly modRevision: number;
}

/** One change of a write; without a value the key is deleted. */
export interface Write {
    readonly key: string;
    readonly value?: string;
    /** The lease that the key ends with. */
    readonly lease?: string;
}

/** Why a write was asked for. */
export enum Purpose {
    Join = "join",
    Attach = "attach",
    Rename = "rename",
    Takeover = "takeover",
    Assign = "assign",
    HandOver = "hand-over",
    Leave = "leave",
}

/** The kinds of action. */
export enum ActionKind {
    /** Reads hosts and table; a Viewed event follows if the read succeeds. */
    Read = "read",
    GrantLease = "grant-lease",
    KeepLease = "keep-lease",
    RevokeLease = "revoke-lease",
    Swap = "swap",
    Send = "send",
    /** Tells the parts of this host that it has stopped acting for partitions; a HandOverReady event follows. */
    PrepareHandOver = "prepare-hand-over",
    /** The planned stop is complete: nothing is owned and the record is gone. */
    Left = "left",
}

/** What the shell carries out. */
export type MemberAction =
    | { readonly kind: ActionKind.Read | ActionKind.Left; }
    | { readonly kind: ActionKind.GrantLease; readonly call: number; readonly timeToLiveMs: decision.Milliseconds; }
    | { readonly kind: ActionKind.KeepLease; readonly call: number; readonly lease: string; }
    | { readonly kind: ActionKind.RevokeLease; readonly lease: string; }
    | {
        readonly kind: ActionKind.Swap;
        readonly call: number;
        readonly purpose: Purpose;
        readonly comparisons: readonly Comparison[];
        readonly writes: readonly Write[];
    }
    | { readonly kind: ActionKind.Send; readonly host: string; readonly message: MemberMessage; }
    | {
        readonly kind: ActionKind.PrepareHandOver;
        readonly handOver: number;
        readonly next: Readonly<Record<string, records.HostId>>;
    };

/** The kinds of event. */
export enum EventKind {
    Tick = "tick",
    Viewed = "viewed",
    /** The answer to GrantLease or KeepLease. */
    LeaseAnswered = "lease-answered",
    SwapAnswered = "swap-answered",
    Message = "message",
    HandOverReady = "hand-over-ready",
    StopRequested = "stop-requested",
}

/** What happens to a member. */
export type MemberEvent =
    | { readonly kind: EventKind.Tick | EventKind.StopRequested; }
    | { readonly kind: EventKind.Viewed; readonly view: records.View; }
    | {
        readonly kind: EventKind.LeaseAnswered;
        readonly call: number;
        /** The lease, or undefined if no answer came. A time to live of 0 says that the lease is gone. */
        readonly lease?: { readonly id: string; readonly timeToLiveMs: decision.Milliseconds; };
    }
    | {
        readonly kind: EventKind.SwapAnswered;
        readonly call: number;
        /** Whether the write took effect, or undefined if no answer came. */
        readonly succeeded?: boolean;
    }
    | {
        readonly kind: EventKind.Message;
        readonly host: string;
        readonly message: MemberMessage;
    }
    | { readonly kind: EventKind.HandOverReady; readonly handOver: number; };

/** The lease at the key-value service. */
export interface OwnLease {
    readonly id: string;
    /** How long it lives from each renewal, in milliseconds. */
    readonly timeToLiveMs: decision.Milliseconds;
    /** When the latest successful renewal was asked for. */
    readonly askedAt: decision.Milliseconds;
    /** Whether the key that the lease carries is known to be written. */
    readonly attached: boolean;
}

/** A call that is under way. */
export interface Call {
    readonly call: number;
    readonly askedAt: decision.Milliseconds;
}

/** A write that is under way. */
export interface SwapCall extends Call {
    readonly purpose: Purpose;
    /** The host that is taken over. */
    readonly target?: string;
}

/** A request to a successor that may still be answered. */
export interface Ask extends Call {
    readonly successor: string;
    /** The version of the own record that it named. */
    readonly version: number;
}

/** The promise of a successor that lasts longest. */
export interface Promised {
    readonly until: decision.Milliseconds;
    /** The version of the own record under which it was given. */
    readonly version: number;
}

/** A version of another host's record under which no promise is given any more. */
export interface Refusing {
    readonly version: number;
    /** Whether a takeover under this version took effect, or was not answered, or was agreed to. */
    readonly mayHaveChanged: boolean;
}

/** The other successors that agree to the takeover of a host under one version of its record. */
export interface Consents {
    readonly version: number;
    readonly from: readonly string[];
}

/** Partitions that this host stopped acting for. */
export interface HandOver {
    readonly number: number;
    readonly next: Readonly<Record<string, records.HostId>>;
    /** Whether the parts of this host have had their say. */
    readonly ready: boolean;
}

/** Everything that a member knows. */
export interface MemberState {
    readonly settings: MemberSettings;
    readonly view: records.View;
    /** Own record as last seen; undefined while this host is no member. */
    readonly own?: records.SeenHost;
    /** The service's revision at which own record was first seen; an older table says nothing about this stay. */
    readonly joinedAt: number;
    readonly lease?: OwnLease;
    /** When the right from the service's lease ends. */
    readonly leaseUntil: decision.Milliseconds;
    readonly leaseCall?: Call;
    readonly swapCall?: SwapCall;
    readonly nextLeaseCallAt: decision.Milliseconds;
    readonly nextSwapAt: decision.Milliseconds;
    /** Whether the latest write took no effect, or may have taken none. */
    readonly lostRace: boolean;
    readonly promised?: Promised;
    readonly asks: readonly Ask[];
    readonly nextAskAt: decision.Milliseconds;
    /** The version of the own record under which no promise counts: another successor was asked for. */
    readonly barredVersion?: number;
    /** Whether the successor waits for a new version of the own record before it promises again. */
    readonly rewriteWanted: boolean;
    /** Until when this host has promised each other one not to take it over, on this host's clock. */
    readonly given: Readonly<Record<string, decision.Milliseconds>>;
    readonly refusing: Readonly<Record<string, Refusing>>;
    readonly consents: Readonly<Record<string, Consents>>;
    readonly nextConsentAt: decision.Milliseconds;
    /** Since when hosts have been seen without their lease, by host and session. */
    readonly unleasedSince: Readonly<Record<string, decision.Milliseconds>>;
    /** Since when named successors have been seen to be gone. */
    readonly goneSince: Readonly<Record<string, decision.Milliseconds>>;
    readonly wanted: Readonly<Record<string, records.HostRecord>>;
    readonly handOver?: HandOver;
    readonly nextHandOverAt: decision.Milliseconds;
    readonly stopping: boolean;
    readonly left: boolean;
    /** Numbers calls, requests and hand-overs. */
    readonly count: number;
}

/** The state before the first event. */
export function startMember(settings: MemberSettings, now: decision.Milliseconds): MemberState {
    return {
        settings,
        view: records.EMPTY_VIEW,
        joinedAt: Infinity,
        leaseUntil: -Infinity,
        nextLeaseCallAt: now,
        nextSwapAt: now,
        lostRace: false,
        asks: [],
        nextAskAt: now,
        rewriteWanted: false,
        given: {},
        refusing: {},
        consents: {},
        nextConsentAt: now,
        unleasedSince: {},
        goneSince: {},
        wanted: {},
        nextHandOverAt: now,
        stopping: false,
        left: false,
        count: 0,
    };
}
