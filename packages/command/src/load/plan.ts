import * as decision from "@citronlead/decision";
import type * as mixes from "./mix.js";

/** One request of a load, fixed before anything is sent. */
export interface PlannedRequest {
    /** When it is sent, in milliseconds from the start. */
    readonly at: decision.Milliseconds;
    readonly workspace: string;
    readonly wanted: mixes.MixRequest;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Tells requests of one load apart, for prompts and idempotency keys. */
    readonly number: number;
}

/** How a load arrives. */
export interface ArrivalOptions {
    readonly seed: number;
    readonly requestsPerSecond: number;
    readonly durationMs: decision.Milliseconds;
    /** The most requests. */
    readonly count: number;
}

/** Plans an open-loop load with Poisson arrivals. The same seed gives the same load. */
export function* planLoad(mix: mixes.Mix, options: ArrivalOptions): Generator<PlannedRequest> {
    const random = decision.seeded(options.seed);
    const meanGapMs = decision.SECOND_MS / options.requestsPerSecond;
    const workspaces = Object.entries(mix.workspaces);
    let at = random.exponential(meanGapMs);
    for (let number = 0; number < options.count && at <= options.durationMs; number++) {
        const [workspace] = pickWeighted(random, workspaces, ([, weight]) => weight);
        const wanted = pickWeighted(random, mix.requests, (request) => request.share);
        const drawn = wanted.kind === "completion"
            ? {
                promptTokens: drawLength(random, wanted.promptTokens),
                outputTokens: drawLength(random, wanted.outputTokens),
            }
            : { promptTokens: 0, outputTokens: 0 };
        yield { at, workspace, wanted, number, ...drawn };
        at += random.exponential(meanGapMs);
    }
}

function pickWeighted<Item>(
    random: decision.Random,
    items: readonly Item[],
    weightOf: (item: Item) => number,
): Item {
    let left = random.fraction() * items.reduce((sum, item) => sum + weightOf(item), 0);
    const found = items.find((item) => {
        left -= weightOf(item);
        return left < 0;
    });
    const picked = found ?? items.at(-1);
    decision.invariant(picked !== undefined, "a mix has no items to pick from");
    return picked;
}

/** Draws from a log-normal distribution (Box and Muller's transform), cut off at both ends. */
function drawLength(random: decision.Random, lengths: mixes.Lengths): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * random.fraction());
    const length = Math.round(lengths.median * Math.exp(lengths.spread * normal));
    return Math.min(lengths.most, Math.max(lengths.least, length));
}
