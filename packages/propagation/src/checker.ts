import * as decision from "@citronlead/decision";
import * as states from "./state.js";

interface LearnedRevision {
    readonly revision: number;
    readonly at: decision.Milliseconds;
}

/**
 * Checks across all hosts that new revisions reach connected hosts in time and that withdrawn keys stop being served.
 * Throws BrokenInvariantError at the first violation. For seeded tests and test benches; all times are on one clock.
 */
export class PropagationChecker {
    private readonly acceptedAt: decision.Milliseconds[] = [0];
    private readonly learnedByHost = new Map<string, LearnedRevision[]>();

    constructor(private readonly hostCount: number) {}

    /** The newest accepted revision. */
    get newest(): number {
        return this.acceptedAt.length - 1;
    }

    /** The next revision was accepted; revisions are numbered consecutively. */
    recordAccepted(at: decision.Milliseconds): void {
        this.acceptedAt.push(at);
    }

    /** A host knows of a revision. */
    recordLearned(host: string, revision: number, at: decision.Milliseconds): void {
        const previous = this.learnedByHost.get(host) ?? [];
        if ((previous.at(-1)?.revision ?? 0) < revision) {
            this.learnedByHost.set(host, [...previous, { revision, at }]);
        }
    }

    /** A host restarted and no longer knows of any revision. */
    recordRestart(host: string): void {
        this.learnedByHost.delete(host);
    }

    /** Called when a host puts a revision in force: it must have been accepted. */
    checkInForce(revision: number): void {
        decision.invariant(revision <= this.newest, () => `revision ${revision} is in force but was never accepted`);
    }

    /**
     * Called when a host serves keys of a revision. Once the next revision was accepted more than MAX_KEY_STALENESS_MS
     * ago, that is allowed only if less than half of the hosts knew of a newer revision MAX_KEY_STALENESS_MS ago.
     */
    checkServed(host: string, revision: number, now: decision.Milliseconds): void {
        const nextAt = this.acceptedAt[revision + 1];
        const staleBefore = now - states.MAX_KEY_STALENESS_MS;
        if (nextAt === undefined || nextAt >= staleBefore) {
            return;
        }
        const informedHosts = [...this.learnedByHost.values()]
            .filter((entries) => entries.some((entry) => entry.revision > revision && entry.at < staleBefore));
        decision.invariant(
            informedHosts.length * 2 < this.hostCount,
            () =>
                `${host} serves keys of revision ${revision} although ${informedHosts.length} hosts know of a newer one`,
        );
    }

    /**
     * Called for a host that could learn of every revision: it must not be behind for longer than MAX_KEY_STALENESS_MS.
     */
    checkConnected(host: string, inForce: number, now: decision.Milliseconds): void {
        const nextAt = this.acceptedAt[inForce + 1];
        decision.invariant(
            nextAt === undefined || nextAt + states.MAX_KEY_STALENESS_MS >= now,
            () => `${host} has revision ${inForce} in force although the next was accepted at ${nextAt}, now ${now}`,
        );
    }
}
