import type * as decision from "@citronlead/decision";
import type * as durations from "./durations.js";
import * as records from "./records.js";
import type * as rules from "./rules.js";

/** The identity and options of a member. */
export interface MemberSettings extends records.HostId {
    readonly availabilityZone: string;
    readonly peerAddress: string;
    /** All partitions, in the order in which the ownership table stores them. */
    readonly partitions: readonly string[];
    readonly timing: durations.Timing;
    /** The most successors that a record names; depends on the number of hosts if undefined. */
    readonly successorLimit?: number;
    /** Rules that are not enforced. Only set by test runs that show why each rule is needed. */
    readonly omit?: readonly rules.Rule[];
}

/** Messages between hosts about successor leases and takeovers. */
export type MemberMessage =
    | {
        readonly kind: MessageKind.SuccessorLeaseRequest;
        readonly number: number;
        readonly incarnation: string;
        /** The version of the sender's record. */
        readonly version: number;
    }
    | {
        readonly kind: MessageKind.SuccessorLeaseGrant;
        readonly number: number;
        /** The requester's incarnation: a later process of the same host restarts its request numbers. */
        readonly incarnation: string;
        readonly durationMs: decision.Milliseconds;
    }
    | {
        readonly kind: MessageKind.SuccessorLeaseRefusal;
        readonly number: number;
        readonly incarnation: string;
        readonly reason: RefusalReason;
    }
    | {
        /** Asks another successor of the target for consent to a takeover, or gives it. */
        readonly kind: MessageKind.TakeoverConsentRequest | MessageKind.TakeoverConsent;
        /** The requester's incarnation. */
        readonly incarnation: string;
        /** The host that may be dead. */
        readonly target: string;
        /** The version of the target's record. */
        readonly version: number;
    };

/** The kinds of message. */
export enum MessageKind {
    /** Requests a successor lease. */
    SuccessorLeaseRequest = "request",
    SuccessorLeaseGrant = "grant",
    SuccessorLeaseRefusal = "refusal",
    /** Asks another successor for its consent to a takeover. */
    TakeoverConsentRequest = "consent-request",
    /** Consents: the lease that the sender granted has expired, and it grants none any more under this version. */
    TakeoverConsent = "consent",
}

/** Why a successor lease is refused. */
export enum RefusalReason {
    /** The requester's record does not name the refusing host as successor, as far as that host knows. */
    NotNamed = "not-named",
    /** The refusing host's own right to act is not valid, or the host is stopping. */
    NoRight = "no-right",
    /** The refusing host has requested, or consented to, a takeover under this version of the record. */
    TakeoverRequested = "takeover-asked",
}

/** A precondition of a write: the expected revision of a key, 0 for a key that must not exist. */
export interface Comparison {
    readonly key: string;
    readonly modRevision: number;
}

/** The change of one key; without a value the key is deleted. */
export interface KeyWrite {
    readonly key: string;
    readonly value?: string;
    /** The identifier of the lease that the key is bound to. */
    readonly lease?: string;
}

/** What a conditional write is for. */
export enum WritePurpose {
    /** Writes the record of this host. */
    Join = "join",
    /** Writes the key that is bound to the host lease. */
    AttachLease = "attach",
    /** Writes other successors to the record of this host. */
    ChangeSuccessors = "rename",
    /** Deletes the record of a dead host. */
    Takeover = "takeover",
    /** Assigns partitions that have no owner. */
    Assign = "assign",
    /** Assigns partitions of this host to other hosts. */
    HandOver = "hand-over",
    /** Hands over what is left and deletes the record of this host. */
    Leave = "leave",
}

/** The kinds of action. */
export enum ActionKind {
    /** Reads hosts and ownership table; a ViewUpdated event follows if the read succeeds. */
    ReadView = "read",
    GrantLease = "grant-lease",
    RenewLease = "keep-lease",
    RevokeLease = "revoke-lease",
    /** Changes keys at once, provided that all comparisons match; a WriteAnswered event follows. */
    ConditionalWrite = "swap",
    Send = "send",
    /** Lets the parts of this host finish with partitions it has stopped acting for; a HandOverReady event follows. */
    PrepareHandOver = "prepare-hand-over",
    /** The planned stop is complete: nothing is owned and the record is gone. */
    Left = "left",
}

/** What the caller has to carry out. */
export type MemberAction =
    | { readonly kind: ActionKind.ReadView | ActionKind.Left; }
    | { readonly kind: ActionKind.GrantLease; readonly call: number; readonly timeToLiveMs: decision.Milliseconds; }
    | { readonly kind: ActionKind.RenewLease; readonly call: number; readonly lease: string; }
    | { readonly kind: ActionKind.RevokeLease; readonly lease: string; }
    | {
        readonly kind: ActionKind.ConditionalWrite;
        readonly call: number;
        readonly purpose: WritePurpose;
        readonly comparisons: readonly Comparison[];
        readonly writes: readonly KeyWrite[];
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
    /** A new view was read, or built from watched changes. */
    ViewUpdated = "viewed",
    /** The answer to GrantLease or RenewLease. */
    LeaseAnswered = "lease-answered",
    WriteAnswered = "swap-answered",
    Message = "message",
    HandOverReady = "hand-over-ready",
    StopRequested = "stop-requested",
}

/** What happens to a member. */
export type MemberEvent =
    | { readonly kind: EventKind.Tick | EventKind.StopRequested; }
    | { readonly kind: EventKind.ViewUpdated; readonly view: records.View; }
    | {
        readonly kind: EventKind.LeaseAnswered;
        readonly call: number;
        /** The lease, or undefined if no answer came. A time to live of 0 means that the lease is gone. */
        readonly lease?: { readonly id: string; readonly timeToLiveMs: decision.Milliseconds; };
    }
    | {
        readonly kind: EventKind.WriteAnswered;
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

/** The host lease at the key-value service. */
export interface HostLease {
    readonly id: string;
    /** Duration from each renewal, in milliseconds. */
    readonly timeToLiveMs: decision.Milliseconds;
    /** When the request of the latest successful grant or renewal was sent. */
    readonly requestedAt: decision.Milliseconds;
    /** Whether the key bound to the lease is known to be written. Until then the lease gives no right to act. */
    readonly attached: boolean;
}

/** A call that awaits its answer. */
export interface PendingCall {
    readonly call: number;
    /** When the call was made. */
    readonly requestedAt: decision.Milliseconds;
}

/** A conditional write that awaits its answer. */
export interface PendingWrite extends PendingCall {
    readonly purpose: WritePurpose;
    /** The host to be taken over, for a takeover. */
    readonly target?: string;
}

/** A request for a successor lease that may still be answered. */
export interface PendingSuccessorRequest extends PendingCall {
    readonly successor: string;
    /** The version of this host's record that the request named. */
    readonly version: number;
}

/** The granted successor lease that expires last. */
export interface SuccessorLease {
    readonly until: decision.Milliseconds;
    /** The version of this host's record under which it was granted. */
    readonly version: number;
}

/** A version of another host's record under which this host grants no lease any more. */
export interface RefusedVersion {
    readonly version: number;
    /** Whether a takeover under this version took effect, was not answered or was consented to. */
    readonly mayHaveBeenTakenOver: boolean;
}

/** The successors that consent to the takeover of a host under one version of its record. */
export interface Consents {
    readonly version: number;
    readonly from: readonly string[];
}

/** Partitions that this host has stopped acting for, to hand them to other hosts. */
export interface HandOver {
    readonly number: number;
    /** The next owners by partition. */
    readonly next: Readonly<Record<string, records.HostId>>;
    /** Whether the parts of this host have finished with the partitions, so that the table may be written. */
    readonly ready: boolean;
}

/** The state of a member. Times are on its own monotonic clock. */
export interface MemberState {
    readonly settings: MemberSettings;
    readonly view: records.View;
    /** The entry of this process in the view; undefined while it has no record. */
    readonly own?: records.ObservedHost;
    /** The revision of this session's record when first observed. Tables read at an older revision are ignored. */
    readonly joinRevision: number;
    readonly lease?: HostLease;
    /** When the right to act that the host lease gives ends. */
    readonly leaseUntil: decision.Milliseconds;
    readonly pendingLeaseCall?: PendingCall;
    readonly pendingWrite?: PendingWrite;
    readonly nextLeaseCallAt: decision.Milliseconds;
    readonly nextWriteAt: decision.Milliseconds;
    /** Whether the latest write failed or was not answered. */
    readonly lastWriteFailed: boolean;
    readonly successorLease?: SuccessorLease;
    readonly pendingRequests: readonly PendingSuccessorRequest[];
    readonly nextRequestAt: decision.Milliseconds;
    /** The version of this host's record whose successor leases are ignored: other successors were requested. */
    readonly supersededVersion?: number;
    /** Whether a successor refuses leases until this host's record has a new version. */
    readonly rewriteNeeded: boolean;
    /** When the successor leases that this host granted expire, by holder. */
    readonly grantedUntil: Readonly<Record<string, decision.Milliseconds>>;
    /** By the host to which no lease is granted. */
    readonly refusedVersions: Readonly<Record<string, RefusedVersion>>;
    /** By the host that may be taken over. */
    readonly consents: Readonly<Record<string, Consents>>;
    readonly nextConsentAt: decision.Milliseconds;
    /** When hosts were first observed without a host lease, by session key. */
    readonly withoutLeaseSince: Readonly<Record<string, decision.Milliseconds>>;
    /** When successors named in records were first observed to have no record, by session key. */
    readonly successorGoneSince: Readonly<Record<string, decision.Milliseconds>>;
    /** By partition, for the present roster. */
    readonly desiredOwners: Readonly<Record<string, records.HostRecord>>;
    readonly handOver?: HandOver;
    readonly nextHandOverAt: decision.Milliseconds;
    readonly stopping: boolean;
    readonly left: boolean;
    /** The last number given to a call, request or hand-over. */
    readonly lastNumber: number;
}

/** The state before the first event. */
export function createMemberState(settings: MemberSettings, now: decision.Milliseconds): MemberState {
    return {
        settings,
        view: records.EMPTY_VIEW,
        joinRevision: Infinity,
        leaseUntil: -Infinity,
        nextLeaseCallAt: now,
        nextWriteAt: now,
        lastWriteFailed: false,
        pendingRequests: [],
        nextRequestAt: now,
        rewriteNeeded: false,
        grantedUntil: {},
        refusedVersions: {},
        consents: {},
        nextConsentAt: now,
        withoutLeaseSince: {},
        successorGoneSince: {},
        desiredOwners: {},
        nextHandOverAt: now,
        stopping: false,
        left: false,
        lastNumber: 0,
    };
}
