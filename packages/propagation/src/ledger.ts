import * as decision from "@citronlead/decision";
import * as states from "./state.js";

interface Learnt {
    readonly revision: number;
    readonly at: decision.Milliseconds;
}

/**
 * Watches, over all hosts, which revisions were accepted, learnt and served by, and stops at the first broken promise.
 * For seeded runs and for test benches; all times are on one clock.
 */
export class PropagationLedger {
    private readonly acceptedAt: decision.Milliseconds[] = [0];
    private readonly learnt = new Map<string, Learnt[]>();

    constructor(private readonly hosts: number) {}

    /** The newest accepted revision. */
    get newest(): number {
        return this.acceptedAt.length - 1;
    }

    /** A revision was accepted; they count up by one. */
    noteAccepted(at: decision.Milliseconds): void {
        this.acceptedAt.push(at);
    }

    /** A host has heard of a revision. */
    noteLearnt(host: string, revision: number, at: decision.Milliseconds): void {
        const former = this.learnt.get(host) ?? [];
        if ((former.at(-1)?.revision ?? 0) < revision) {
            this.learnt.set(host, [...former, { revision, at }]);
        }
    }

    /** A host has lost its memory in a restart. */
    noteRestarted(host: string): void {
        this.learnt.delete(host);
    }

    /** A host puts a revision in force. */
    noteInForce(revision: number): void {
        decision.invariant(revision <= this.newest, () => `revision ${revision} is in force but was never accepted`);
    }

    /**
     * A host serves a key by a revision. Later than KEYS_FRESH_MS after the next revision was accepted, that may only be
     * while half of the hosts or more had not heard of it KEYS_FRESH_MS ago.
     */
    noteServed(host: string, revision: number, now: decision.Milliseconds): void {
        const nextAt = this.acceptedAt[revision + 1];
        const before = now - states.KEYS_FRESH_MS;
        if (nextAt === undefined || nextAt >= before) {
            return;
        }
        const informed = [...this.learnt.values()]
            .filter((entries) => entries.some((entry) => entry.revision > revision && entry.at < before));
        decision.invariant(
            informed.length * 2 < this.hosts,
            () => `${host} serves by revision ${revision} although ${informed.length} hosts know a newer one`,
        );
    }

    /** A host that could hear of every revision has one in force. */
    noteConnected(host: string, inForce: number, now: decision.Milliseconds): void {
        const nextAt = this.acceptedAt[inForce + 1];
        decision.invariant(
            nextAt === undefined || nextAt + states.KEYS_FRESH_MS >= now,
            () => `${host} has revision ${inForce} in force although the next was accepted at ${nextAt}, now ${now}`,
        );
    }
}
