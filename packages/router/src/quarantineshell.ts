import type * as decision from "@citronlead/decision";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";

/** What is known of a content. */
export enum Standing {
    /** Nothing speaks against it. */
    Clear = "clear",
    /** An upstream crashed while it ran this content among others: it runs apart from other suspects. */
    Suspect = "suspect",
    /** It crashed upstreams and is not run. */
    Quarantined = "quarantined",
}

/** The standing of a content and how long it lasts, in milliseconds. */
export interface Verdict {
    readonly standing: Standing;
    readonly remainingMs: decision.Milliseconds;
}

/** Keeps contents that crash upstreams from taking the pools down. */
export interface Quarantine {
    readonly verdict: (fingerprint: string) => Verdict;
    /** Takes note that an upstream broke off while it ran this content. Whether that was a crash is found out here. */
    readonly noteBreak: (fingerprint: string, upstreamName: string, requestId: string) => void;
}

/** Starts the quarantine. */
export function startQuarantine(
    _context: contexts.Context,
    _membership: memberships.Membership,
    _links: peers.Peers,
): Quarantine {
    return {
        verdict: () => ({ standing: Standing.Clear, remainingMs: 0 }),
        noteBreak: () => undefined,
    };
}
