import * as decision from "@citronlead/decision";
import type * as mixes from "./mix.js";

/** One request of a load, planned before it is sent. */
export interface PlannedRequest {
    /** When to send it, in milliseconds from the start of the load. */
    readonly sendAtMs: decision.Milliseconds;
    readonly workspace: string;
    readonly template: mixes.MixRequest;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Number of the request in its load; makes its prompt and its idempotency key unique. */
    readonly number: number;
}

/** When requests arrive, and how many. */
export interface ArrivalOptions {
    readonly seed: number;
    readonly requestsPerSecond: number;
    readonly durationMs: decision.Milliseconds;
    /** Maximum number of requests. */
    readonly count: number;
}

/** Plans an open-loop load with Poisson arrivals. The same seed gives the same load. */
export function* planLoad(mix: mixes.Mix, options: ArrivalOptions): Generator<PlannedRequest> {
    const random = decision.seeded(options.seed);
    const meanGapMs = decision.SECOND_MS / options.requestsPerSecond;
    const workspaces = Object.entries(mix.workspaces);
    let sendAtMs = random.exponential(meanGapMs);
    for (let number = 0; number < options.count && sendAtMs <= options.durationMs; number++) {
        const [workspace] = pickWeighted(random, workspaces, ([, weight]) => weight);
        const template = pickWeighted(random, mix.requests, (request) => request.share);
        const lengths = template.kind === "completion"
            ? {
                promptTokens: drawLength(random, template.promptTokens),
                outputTokens: drawLength(random, template.outputTokens),
            }
            : { promptTokens: 0, outputTokens: 0 };
        yield { sendAtMs, workspace, template, number, ...lengths };
        sendAtMs += random.exponential(meanGapMs);
    }
}

function pickWeighted<Item>(
    random: decision.Random,
    items: readonly Item[],
    weightOf: (item: Item) => number,
): Item {
    let remaining = random.fraction() * items.reduce((sum, item) => sum + weightOf(item), 0);
    const found = items.find((item) => {
        remaining -= weightOf(item);
        return remaining < 0;
    });
    const picked = found ?? items.at(-1);
    decision.invariant(picked !== undefined, "a mix has no items to pick from");
    return picked;
}

/** Draws from a log-normal distribution with the Box-Muller transform and clamps the result to the bounds. */
function drawLength(random: decision.Random, lengths: mixes.Lengths): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * random.fraction());
    const length = Math.round(lengths.median * Math.exp(lengths.spread * normal));
    return Math.min(lengths.most, Math.max(lengths.least, length));
}
