import * as decision from "@citronlead/decision";
import * as perfHooks from "node:perf_hooks";
import type * as lifecycle from "./lifecycle.js";

/** The monotonic clock of this process, in milliseconds. */
export const monotonicClock: decision.Clock = () => perfHooks.performance.now();

/** Runs the callback once after the delay in milliseconds unless the scope closes first. Returns a cancel function. */
export function after(scope: lifecycle.Lifecycle, delayMs: decision.Milliseconds, callback: () => void): () => void {
    const timer = setTimeout(() => {
        void release();
        callback();
    }, delayMs);
    const release = scope.own(() => clearTimeout(timer));
    return () => void release();
}

/** Runs the callback every period, in milliseconds, until the scope closes. */
export function every(scope: lifecycle.Lifecycle, periodMs: decision.Milliseconds, callback: () => void): void {
    const timer = setInterval(callback, periodMs);
    scope.own(() => clearInterval(timer));
}

/** Waits for the delay in milliseconds, or until the scope closes, whichever comes first. */
export function pause(scope: lifecycle.Lifecycle, delayMs: decision.Milliseconds): Promise<void> {
    if (scope.closed) {
        return Promise.resolve();
    }
    return new Promise((resolve) => {
        const timer = setTimeout(() => void release(), delayMs);
        const release = scope.own(() => {
            clearTimeout(timer);
            resolve();
        });
    });
}
