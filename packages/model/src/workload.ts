import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import type * as engineModels from "./engines.js";
import type * as scenarios from "./scenario.js";

/** A request of a caller. */
export interface ModelRequest {
    readonly id: string;
    readonly workspace: string;
    readonly arrivesAt: decision.Milliseconds;
    readonly promptTokens: number;
    /** What the answer will take, and the upper bound that the caller states. */
    readonly answerTokens: number;
    readonly boundTokens: number;
    readonly prefixHashes: readonly string[];
    /** Tokens that others of the workspace share. */
    readonly sharedTokens: number;
    /** When the caller goes away, or Infinity. */
    readonly cancelsAt: decision.Milliseconds;
    /** Whether the workspace is within its usual rate. */
    readonly withinRate: boolean;
}

/** The traffic of a deployment's callers. */
export interface Workload {
    readonly requests: readonly ModelRequest[];
    /** Requests a second that the pool can carry at this mix. */
    readonly capacity: number;
}

const PROMPT_MEDIAN = 800;
const PROMPT_SPREAD = 1.3;
const PROMPT_LEAST = 30;
const PROMPT_MOST = 20_000;
const ANSWER_MEDIAN = 160;
const ANSWER_SPREAD = 0.7;
const ANSWER_LEAST = 4;
const ANSWER_MOST = 800;
const TEMPLATES_PER_WORKSPACE = 4;
const TEMPLATE_BLOCKS = [2, 4, 8, 16];
const HASH_LIMIT = 64;
const WARM_UP_DRAWS = 32;

/** Makes a random source whose first numbers are well mixed. */
export function makeRandom(seed: number): decision.Random {
    const random = decision.seeded(seed * 7_919 + 17);
    for (let draw = 0; draw < WARM_UP_DRAWS; draw++) {
        random.fraction();
    }
    return random;
}

function logNormal(random: decision.Random, median: number, spread: number, least: number, most: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
    return Math.round(Math.min(most, Math.max(least, median * Math.exp(spread * normal))));
}

interface Draft {
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly boundTokens: number;
    readonly prefixHashes: readonly string[];
    readonly sharedTokens: number;
}

function drawRequest(
    random: decision.Random,
    scenario: scenarios.Scenario,
    speeds: engineModels.EngineSpeeds,
    workspace: string,
    id: string,
): Draft {
    const promptTokens = logNormal(random, PROMPT_MEDIAN, PROMPT_SPREAD, PROMPT_LEAST, PROMPT_MOST);
    const answerTokens = logNormal(random, ANSWER_MEDIAN, ANSWER_SPREAD, ANSWER_LEAST, ANSWER_MOST);
    const atBound = random.chance(0.5);
    const boundTokens = atBound
        ? answerTokens
        : Math.min(ANSWER_MOST, Math.ceil(answerTokens * (1 + 2 * random.fraction())));
    const template = random.integer(0, TEMPLATES_PER_WORKSPACE - 1);
    const blocks = Math.floor(promptTokens / speeds.blockTokens);
    const shares = random.chance(scenario.sharedPrefixes);
    const shared = shares ? Math.min(blocks, TEMPLATE_BLOCKS[template] ?? 0) : 0;
    const prefixHashes = Array.from(
        { length: Math.min(HASH_LIMIT, blocks) },
        (_, block) => block < shared ? `${workspace}/${template}/${block}` : `${id}/${block}`,
    );
    return { promptTokens, answerTokens, boundTokens, prefixHashes, sharedTokens: shared * speeds.blockTokens };
}

/** The means of the mix, from a large sample: what one request takes of prefill and decode engines. */
export interface MixMeans {
    readonly prefillMs: decision.Milliseconds;
    readonly decodeSlotMs: decision.Milliseconds;
    readonly transferMs: decision.Milliseconds;
}

/** The work of one request, every shared prefix taken to be cached. */
export function leastWork(
    request: Pick<ModelRequest, "promptTokens" | "sharedTokens" | "answerTokens">,
    speeds: engineModels.EngineSpeeds,
): MixMeans {
    const fullStepMs = speeds.stepMs + speeds.stepMsPerStream * speeds.slots;
    return {
        prefillMs: (request.promptTokens - request.sharedTokens) / speeds.prefillTokensPerSecond * 1_000,
        decodeSlotMs: request.answerTokens * fullStepMs,
        transferMs: request.promptTokens * speeds.cacheBytesPerToken / speeds.linkBytesPerSecond * 1_000,
    };
}

const SAMPLE_SIZE = 20_000;
const SAMPLE_SEED = 1;

/** Requests a second that a pool can carry at a scenario's mix: the least of prefill, decode and links. */
export function poolCapacity(
    scenario: scenarios.Scenario,
    speeds: engineModels.EngineSpeeds,
    prefillEngines: number,
    decodeEngines: number,
): number {
    const random = makeRandom(SAMPLE_SEED);
    const sums = { prefillMs: 0, decodeSlotMs: 0, transferMs: 0 };
    for (let index = 0; index < SAMPLE_SIZE; index++) {
        const work = leastWork(drawRequest(random, scenario, speeds, "sample", String(index)), speeds);
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

/** Draws the traffic of one run. */
export function drawWorkload(
    seed: number,
    scenario: scenarios.Scenario,
    terms: Readonly<Record<string, configuration.WorkspaceTerms>>,
    speeds: engineModels.EngineSpeeds,
    capacity: number,
): Workload {
    const total = Object.values(terms).reduce((sum, one) => sum + one.tokensPerSecond, 0);
    const requests = Object.entries(terms).flatMap(([workspace, one], index) => {
        const random = makeRandom(seed * 101 + index);
        const usual = scenario.load * capacity * one.tokensPerSecond / total;
        return drawArrivals(random, scenario, speeds, workspace, usual);
    });
    return { requests: requests.sort((left, right) => left.arrivesAt - right.arrivesAt), capacity };
}

const USUAL_BURST_SECONDS = 4;
const RATE_MARGIN = 1.25;
const LONGEST_CANCEL_MS = 8_000;

function drawArrivals(
    random: decision.Random,
    scenario: scenarios.Scenario,
    speeds: engineModels.EngineSpeeds,
    workspace: string,
    usualRate: number,
): ModelRequest[] {
    const requests: ModelRequest[] = [];
    const rate = usualRate * (scenario.flooding === workspace ? scenario.floodFactor : 1);
    const allowed = usualRate * RATE_MARGIN;
    let level = allowed * USUAL_BURST_SECONDS;
    let levelAt = 0;
    for (let at = random.exponential(1_000 / rate); at < scenario.durationMs; at += random.exponential(1_000 / rate)) {
        level = Math.min(allowed * USUAL_BURST_SECONDS, level + (at - levelAt) / 1_000 * allowed);
        levelAt = at;
        const withinRate = scenario.flooding !== workspace || level >= 1;
        level -= withinRate ? 1 : 0;
        const id = `${workspace}-${requests.length}`;
        const draft = drawRequest(random, scenario, speeds, workspace, id);
        const gives = random.chance(scenario.cancelShare);
        const arrivesAt = at < scenario.outageUntilMs && at >= scenario.outageFromMs ? scenario.outageUntilMs : at;
        const cancelsAt = gives ? arrivesAt + random.fraction() * LONGEST_CANCEL_MS : Infinity;
        requests.push({ id, workspace, arrivesAt, withinRate, cancelsAt, ...draft });
    }
    return requests;
}
