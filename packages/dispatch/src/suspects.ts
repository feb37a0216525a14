import type * as decision from "@citronlead/decision";

/** Crashes after which a content reaches no more upstreams. */
export const CRASH_LIMIT = 3;
/** How long a content is remembered after its last crash: callers send such content again for minutes. */
export const MEMORY_MS = 600_000;
/** Contents remembered at most; the oldest are forgotten first. */
export const CONTENT_LIMIT = 5_000;

/** An upstream went down while it ran a content. */
export interface CrashReport {
    /** Names the content: a hash of route, workspace and body. */
    readonly content: string;
    /** The incarnation that went down. */
    readonly incarnation: string;
}

interface Suspect {
    readonly incarnations: Set<string>;
    lastAt: decision.Milliseconds;
}

/** Contents that were running when upstreams went down, from this host's and other hosts' reports. */
export class Suspects {
    private readonly suspects = new Map<string, Suspect>();

    /** Takes a report in. Returns how many upstreams the content has taken down. */
    add(report: CrashReport, now: decision.Milliseconds): number {
        const former = this.suspects.get(report.content);
        const suspect = former && now - former.lastAt < MEMORY_MS
            ? former
            : { incarnations: new Set<string>(), lastAt: now };
        suspect.incarnations.add(report.incarnation);
        suspect.lastAt = now;
        this.suspects.delete(report.content);
        this.suspects.set(report.content, suspect);
        if (this.suspects.size > CONTENT_LIMIT) {
            this.suspects.delete(this.suspects.keys().next().value as string);
        }
        return suspect.incarnations.size;
    }

    /** Whether a content is kept from upstreams. */
    barred(content: string, now: decision.Milliseconds): boolean {
        const suspect = this.suspects.get(content);
        return suspect !== undefined
            && suspect.incarnations.size >= CRASH_LIMIT
            && now - suspect.lastAt < MEMORY_MS;
    }

    /** A content that ran to its end did not take the upstream down. */
    clear(content: string): void {
        this.suspects.delete(content);
    }
}
