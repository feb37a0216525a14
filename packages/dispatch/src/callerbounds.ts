import type * as decision from "@citronlead/decision";

/** What the machine of a host allows its process. */
export interface MachineLimits {
    readonly memoryBytes: number;
    /** Most descriptors that may be open at a time. */
    readonly descriptors: number;
}

/** Bounds on what a host holds for those that connect to it. */
export interface CallerBounds {
    /** All that is held for them: heads, bodies, queued requests, and answers that are not read. */
    readonly heldBytes: number;
    /** Bodies that were let go and may wait to be collected as garbage. */
    readonly garbageBytes: number;
    /** Connections of callers. */
    readonly callerConnections: number;
    /** Connections of other hosts. */
    readonly hostConnections: number;
    /** Connections to each port for probes or metrics. */
    readonly probeConnections: number;
}

const MEGABYTE = 1_048_576;
/** Memory of a process that serves nobody, with what the collector of garbage has not freed. */
const OWN_BYTES = 76 * MEGABYTE;
/** Share of the rest that is held for callers: what is dead and not yet freed may take as much again, and its holes the rest. */
const HELD_SHARE = 0.25;
/** Dead bodies before garbage is collected, as a share of what is held. */
const GARBAGE_SHARE = 0.5;
const MIN_HELD_BYTES = 8 * MEGABYTE;
/** A part of the heap of the process. */
const MAX_HELD_BYTES = 64 * MEGABYTE;
/** Descriptors that are no sockets, or are sockets for the store and messages. */
const RESERVED_DESCRIPTORS = 224;
/** Shares of the other descriptors; the rest is for connections to upstreams, one for each request that is being served. */
const CALLER_SHARE = 0.4;
const HOST_SHARE = 0.06;
const PROBE_SHARE = 0.02;
const MIN_CONNECTIONS = 8;

/** Bounds that keep a process within its machine whatever is sent to it. Answers the load of a crowd of unknown clients. */
export function boundsOf({ memoryBytes, descriptors }: MachineLimits): CallerBounds {
    const sockets = Math.max(0, descriptors - RESERVED_DESCRIPTORS);
    const share = (part: number) => Math.max(MIN_CONNECTIONS, Math.floor(part * sockets));
    const heldBytes = Math.min(MAX_HELD_BYTES, Math.max(MIN_HELD_BYTES, HELD_SHARE * (memoryBytes - OWN_BYTES)));
    return {
        heldBytes,
        garbageBytes: GARBAGE_SHARE * heldBytes,
        callerConnections: share(CALLER_SHARE),
        hostConnections: share(HOST_SHARE),
        probeConnections: share(PROBE_SHARE),
    };
}

/** What a connection is doing, as far as its bound is concerned. */
export interface ConnectionUse {
    /** Whether a request on it is being served or waits. */
    readonly isBusy: boolean;
    /** Whether a part of a head has arrived on it. */
    readonly hasPartialHead: boolean;
    /** Whether its peer reads nothing of an answer that waits for it. */
    readonly isStalled: boolean;
    /** When its latest response ended, or it was opened. */
    readonly idleSince: decision.Milliseconds;
}

/** The less a connection is needed, the lower; undefined if it is needed. */
function rankOf({ isBusy, hasPartialHead, isStalled }: ConnectionUse): number | undefined {
    if (isBusy) {
        return isStalled ? 2 : undefined;
    }
    return hasPartialHead ? 1 : 0;
}

/**
 * Which connection is closed when there are too many: the one that has been idle for longest, or else one that has been
 * sending a head, or else one whose peer does not read. Undefined if all are needed, so that the new one is closed.
 */
export function chooseToClose<Use extends ConnectionUse>(uses: Iterable<Use>): Use | undefined {
    let choice: { readonly use: Use; readonly rank: number; } | undefined;
    for (const use of uses) {
        const rank = rankOf(use);
        const isLess = rank !== undefined && (choice === undefined || rank < choice.rank
            || (rank === choice.rank && use.idleSince < choice.use.idleSince));
        choice = isLess ? { use, rank } : choice;
    }
    return choice?.use;
}

/** Why a connection is closed that its peer keeps open. */
export enum CloseReason {
    /** Its head has not been whole within the limit. */
    HeadOverdue = "headOverdue",
    /** No request has come on it. */
    Unused = "unused",
    /** Its peer has read nothing of an answer. */
    AnswerUnread = "answerUnread",
    /** There are too many connections. */
    TooMany = "tooMany",
    /** It held most of the memory for callers when that was taken. */
    HeldMost = "heldMost",
}

/** What was seen of a connection at a check. */
export interface ConnectionProgress {
    readonly hasPartialHead: boolean;
    /** Whether it has had no request and no part of one. */
    readonly isUnused: boolean;
    /** Number of bytes that wait for its peer to read. */
    readonly unreadBytes: number;
    /** Number of bytes of answers that its peer has taken. */
    readonly takenBytes: number;
}

/** Limits of the time that a peer may take. */
export interface PeerTimes {
    readonly headMs: decision.Milliseconds;
    readonly idleMs: decision.Milliseconds;
}

/**
 * Tells which connections make no progress. Counts checks and no times: a process that was suspended finds at its next check
 * what has arrived meanwhile.
 */
export class ProgressCheck {
    private headChecks = 0;
    private unusedChecks = 0;
    private unreadChecks = 0;
    private takenBytes = 0;

    constructor(private readonly periodMs: decision.Milliseconds) {}

    /** Whether the latest check found that the peer had read nothing since the one before. */
    get isStalled(): boolean {
        return this.unreadChecks > 0;
    }

    /** Why the connection is closed now; undefined if it stays open. Called once in each period. */
    check(
        { hasPartialHead, isUnused, unreadBytes, takenBytes }: ConnectionProgress,
        times: PeerTimes,
    ): CloseReason | undefined {
        this.headChecks = hasPartialHead ? this.headChecks + 1 : 0;
        this.unusedChecks = isUnused ? this.unusedChecks + 1 : 0;
        this.unreadChecks = unreadBytes > 0 && takenBytes === this.takenBytes ? this.unreadChecks + 1 : 0;
        this.takenBytes = takenBytes;
        // The first check may come right after the event, so that one more has to pass.
        const isPast = (checks: number, limitMs: decision.Milliseconds) => (checks - 1) * this.periodMs > limitMs;
        if (isPast(this.headChecks, times.headMs)) {
            return CloseReason.HeadOverdue;
        }
        if (isPast(this.unreadChecks, times.idleMs)) {
            return CloseReason.AnswerUnread;
        }
        return isPast(this.unusedChecks, times.idleMs) ? CloseReason.Unused : undefined;
    }
}
