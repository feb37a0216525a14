import type * as decision from "@citronlead/decision";

/** Number of crashed upstreams after which a request is no longer sent to any upstream. */
export const CRASH_LIMIT = 3;
/** How long a suspect is remembered after its last crash: callers repeat such requests for minutes. */
export const SUSPECT_TTL_MS = 600_000;
/** Maximum number of suspects; the one whose last crash is the oldest is evicted first. */
export const MAX_SUSPECTS = 5_000;

/** Reports that an upstream went down while it ran a request. */
export interface CrashReport {
    /** Hash of path, workspace and body, which identifies identical requests. */
    readonly content: string;
    /** The upstream incarnation that went down. */
    readonly incarnation: string;
}

interface Suspect {
    readonly incarnations: Set<string>;
    lastCrashAt: decision.Milliseconds;
}

/**
 * Requests that were running when upstreams went down and may have caused it, as reported by this host and others. They
 * are identified by their content hash.
 */
export class CrashSuspects {
    private readonly suspects = new Map<string, Suspect>();

    /** Records a report. Returns how many upstream incarnations went down while they ran the content. */
    recordCrash(report: CrashReport, now: decision.Milliseconds): number {
        const former = this.suspects.get(report.content);
        const suspect = former && now - former.lastCrashAt < SUSPECT_TTL_MS
            ? former
            : { incarnations: new Set<string>(), lastCrashAt: now };
        suspect.incarnations.add(report.incarnation);
        suspect.lastCrashAt = now;
        this.suspects.delete(report.content);
        this.suspects.set(report.content, suspect);
        if (this.suspects.size > MAX_SUSPECTS) {
            this.suspects.delete(this.suspects.keys().next().value as string);
        }
        return suspect.incarnations.size;
    }

    /** Whether a content must not be sent to upstreams. */
    isBarred(content: string, now: decision.Milliseconds): boolean {
        const suspect = this.suspects.get(content);
        return suspect !== undefined
            && suspect.incarnations.size >= CRASH_LIMIT
            && now - suspect.lastCrashAt < SUSPECT_TTL_MS;
    }

    /** Forgets a content that ran to completion: it did not take the upstream down. */
    clear(content: string): void {
        this.suspects.delete(content);
    }
}
