import * as configuration from "@citronlead/configuration";
import type * as decision from "@citronlead/decision";
import type * as scheduling from "@citronlead/scheduling";
import * as bounds from "./bound.js";
import * as clocks from "./clock.js";
import * as engineModels from "./engines.js";
import * as fleets from "./fleet.js";
import * as journeys from "./journey.js";
import * as policies from "./policies.js";
import type * as scenarios from "./scenario.js";
import * as workloads from "./workload.js";

/** A pool of model engines as a deployment's configuration describes it. */
export interface Deployment {
    readonly fleet: string;
    readonly poolName: string;
    readonly pool: configuration.ModelPool;
    readonly profile: configuration.Profile;
    readonly prefillEngines: readonly string[];
    readonly decodeEngines: readonly string[];
    readonly networkMs: decision.Milliseconds;
    readonly speeds: engineModels.EngineSpeeds;
}

/** Prefill engines among the 13 of a pool; the rest decode. */
export const PREFILL_ENGINES = 3;
const DECODE_ENGINES = 10;

/** Reads the model pool of a fleet's configuration. */
export function makeDeployment(fleet: configuration.Fleet): Deployment {
    const [model] = Object.values(fleet.models);
    const pool = fleet.pools[model?.pool ?? ""];
    const profile = fleet.profiles[model?.profile ?? ""];
    if (!model || pool?.kind !== configuration.PoolKind.Model || !profile) {
        throw new Error(`${fleet.fleet} has no pool of model engines`);
    }
    const names = (role: string, count: number) =>
        Array.from({ length: count }, (_, index) => `${model.pool}-${role}-${index + 1}`);
    return {
        fleet: fleet.fleet,
        poolName: model.pool,
        pool,
        profile,
        prefillEngines: names("prefill", PREFILL_ENGINES),
        decodeEngines: names("decode", DECODE_ENGINES),
        networkMs: 2 * (fleet.callerDelay + fleet.zoneDelay),
        speeds: {
            ...engineModels.MODEL_SPEEDS,
            slots: pool.decodeSlots,
            memoryTokens: pool.memoryPieces * pool.pieceTokens,
            cacheBytesPerToken: pool.cacheBytesPerToken,
            linkBytesPerSecond: pool.linkBytesPerSecond,
            survivalMs: pool.prefillSurvival,
        },
    };
}

/** The settings with which the scheduler serves a deployment. */
export function schedulerSettings(deployment: Deployment): scheduling.Settings {
    const { pool, profile, speeds } = deployment;
    return {
        pool: deployment.poolName,
        pieceTokens: pool.pieceTokens,
        prefillSurvivalMs: pool.prefillSurvival,
        cacheBytesPerToken: pool.cacheBytesPerToken,
        linkBytesPerSecond: pool.linkBytesPerSecond,
        betweenTokensTargetMs: profile.betweenTokensTarget,
        reportLagMs: 1_500,
        prefixTokens: speeds.blockTokens,
        weights: Object.fromEntries(Object.entries(profile.workspaces).map(([name, one]) => [name, one.weight])),
        prefillTokensPerSecond: 10_000,
        tokenMs: 30,
    };
}

/** What one workspace got in a run, and what its fair share was. */
export interface WorkspaceFigures {
    readonly good: number;
    readonly share: number;
}

/** The figures of one run. */
export interface RunFigures {
    readonly offered: number;
    readonly good: number;
    readonly ideal: number;
    readonly prefillMs: decision.Milliseconds;
    readonly wastedMs: decision.Milliseconds;
    readonly withinRate: number;
    readonly refusedWithinRate: number;
    readonly workspaces: Readonly<Record<string, WorkspaceFigures>>;
    /** Processor time of each decision, in milliseconds; empty for the baselines. */
    readonly decisions: number;
    readonly decisionMs: decision.Milliseconds;
}

/** Engines report for so long after the last arrival. */
const REPORTED_AFTER_MS = 20_000;

/** Runs one policy through one scenario. */
export function runScenario(
    deployment: Deployment,
    scenario: scenarios.Scenario,
    policyName: policies.PolicyName,
    seed: number,
    stopwatch: decision.Clock = () => 0,
): RunFigures {
    const { speeds, profile, prefillEngines, decodeEngines } = deployment;
    const clock = new clocks.ModelClock();
    const random = workloads.makeRandom(seed);
    const capacity = workloads.poolCapacity(scenario, speeds, prefillEngines.length, decodeEngines.length);
    const workload = workloads.drawWorkload(seed, scenario, profile.workspaces, speeds, capacity);
    const timing = { decisions: 0, decisionMs: 0 };
    const decided = (elapsedMs: decision.Milliseconds) => {
        timing.decisions++;
        timing.decisionMs += elapsedMs;
    };
    const policy = makePolicy(deployment, policyName, clock, random, decided, stopwatch);
    const fleet = fleets.makeFleet(clock, random, scenario, speeds, prefillEngines, decodeEngines, policy.cacheChange);
    const endMs = scenario.durationMs + profile.deadline + 1_000;
    const reportedUntilMs = scenario.durationMs + REPORTED_AFTER_MS;
    fleets.publishReports(clock, fleet, speeds, deployment.pool.pieceTokens, reportedUntilMs, policy.report);
    fleets.crashEngines(clock, fleet, scenario);
    const around: journeys.Surroundings = {
        clock,
        fleet,
        policy,
        speeds,
        firstTokenTargetMs: profile.firstTokenTarget - deployment.networkMs,
        deadlineMs: profile.deadline,
        priority: profile.priority,
    };
    const results: journeys.JourneyResult[] = [];
    for (const request of workload.requests) {
        const journey = new journeys.Journey(around, request, (result) => results.push(result));
        clock.at(request.arrivesAt, () => journey.start());
    }
    clock.runUntil(endMs);
    return { ...figures(deployment, scenario, workload, results), ...timing };
}

function makePolicy(
    deployment: Deployment,
    name: policies.PolicyName,
    clock: clocks.ModelClock,
    random: decision.Random,
    decided: (elapsedMs: decision.Milliseconds) => void,
    stopwatch: decision.Clock,
): policies.Policy {
    const { prefillEngines, decodeEngines } = deployment;
    switch (name) {
        case policies.PolicyName.Citronlead:
            return policies.citronleadPolicy(clock, schedulerSettings(deployment), decided, stopwatch);
        case policies.PolicyName.RoundRobin:
            return policies.roundRobinPolicy(clock, prefillEngines, decodeEngines);
        case policies.PolicyName.LeastLoad:
            return policies.leastLoadPolicy(clock, prefillEngines, decodeEngines, random);
    }
}

function figures(
    deployment: Deployment,
    scenario: scenarios.Scenario,
    workload: workloads.Workload,
    results: readonly journeys.JourneyResult[],
): Omit<RunFigures, "decisions" | "decisionMs"> {
    const { profile, speeds, prefillEngines, decodeEngines } = deployment;
    const target = profile.firstTokenTarget - deployment.networkMs;
    const size = bounds.sizeUnderFaults(scenario, prefillEngines.length, decodeEngines.length);
    const counted = results.filter((result) => result.request.arrivesAt >= scenario.countFromMs);
    const isGood = (result: journeys.JourneyResult) =>
        result.ending === journeys.Ending.Whole && result.firstTokenMs <= target
        && result.betweenTokensMs <= profile.betweenTokensTarget;
    const good = counted.filter(isGood);
    const ideal = bounds.idealRequests(workload.requests, speeds, size, target);
    const idealCount = counted.filter((result) => ideal.has(result.request.id)).length;
    const within = counted.filter((result) => result.request.withinRate && result.ending !== journeys.Ending.Cancelled);
    const sum = (pick: (result: journeys.JourneyResult) => number) =>
        counted.reduce((total, result) => total + pick(result), 0);
    return {
        offered: counted.length,
        good: good.length,
        ideal: idealCount,
        prefillMs: sum((result) => result.prefillMs),
        wastedMs: sum((result) => result.wastedMs),
        withinRate: within.length,
        refusedWithinRate: within.filter((result) => result.ending !== journeys.Ending.Whole).length,
        workspaces: workspaceFigures(deployment, counted, good, idealCount),
    };
}

function workspaceFigures(
    deployment: Deployment,
    counted: readonly journeys.JourneyResult[],
    good: readonly journeys.JourneyResult[],
    ideal: number,
): Record<string, WorkspaceFigures> {
    const { profile, speeds } = deployment;
    const target = profile.firstTokenTarget - deployment.networkMs;
    const feasible = (request: workloads.ModelRequest) => {
        const work = workloads.leastWork(request, speeds);
        const stays = request.cancelsAt >= request.arrivesAt + work.prefillMs + work.transferMs + work.decodeSlotMs;
        return stays && work.prefillMs + work.transferMs + speeds.stepMs <= target;
    };
    const count = (list: readonly journeys.JourneyResult[], workspace: string) =>
        list.filter((result) => result.request.workspace === workspace).length;
    const wanted = counted.filter((result) => feasible(result.request));
    const names = Object.keys(profile.workspaces);
    const demands = new Map(names.map((name) => [name, count(wanted, name)]));
    const shares = bounds.fairShares(ideal, demands, (name) => profile.workspaces[name]?.weight ?? 1);
    return Object.fromEntries(names.map((name) => [name, { good: count(good, name), share: shares.get(name) ?? 0 }]));
}
