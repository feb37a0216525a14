import type * as decision from "@citronlead/decision";

/**
 * The software versions of a service at which streams may have begun that callers may still resume, as hosts keep them
 * in the store. No host begins a stream at a version before the store has it, so a version that is missing here began
 * none.
 */
export interface VersionHistory {
    /** Era of the store in which it was written; a later one may have come back without the newest versions. */
    readonly era: number;
    readonly versions: readonly string[];
}

/** Stands in a history for versions that a store may have lost when it came back from a copy. */
export const LOST_VERSIONS = "";

/** Highest era of a store that has not come back from a copy. */
const FIRST_ERA = 1;

/** Shortest time for which a version stays in the history after its last upstream has left. */
const MIN_RETENTION_MS = 60_000;
/** Retention as a multiple of the longest route timeout: a caller's attempts end within its deadline. */
const RETENTION_TIMEOUTS = 3;

/** The history with the given versions; the same object if it has them already. */
export function addVersions(
    history: VersionHistory | undefined,
    versions: readonly string[],
    era: number,
): VersionHistory {
    const lost = (history?.era ?? FIRST_ERA) < era ? [LOST_VERSIONS] : [];
    const all = [...new Set([...history?.versions ?? [], ...versions, ...lost])];
    return history?.era === era && all.length === history.versions.length ? history : { era, versions: all };
}

/** Whether a stream may begin at a version: the store has it, in the present era. */
export function mayBeginAt(history: VersionHistory | undefined, version: string, era: number): boolean {
    return history?.era === era && history.versions.includes(version);
}

/** Whether streams have to be recorded with their versions, since the history alone does not tell them. */
export function needsRecords(history: VersionHistory | undefined): boolean {
    return history !== undefined && history.versions.length > 1;
}

/** The version that began a stream without a record; undefined if it cannot be known. */
export function onlyVersion(history: VersionHistory | undefined, era: number): string | undefined {
    const [version, ...others] = history?.era === era ? history.versions : [];
    return others.length > 0 || version === LOST_VERSIONS ? undefined : version;
}

/** Tracks how long each version of a service has had no registered upstream, since it came into the history. */
export class VersionRetention {
    private readonly lastListedAt = new Map<string, decision.Milliseconds>();
    private history: VersionHistory | undefined;

    /** Records a history that was read or written. */
    adopt(history: VersionHistory, now: decision.Milliseconds): void {
        const isNewEra = history.era !== this.history?.era;
        for (const version of history.versions) {
            if (!this.history?.versions.includes(version) || (version === LOST_VERSIONS && isNewEra)) {
                this.lastListedAt.set(version, now);
            }
        }
        this.history = history;
    }

    /**
     * Records the versions of the registered upstreams. Returns whether one of them was away for so long that another host
     * may have retired it.
     */
    observe(listed: ReadonlySet<string>, now: decision.Milliseconds): boolean {
        const isBack = [...listed].some((version) =>
            now - (this.lastListedAt.get(version) ?? now) > MIN_RETENTION_MS / 2
        );
        listed.forEach((version) => this.lastListedAt.set(version, now));
        return isBack;
    }

    /** The history without the versions whose streams no caller resumes any more; the same object if it needs all. */
    retire(
        history: VersionHistory,
        longestTimeoutMs: decision.Milliseconds,
        now: decision.Milliseconds,
    ): VersionHistory {
        const retentionMs = Math.max(MIN_RETENTION_MS, RETENTION_TIMEOUTS * longestTimeoutMs);
        const kept = history.versions.filter((version) => now - (this.lastListedAt.get(version) ?? now) < retentionMs);
        return kept.length === history.versions.length ? history : { ...history, versions: kept };
    }
}
