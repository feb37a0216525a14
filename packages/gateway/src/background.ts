import * as decision from "@citronlead/decision";
import type * as logs from "./log.js";

/**
 * Makes a listener for an event of a connection or a stream. An error in it is passed to `onFailure`, which ends what the event
 * belongs to and sees to it that the error is logged; it ends neither the process nor other requests. Broken invariants are
 * thrown on.
 */
export function guardListener<Parameters extends unknown[]>(
    onFailure: (error: unknown) => void,
    listener: (...parameters: Parameters) => void,
): (...parameters: Parameters) => void {
    return (...parameters) => {
        try {
            listener(...parameters);
        }
        catch (error) {
            throwBrokenInvariant(error);
            onFailure(error);
        }
    };
}

/** Makes a call that nothing waits for. An error in it is logged. Broken invariants are thrown on. */
export function runInBackground(log: logs.DecisionLog, task: string, call: () => Promise<unknown>): void {
    void guardCall(log, task, call);
}

async function guardCall(log: logs.DecisionLog, task: string, call: () => Promise<unknown>): Promise<void> {
    try {
        await call();
    }
    catch (error) {
        throwBrokenInvariant(error);
        log.failure(task, error);
    }
}

/** Throws an error that shows the state of the process to be unusable; others concern one request or call. */
export function throwBrokenInvariant(error: unknown): void {
    if (error instanceof decision.BrokenInvariantError) {
        throw error;
    }
}
