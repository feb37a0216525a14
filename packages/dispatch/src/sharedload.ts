import type * as decision from "@citronlead/decision";

/** Sends under way by upstream. */
export type LoadCounts = Readonly<Record<string, number>>;

/** Life of what a host told: a few prompts; a host that died must not hold engines back for longer. */
const LIFE_MS = 800;

/**
 * What other hosts have under way, as they told. Load: prompts that hosts place at the same moment, each seeing only its
 * own, would meet at the same engines while others are idle.
 */
export class SharedLoad {
    private readonly told = new Map<string, { readonly counts: LoadCounts; readonly at: decision.Milliseconds; }>();

    /** Takes in what a host has under way; it replaces what the host told before. */
    hear(host: string, counts: LoadCounts, now: decision.Milliseconds): void {
        this.told.set(host, { counts, at: now });
    }

    /** Sends that other hosts have under way at an upstream. */
    at(upstream: string, now: decision.Milliseconds): number {
        let sum = 0;
        for (const [host, { counts, at }] of this.told) {
            if (now - at > LIFE_MS) {
                this.told.delete(host);
            }
            else {
                sum += counts[upstream] ?? 0;
            }
        }
        return sum;
    }
}
