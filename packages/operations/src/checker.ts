import * as decision from "@citronlead/decision";

/**
 * Checks across all hosts that every operation runs at most once and that callers are told the truth about it. Throws
 * BrokenInvariantError at the first violation. For seeded tests and test benches.
 */
export class AtMostOnceChecker {
    private readonly attemptByOperation = new Map<string, string>();
    private readonly answerByOperation = new Map<string, string>();
    private readonly attemptsReportedNotRun = new Set<string>();

    /** An upstream ran an operation for an attempt. */
    recordRun(operation: string, attempt: string): void {
        const previousAttempt = this.attemptByOperation.get(operation);
        decision.invariant(
            previousAttempt === undefined,
            () => `${operation} ran for ${previousAttempt} and again for ${attempt}`,
        );
        decision.invariant(
            !this.attemptsReportedNotRun.has(attempt),
            () => `${attempt} ran after its caller was told that it did not run`,
        );
        this.attemptByOperation.set(operation, attempt);
    }

    /** The caller of an attempt was told that it did not run. */
    recordReportedNotRun(operation: string, attempt: string): void {
        const ranFor = this.attemptByOperation.get(operation);
        decision.invariant(
            ranFor !== attempt,
            () => `the caller of ${attempt} was told that it did not run, but it did`,
        );
        this.attemptsReportedNotRun.add(attempt);
    }

    /** A caller was given an answer. */
    recordAnswer(operation: string, answer: string): void {
        const previousAnswer = this.answerByOperation.get(operation) ?? answer;
        decision.invariant(this.attemptByOperation.has(operation), () => `${operation} has an answer but did not run`);
        decision.invariant(previousAnswer === answer, () => `callers of ${operation} were given different answers`);
        this.answerByOperation.set(operation, answer);
    }

    /** The number of operations that ran. */
    get runCount(): number {
        return this.attemptByOperation.size;
    }
}
