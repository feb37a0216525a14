import * as decision from "@citronlead/decision";
import * as perfHooks from "node:perf_hooks";
import type * as scopes from "./scope.js";

/** The monotonic clock of this process, in milliseconds. */
export const monotonicClock: decision.Clock = () => perfHooks.performance.now();

/**
 * Runs a callback once after a delay in milliseconds, unless the scope closes first or is closed. Returns a cancel
 * function.
 */
export function after(scope: scopes.Scope, delayMs: decision.Milliseconds, callback: () => void): () => void {
    if (scope.closed) {
        return () => undefined;
    }
    const timer = setTimeout(() => {
        void release();
        callback();
    }, delayMs);
    const release = scope.defer(() => clearTimeout(timer));
    return () => void release();
}

/** Runs a callback periodically, every so many milliseconds, until the scope closes. */
export function every(scope: scopes.Scope, periodMs: decision.Milliseconds, callback: () => void): void {
    if (scope.closed) {
        return;
    }
    const timer = setInterval(callback, periodMs);
    scope.defer(() => clearInterval(timer));
}

/** Resolves after a delay in milliseconds, or when the scope closes if that is earlier. */
export function pause(scope: scopes.Scope, delayMs: decision.Milliseconds): Promise<void> {
    if (scope.closed) {
        return Promise.resolve();
    }
    return new Promise((resolve) => {
        const timer = setTimeout(() => void release(), delayMs);
        const release = scope.defer(() => {
            clearTimeout(timer);
            resolve();
        });
    });
}
