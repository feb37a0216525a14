import type * as decision from "@citronlead/decision";

/** The status of a request content. */
export enum Standing {
    /** No recent crash counts against it. */
    Clear = "clear",
    /**
     * An upstream crashed while it was running this content. It may run, but not at an upstream with another suspect.
     */
    Suspect = "suspect",
    /** It is not run: it crashes upstreams, or was at several crashes of which one is not evaluated yet. */
    Quarantined = "quarantined",
}

/** The status of a content and how long that lasts. */
export interface Verdict {
    readonly standing: Standing;
    readonly remainingMs: decision.Milliseconds;
}

/** One crash of an upstream, combined from the reports of the hosts that had contents running there. */
export interface Crash {
    readonly upstream: string;
    readonly incarnation: string;
    readonly firstReportAt: decision.Milliseconds;
    readonly fingerprints: readonly string[];
    /** Whether the crash has been evaluated for a content to quarantine. */
    readonly evaluated: boolean;
    /**
     * Whether it is attributed to a quarantined content that ran there, so that it does not count against the others.
     */
    readonly attributed: boolean;
}

/** A content that was running at an upstream when it crashed. */
export interface Suspect {
    /** Crashes that count against the content; set to 1 by a quarantine, so that one more crash leads to the next. */
    readonly crashes: number;
    readonly lastCrashAt: decision.Milliseconds;
    /** Whether this host sent the content to an upstream that crashed; only such hosts announce its quarantine. */
    readonly sentByThisHost: boolean;
    readonly quarantinedUntil: decision.Milliseconds;
    /** How often the content has been quarantined. */
    readonly offences: number;
}

/** What one host knows about request contents that may crash upstreams. */
export interface QuarantineState {
    readonly crashes: readonly Crash[];
    /** Suspects by fingerprint, the one reported longest ago first. */
    readonly suspects: ReadonlyMap<string, Suspect>;
}

/** A crash is evaluated this long after its first report, so that the reports of all hosts have arrived. */
export const REPORT_WINDOW_MS = 2_000;
/** The minimum remaining time given for a content that is held back until a crash is evaluated. */
const MIN_HOLD_MS = 250;
/** A suspect is clear again if it was at no crash for this long. */
export const SUSPICION_MS = 2 * 60 * 1_000;
/** The duration of the first quarantine of a content. It doubles with each further one, up to MAX_QUARANTINE_MS. */
export const FIRST_QUARANTINE_MS = 15 * 60 * 1_000;
export const MAX_QUARANTINE_MS = 8 * 60 * 60 * 1_000;
/** For this long after a quarantine, a single further crash quarantines the content again. */
export const PROBATION_MS = 60 * 60 * 1_000;

/** The current status of a content. */
export function verdict(state: QuarantineState, fingerprint: string, now: decision.Milliseconds): Verdict {
    const suspect = state.suspects.get(fingerprint);
    if (!suspect) {
        return { standing: Standing.Clear, remainingMs: 0 };
    }
    if (suspect.quarantinedUntil > now) {
        return { standing: Standing.Quarantined, remainingMs: suspect.quarantinedUntil - now };
    }
    if (suspect.crashes > 1) {
        const evaluationAt = evaluationTime(state, fingerprint);
        if (evaluationAt !== undefined) {
            return { standing: Standing.Quarantined, remainingMs: Math.max(MIN_HOLD_MS, evaluationAt - now) };
        }
    }
    const suspectUntil = suspect.lastCrashAt + SUSPICION_MS;
    return suspect.crashes > 0 && suspectUntil > now
        ? { standing: Standing.Suspect, remainingMs: suspectUntil - now }
        : { standing: Standing.Clear, remainingMs: 0 };
}

/**
 * The time at which all crashes of a content will be evaluated; undefined if none is left to evaluate. A content with
 * two crashes is held back until then, because reports of the latest crash may still arrive.
 */
function evaluationTime(state: QuarantineState, fingerprint: string): decision.Milliseconds | undefined {
    const unevaluated = state.crashes.filter((crash) => !crash.evaluated && crash.fingerprints.includes(fingerprint));
    return unevaluated.length === 0
        ? undefined
        : Math.max(...unevaluated.map((crash) => crash.firstReportAt)) + REPORT_WINDOW_MS;
}
