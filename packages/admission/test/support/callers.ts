import * as admission from "../../src/index.js";
import type * as fleets from "./fleet.js";

/** What the callers of one workspace ask for. */
export interface Load {
    readonly workspace: string;
    /** Charged tokens a second, over all hosts. */
    readonly tokensPerSecond: number;
    readonly meanTokens: number;
    readonly largestTokens: number;
    readonly patienceMs: number;
    /** The fraction of callers that leave before their deadline. */
    readonly leaving: number;
}

/** The shape of the distribution of sizes: smaller is heavier-tailed. */
const TAIL_SHAPE = 1.5;

/** Sends requests of heavy-tailed sizes at random hosts until the given time. */
export function sendRequests(fleet: fleets.Fleet, load: Load, untilMs: number): void {
    const { agenda, random } = fleet;
    const meanPauseMs = load.meanTokens / load.tokensPerSecond * 1_000;
    let count = 0;
    const next = () => {
        if (agenda.now > untilMs) {
            return;
        }
        const candidates = fleet.aliveHosts().filter((host) => !host.paused);
        const host = random.pick(candidates.length > 0 ? candidates : [...fleet.hosts.values()]);
        const requestId = `${load.workspace}-${count++}`;
        fleet.request(host, requestId, load.workspace, drawSize(fleet, load), load.patienceMs);
        if (random.chance(load.leaving)) {
            agenda.after(
                random.fraction() * load.patienceMs,
                () => host.run(() => host.feed({ kind: admission.EventKind.Leave, requestId })),
            );
        }
        agenda.after(random.exponential(meanPauseMs), next);
    };
    agenda.after(random.exponential(meanPauseMs), next);
}

/** Draws a size from a bounded Pareto distribution with the given mean, in tokens. */
export function drawSize(
    fleet: Pick<fleets.Fleet, "random">,
    load: Pick<Load, "meanTokens" | "largestTokens">,
): number {
    const size = smallestSize(load.meanTokens, load.largestTokens) / (1 - fleet.random.fraction()) ** (1 / TAIL_SHAPE);
    return Math.min(size, load.largestTokens);
}

const sizes = new Map<string, number>();

/** Finds the smallest size with which the bounded distribution has the mean. */
function smallestSize(mean: number, largest: number): number {
    const key = `${mean}/${largest}`;
    let low = 0;
    let high = sizes.get(key) ?? mean;
    if (sizes.has(key)) {
        return high;
    }
    for (let step = 0; step < 60; step++) {
        const middle = (low + high) / 2;
        const boundedMean = (TAIL_SHAPE * middle - middle ** TAIL_SHAPE * largest ** (1 - TAIL_SHAPE))
            / (TAIL_SHAPE - 1);
        [low, high] = boundedMean < mean ? [middle, high] : [low, middle];
    }
    sizes.set(key, high);
    return high;
}
