import * as decision from "@citronlead/decision";

/** Watches which contents crash upstreams and which are quarantined, over all hosts. For seeded runs and test benches. */
export class QuarantineLedger {
    private readonly crashesBy = new Map<string, number>();

    /** The bound is for each fingerprint; harmful tells which contents crash upstreams. */
    constructor(
        private readonly crashBound: number,
        private readonly harmful: (fingerprint: string) => boolean,
    ) {}

    /** A content crashed an upstream. */
    noteCrash(fingerprint: string): void {
        const crashes = this.crashes(fingerprint) + 1;
        this.crashesBy.set(fingerprint, crashes);
        decision.invariant(
            crashes <= this.crashBound,
            () => `${fingerprint} crashed ${crashes} upstreams, more than ${this.crashBound}`,
        );
    }

    /** A content was quarantined at a host. */
    noteQuarantined(fingerprint: string): void {
        decision.invariant(this.harmful(fingerprint), () => `${fingerprint} is quarantined but crashes nothing`);
    }

    /** How many upstreams a content crashed. */
    crashes(fingerprint: string): number {
        return this.crashesBy.get(fingerprint) ?? 0;
    }
}
