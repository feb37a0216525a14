import * as decision from "@citronlead/decision";

/**
 * Checks across all hosts that no content crashes too many upstreams and that only harmful contents are quarantined.
 * Throws BrokenInvariantError at the first violation. For seeded tests and test benches.
 */
export class QuarantineChecker {
    private readonly crashCounts = new Map<string, number>();

    /** The maximum applies to each fingerprint; isHarmful says whether a content crashes upstreams. */
    constructor(
        private readonly maxCrashes: number,
        private readonly isHarmful: (fingerprint: string) => boolean,
    ) {}

    /** A content crashed an upstream. */
    recordCrash(fingerprint: string): void {
        const crashes = this.crashCount(fingerprint) + 1;
        this.crashCounts.set(fingerprint, crashes);
        decision.invariant(
            crashes <= this.maxCrashes,
            () => `${fingerprint} crashed ${crashes} upstreams, more than ${this.maxCrashes}`,
        );
    }

    /** A host has a content in quarantine. */
    recordQuarantine(fingerprint: string): void {
        decision.invariant(
            this.isHarmful(fingerprint),
            () => `${fingerprint} is quarantined but does not crash upstreams`,
        );
    }

    /** The number of times a content crashed an upstream. */
    crashCount(fingerprint: string): number {
        return this.crashCounts.get(fingerprint) ?? 0;
    }
}
