import * as admission from "../../src/index.js";
import type * as fleets from "./fleet.js";

/** What the callers of one workspace ask for. */
export interface Load {
    readonly workspace: string;
    /** Charged tokens per second over all hosts. */
    readonly tokensPerSecond: number;
    readonly meanTokens: number;
    readonly maxTokens: number;
    readonly patienceMs: number;
    /** The probability that a caller disconnects before its deadline. */
    readonly cancelProbability: number;
}

/** Shape of the Pareto distribution of sizes. Smaller values give heavier tails. */
const PARETO_SHAPE = 1.5;

/** Sends requests with heavy-tailed sizes to random hosts until the given time. */
export function sendRequests(fleet: fleets.Fleet, load: Load, untilMs: number): void {
    const { scheduler, random } = fleet;
    const meanIntervalMs = load.meanTokens / load.tokensPerSecond * 1_000;
    let count = 0;
    const next = () => {
        if (scheduler.now > untilMs) {
            return;
        }
        const candidates = fleet.aliveHosts().filter((host) => !host.paused);
        const host = random.pick(candidates.length > 0 ? candidates : [...fleet.hosts.values()]);
        const requestId = `${load.workspace}-${count++}`;
        fleet.request(host, requestId, load.workspace, drawSize(fleet, load), load.patienceMs);
        if (random.chance(load.cancelProbability)) {
            scheduler.after(
                random.fraction() * load.patienceMs,
                () => host.run(() => host.feed({ kind: admission.EventKind.Cancel, requestId })),
            );
        }
        scheduler.after(random.exponential(meanIntervalMs), next);
    };
    scheduler.after(random.exponential(meanIntervalMs), next);
}

/** Draws a size from a bounded Pareto distribution with the given mean, in tokens. */
export function drawSize(
    fleet: Pick<fleets.Fleet, "random">,
    load: Pick<Load, "meanTokens" | "maxTokens">,
): number {
    const size = minimumSize(load.meanTokens, load.maxTokens) / (1 - fleet.random.fraction()) ** (1 / PARETO_SHAPE);
    return Math.min(size, load.maxTokens);
}

const minSizes = new Map<string, number>();

/** Finds the minimum size for which the bounded distribution has the given mean. */
function minimumSize(mean: number, largest: number): number {
    const key = `${mean}/${largest}`;
    let low = 0;
    let high = minSizes.get(key) ?? mean;
    if (minSizes.has(key)) {
        return high;
    }
    for (let step = 0; step < 60; step++) {
        const middle = (low + high) / 2;
        const boundedMean = (PARETO_SHAPE * middle - middle ** PARETO_SHAPE * largest ** (1 - PARETO_SHAPE))
            / (PARETO_SHAPE - 1);
        [low, high] = boundedMean < mean ? [middle, high] : [low, middle];
    }
    minSizes.set(key, high);
    return high;
}
