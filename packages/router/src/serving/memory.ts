import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import * as contexts from "../context.js";

/** Tracks the engines on which one request may hold memory. An attempt is recorded before it is sent to the engine. */
export interface EngineMemoryTracker {
    /** Numbers a new attempt at an engine and records that the engine may hold memory for it. */
    readonly newAttempt: (address: string) => upstream.Attempt;
    /** Cancels every recorded attempt so that the engines free its memory. Retries in the background. */
    readonly cancelAll: () => void;
}

const CANCEL_TIMEOUT_MS = 1_000;
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2_000;
/** An attempt that the engine has not confirmed as cancelled by then is left to the sweep by the engine's owner. */
const CANCEL_RETRY_LIMIT_MS = 60_000;

/** Makes the tracker for one request; `scope` waits for the first cancellation of each attempt when it closes. */
export function trackEngineMemory(
    context: contexts.Context,
    scope: lifecycle.Scope,
    requestId: string,
): EngineMemoryTracker {
    const attempts = new Map<string, upstream.Attempt>();
    let nextAttempt = 0;
    return {
        newAttempt: (address) => {
            const attempt = { requestId, attempt: nextAttempt++, holder: contexts.memoryHolderName(context) };
            attempts.set(address, attempt);
            return attempt;
        },
        cancelAll: () => {
            for (const [address, attempt] of attempts) {
                attempts.delete(address);
                scope.defer(cancelWithRetry(context, address, attempt));
            }
        },
    };
}

/** Retries the cancellation until the engine confirms it. Returns a function that waits for the first try. */
function cancelWithRetry(
    context: contexts.Context,
    address: string,
    attempt: upstream.Attempt,
): () => Promise<void> {
    const giveUpAt = context.clock() + CANCEL_RETRY_LIMIT_MS;
    const tryOnce = async (delayMs: decision.Milliseconds): Promise<void> => {
        const target = { address, agent: context.agent, timeoutMs: CANCEL_TIMEOUT_MS };
        const outcome = await upstream.cancel(target, attempt);
        context.metrics.upstreamCalls.inc({ call: "cancel", result: outcome.result });
        if (outcome.result !== upstream.CallResult.Done && context.clock() < giveUpAt) {
            lifecycle.after(context.scope, delayMs, () => void tryOnce(Math.min(MAX_RETRY_DELAY_MS, 2 * delayMs)));
        }
    };
    const firstTry = tryOnce(INITIAL_RETRY_DELAY_MS);
    return () => firstTry;
}
