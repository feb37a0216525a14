import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import * as contexts from "./context.js";

/** Where one request may hold engine memory. Everything is written down before it is asked for. */
export interface EngineMemory {
    /** Numbers a new attempt at an engine and remembers that it may hold memory from now on. */
    readonly attemptAt: (address: string) => upstream.Attempt;
    /** Tells every engine that may hold memory to let go; goes on in the background until each has answered. */
    readonly letGo: () => void;
}

const CANCEL_TIMEOUT_MS = 1_000;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 2_000;
/** An engine that has not answered by then is left to the sweep of its owner. */
const GIVE_UP_AFTER_MS = 60_000;

/** Keeps the engine memory of one request. */
export function trackEngineMemory(
    context: contexts.Context,
    scope: lifecycle.Lifecycle,
    requestId: string,
): EngineMemory {
    const attempts = new Map<string, upstream.Attempt>();
    let count = 0;
    return {
        attemptAt: (address) => {
            const attempt = { requestId, attempt: count++, holder: contexts.holderOf(context) };
            attempts.set(address, attempt);
            return attempt;
        },
        letGo: () => {
            for (const [address, attempt] of attempts) {
                attempts.delete(address);
                scope.own(cancelUntilAnswered(context, address, attempt));
            }
        },
    };
}

/** Cancels until the engine answers. Returns a function that waits for the end of the first try. */
function cancelUntilAnswered(
    context: contexts.Context,
    address: string,
    attempt: upstream.Attempt,
): () => Promise<void> {
    const giveUpAt = context.clock() + GIVE_UP_AFTER_MS;
    const tryOnce = async (pauseMs: decision.Milliseconds): Promise<void> => {
        const target = { address, agent: context.agent, timeoutMs: CANCEL_TIMEOUT_MS };
        const outcome = await upstream.cancel(target, attempt);
        context.metrics.upstreamCalls.inc({ call: "cancel", result: outcome.result });
        if (outcome.result !== upstream.CallResult.Done && context.clock() < giveUpAt) {
            lifecycle.after(context.scope, pauseMs, () => void tryOnce(Math.min(LONGEST_PAUSE_MS, 2 * pauseMs)));
        }
    };
    const first = tryOnce(FIRST_PAUSE_MS);
    return () => first;
}
