import type * as decision from "@citronlead/decision";

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

/** One crash of an upstream, as reported by the hosts that had contents running there. */
export interface Crash {
    readonly upstream: string;
    readonly incarnation: string;
    readonly firstReportAt: decision.Milliseconds;
    readonly fingerprints: readonly string[];
    /** Whether it was looked at for a content to blame. */
    readonly judged: boolean;
    /** Whether a content that ran there is quarantined for it or for another crash: it speaks against nobody else. */
    readonly explained: boolean;
}

/** A content that ran at an upstream that crashed. */
export interface Suspect {
    readonly crashes: number;
    readonly lastCrashAt: decision.Milliseconds;
    /** Whether this host ran it at a crash. */
    readonly own: boolean;
    readonly quarantinedUntil: decision.Milliseconds;
    readonly offences: number;
}

/** What one host knows of contents that crash upstreams. */
export interface QuarantineState {
    readonly crashes: readonly Crash[];
    readonly suspects: ReadonlyMap<string, Suspect>;
}

/** Reports of one crash arrive within this time; then it is judged. */
export const REPORT_TIME_MS = 2_000;
/** A content that is held back is told to come back no sooner than this. */
const SHORTEST_HOLD_MS = 250;
/** A suspect that crashed nothing for this long is clear again. */
export const SUSPICION_MS = 2 * 60 * 1_000;
/** How long a content is quarantined the first time; twice as long each time after, up to the limit. */
export const QUARANTINE_MS = 15 * 60 * 1_000;
/** The longest quarantine. */
export const LONGEST_QUARANTINE_MS = 8 * 60 * 60 * 1_000;
/** After a quarantine, one more crash within this time quarantines the content again. */
export const PROBATION_MS = 60 * 60 * 1_000;

/** The standing of a content now. */
export function verdict(state: QuarantineState, fingerprint: string, now: decision.Milliseconds): Verdict {
    const suspect = state.suspects.get(fingerprint);
    if (!suspect) {
        return { standing: Standing.Clear, remainingMs: 0 };
    }
    if (suspect.quarantinedUntil > now) {
        return { standing: Standing.Quarantined, remainingMs: suspect.quarantinedUntil - now };
    }
    if (suspect.crashes > 1) {
        const judgedAt = judgementOf(state, fingerprint);
        if (judgedAt !== undefined) {
            return { standing: Standing.Quarantined, remainingMs: Math.max(SHORTEST_HOLD_MS, judgedAt - now) };
        }
    }
    const suspectUntil = suspect.lastCrashAt + SUSPICION_MS;
    return suspect.crashes > 0 && suspectUntil > now
        ? { standing: Standing.Suspect, remainingMs: suspectUntil - now }
        : { standing: Standing.Clear, remainingMs: 0 };
}

/**
 * When the crashes of a content that are not judged yet can be. A content that was at two crashes is held back until
 * then, since reports of the latest may still come in.
 */
function judgementOf(state: QuarantineState, fingerprint: string): decision.Milliseconds | undefined {
    const open = state.crashes.filter((crash) => !crash.judged && crash.fingerprints.includes(fingerprint));
    return open.length === 0 ? undefined : Math.max(...open.map((crash) => crash.firstReportAt)) + REPORT_TIME_MS;
}
