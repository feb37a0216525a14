import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import type * as engineModels from "./engines.js";
import type * as scenarios from "./scenario.js";

/** A request that arrives in a run. */
export interface WorkloadRequest {
    readonly id: string;
    readonly workspace: string;
    readonly arrivesAt: decision.Milliseconds;
    readonly promptTokens: number;
    /** Actual length of the answer, and the upper bound that the caller states. */
    readonly outputTokens: number;
    readonly maxOutputTokens: number;
    readonly prefixHashes: readonly string[];
    /** Length of the prompt's prefix that other requests of the workspace share. */
    readonly sharedTokens: number;
    /** When the caller cancels the request; Infinity for never. */
    readonly cancelsAt: decision.Milliseconds;
    /** Whether the workspace is within its usual rate when the request arrives. */
    readonly withinRate: boolean;
}

/** Requests of a run. */
export interface Workload {
    readonly requests: readonly WorkloadRequest[];
    /** Requests per second that the pool can serve with this mix. */
    readonly capacity: number;
}

const PROMPT_TOKENS_MEDIAN = 800;
const PROMPT_TOKENS_SIGMA = 1.3;
const PROMPT_TOKENS_MIN = 30;
const PROMPT_TOKENS_MAX = 20_000;
const OUTPUT_TOKENS_MEDIAN = 160;
const OUTPUT_TOKENS_SIGMA = 0.7;
const OUTPUT_TOKENS_MIN = 4;
const OUTPUT_TOKENS_MAX = 800;
const TEMPLATES_PER_WORKSPACE = 4;
const TEMPLATE_BLOCKS = [2, 4, 8, 16];
const MAX_PREFIX_HASHES = 64;
const WARM_UP_DRAWS = 32;

/** Creates a random generator. The first numbers are discarded because they are not well mixed. */
export function makeRandom(seed: number): decision.Random {
    const random = decision.seeded(seed * 7_919 + 17);
    for (let draw = 0; draw < WARM_UP_DRAWS; draw++) {
        random.fraction();
    }
    return random;
}

function logNormal(random: decision.Random, median: number, sigma: number, min: number, max: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
    return Math.round(Math.min(max, Math.max(min, median * Math.exp(sigma * normal))));
}

interface RequestDraft {
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly maxOutputTokens: number;
    readonly prefixHashes: readonly string[];
    readonly sharedTokens: number;
}

function drawRequest(
    random: decision.Random,
    scenario: scenarios.Scenario,
    speeds: engineModels.EngineSpeeds,
    workspace: string,
    id: string,
): RequestDraft {
    const promptTokens = logNormal(
        random,
        PROMPT_TOKENS_MEDIAN,
        PROMPT_TOKENS_SIGMA,
        PROMPT_TOKENS_MIN,
        PROMPT_TOKENS_MAX,
    );
    const outputTokens = logNormal(
        random,
        OUTPUT_TOKENS_MEDIAN,
        OUTPUT_TOKENS_SIGMA,
        OUTPUT_TOKENS_MIN,
        OUTPUT_TOKENS_MAX,
    );
    const boundIsExact = random.chance(0.5);
    const maxOutputTokens = boundIsExact
        ? outputTokens
        : Math.min(OUTPUT_TOKENS_MAX, Math.ceil(outputTokens * (1 + 2 * random.fraction())));
    const template = random.integer(0, TEMPLATES_PER_WORKSPACE - 1);
    const blocks = Math.floor(promptTokens / speeds.blockTokens);
    const sharesPrefix = random.chance(scenario.sharedPrefixRatio);
    const sharedBlocks = sharesPrefix ? Math.min(blocks, TEMPLATE_BLOCKS[template] ?? 0) : 0;
    const prefixHashes = Array.from(
        { length: Math.min(MAX_PREFIX_HASHES, blocks) },
        (_, block) => block < sharedBlocks ? `${workspace}/${template}/${block}` : `${id}/${block}`,
    );
    return {
        promptTokens,
        outputTokens,
        maxOutputTokens,
        prefixHashes,
        sharedTokens: sharedBlocks * speeds.blockTokens,
    };
}

/** Time that a request occupies a prefill engine, a decode slot and a link. */
export interface RequestWork {
    readonly prefillMs: decision.Milliseconds;
    readonly decodeSlotMs: decision.Milliseconds;
    readonly transferMs: decision.Milliseconds;
}

/** Returns the work of a request if its shared prefix is cached and decode batches are full. */
export function minimumWork(
    request: Pick<WorkloadRequest, "promptTokens" | "sharedTokens" | "outputTokens">,
    speeds: engineModels.EngineSpeeds,
): RequestWork {
    const fullStepMs = speeds.stepMs + speeds.stepMsPerStream * speeds.slots;
    return {
        prefillMs: (request.promptTokens - request.sharedTokens) / speeds.prefillTokensPerSecond * 1_000,
        decodeSlotMs: request.outputTokens * fullStepMs,
        transferMs: request.promptTokens * speeds.cacheBytesPerToken / speeds.linkBytesPerSecond * 1_000,
    };
}

const SAMPLE_SIZE = 20_000;
const SAMPLE_SEED = 1;

/**
 * Returns the requests per second that a pool can serve with a scenario's mix, limited by prefill, decode or links. The
 * mean work of a request is taken from a large sample.
 */
export function poolCapacity(
    scenario: scenarios.Scenario,
    speeds: engineModels.EngineSpeeds,
    prefillEngines: number,
    decodeEngines: number,
): number {
    const random = makeRandom(SAMPLE_SEED);
    const sums = { prefillMs: 0, decodeSlotMs: 0, transferMs: 0 };
    for (let index = 0; index < SAMPLE_SIZE; index++) {
        const work = minimumWork(drawRequest(random, scenario, speeds, "sample", String(index)), speeds);
        sums.prefillMs += work.prefillMs / SAMPLE_SIZE;
        sums.decodeSlotMs += work.decodeSlotMs / SAMPLE_SIZE;
        sums.transferMs += work.transferMs / SAMPLE_SIZE;
    }
    return 1_000 * Math.min(
        prefillEngines / sums.prefillMs,
        decodeEngines * speeds.slots / sums.decodeSlotMs,
        prefillEngines / sums.transferMs,
    );
}

/** Generates the requests of a run. */
export function drawWorkload(
    seed: number,
    scenario: scenarios.Scenario,
    terms: Readonly<Record<string, configuration.WorkspaceLimits>>,
    speeds: engineModels.EngineSpeeds,
    capacity: number,
): Workload {
    const total = Object.values(terms).reduce((sum, one) => sum + one.tokensPerSecond, 0);
    const requests = Object.entries(terms).flatMap(([workspace, one], index) => {
        const random = makeRandom(seed * 101 + index);
        const usualRate = scenario.load * capacity * one.tokensPerSecond / total;
        return drawArrivals(random, scenario, speeds, workspace, usualRate);
    });
    return { requests: requests.sort((left, right) => left.arrivesAt - right.arrivesAt), capacity };
}

const BURST_SECONDS = 4;
const RATE_MARGIN = 1.25;
const LONGEST_CANCEL_MS = 8_000;

function drawArrivals(
    random: decision.Random,
    scenario: scenarios.Scenario,
    speeds: engineModels.EngineSpeeds,
    workspace: string,
    usualRate: number,
): WorkloadRequest[] {
    const requests: WorkloadRequest[] = [];
    const rate = usualRate * (scenario.floodingWorkspace === workspace ? scenario.floodFactor : 1);
    const allowed = usualRate * RATE_MARGIN;
    let bucketLevel = allowed * BURST_SECONDS;
    let bucketUpdatedAt = 0;
    for (let at = random.exponential(1_000 / rate); at < scenario.durationMs; at += random.exponential(1_000 / rate)) {
        bucketLevel = Math.min(allowed * BURST_SECONDS, bucketLevel + (at - bucketUpdatedAt) / 1_000 * allowed);
        bucketUpdatedAt = at;
        const withinRate = scenario.floodingWorkspace !== workspace || bucketLevel >= 1;
        bucketLevel -= withinRate ? 1 : 0;
        const id = `${workspace}-${requests.length}`;
        const draft = drawRequest(random, scenario, speeds, workspace, id);
        const cancels = random.chance(scenario.cancelRatio);
        const arrivesAt = at < scenario.outageUntilMs && at >= scenario.outageFromMs ? scenario.outageUntilMs : at;
        const cancelsAt = cancels ? arrivesAt + random.fraction() * LONGEST_CANCEL_MS : Infinity;
        requests.push({ id, workspace, arrivesAt, withinRate, cancelsAt, ...draft });
    }
    return requests;
}
