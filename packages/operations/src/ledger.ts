import * as decision from "@citronlead/decision";

/**
 * Watches what upstreams run and what callers are told, over all hosts, and stops at the first broken promise. For
 * seeded runs and for test benches.
 */
export class RunLedger {
    private readonly ranBy = new Map<string, string>();
    private readonly answers = new Map<string, string>();
    private readonly toldNotRun = new Set<string>();

    /** An upstream ran an operation for an attempt. */
    noteRun(operation: string, attempt: string): void {
        const former = this.ranBy.get(operation);
        decision.invariant(former === undefined, () => `${operation} ran for ${former} and again for ${attempt}`);
        decision.invariant(!this.toldNotRun.has(attempt), () => `${attempt} ran after its caller was told otherwise`);
        this.ranBy.set(operation, attempt);
    }

    /** The caller of an attempt was told that it did not run. */
    noteToldNotRun(operation: string, attempt: string): void {
        const ranBy = this.ranBy.get(operation);
        decision.invariant(
            ranBy !== attempt,
            () => `the caller of ${attempt} was told that it did not run, but it did`,
        );
        this.toldNotRun.add(attempt);
    }

    /** A caller was given an answer. */
    noteAnswer(operation: string, answer: string): void {
        const former = this.answers.get(operation) ?? answer;
        decision.invariant(this.ranBy.has(operation), () => `${operation} has an answer but did not run`);
        decision.invariant(former === answer, () => `callers of ${operation} were given different answers`);
        this.answers.set(operation, answer);
    }

    /** How many operations ran. */
    get runs(): number {
        return this.ranBy.size;
    }
}
