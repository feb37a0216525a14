import * as configuration from "@citronlead/configuration";
import type * as decision from "@citronlead/decision";
import type * as scheduling from "@citronlead/scheduling";
import * as bounds from "./bound.js";
import * as clocks from "./clock.js";
import * as engineModels from "./engines.js";
import * as fleets from "./fleet.js";
import * as policies from "./policies.js";
import type * as scenarios from "./scenario.js";
import * as simulations from "./simulation.js";
import * as workloads from "./workload.js";

/** Pool of model engines, derived from a fleet's configuration. */
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

/** Number of prefill engines among the 13 engines of a pool; the rest are decode engines. */
export const PREFILL_ENGINES = 3;
const DECODE_ENGINES = 10;

/** Derives the deployment from a fleet's configuration. Throws if its first model has no pool of model engines. */
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
            ...engineModels.DEFAULT_ENGINE_SPEEDS,
            slots: pool.decodeSlots,
            memoryTokens: pool.memoryPieces * pool.pieceTokens,
            cacheBytesPerToken: pool.cacheBytesPerToken,
            linkBytesPerSecond: pool.linkBytesPerSecond,
            survivalMs: pool.prefillSurvival,
        },
    };
}

/** Returns the scheduler's settings for a deployment. */
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

/** Goodput of a workspace in a run and its fair share, in requests. */
export interface WorkspaceFigures {
    readonly good: number;
    readonly share: number;
}

/** Results of a run; requests are counted from the scenario's `countFromMs` on. */
export interface RunFigures {
    readonly offered: number;
    readonly good: number;
    readonly ideal: number;
    readonly prefillMs: decision.Milliseconds;
    readonly wastedMs: decision.Milliseconds;
    readonly withinRate: number;
    readonly refusedWithinRate: number;
    readonly workspaces: Readonly<Record<string, WorkspaceFigures>>;
    /** Number of scheduling decisions and their total processor time; zero for the baselines. */
    readonly decisions: number;
    readonly decisionMs: decision.Milliseconds;
}

/** How long engines continue to publish load reports after the last arrival. */
const REPORTS_AFTER_LAST_ARRIVAL_MS = 20_000;

/** Runs a policy in a scenario. The stopwatch times the decisions; by default it stands still. */
export function runScenario(
    deployment: Deployment,
    scenario: scenarios.Scenario,
    policyName: policies.PolicyName,
    seed: number,
    stopwatch: decision.Clock = () => 0,
): RunFigures {
    const { speeds, profile, prefillEngines, decodeEngines } = deployment;
    const clock = new clocks.SimulationClock();
    const random = workloads.makeRandom(seed);
    const capacity = workloads.poolCapacity(scenario, speeds, prefillEngines.length, decodeEngines.length);
    const workload = workloads.drawWorkload(seed, scenario, profile.workspaces, speeds, capacity);
    const timing = { decisions: 0, decisionMs: 0 };
    const onDecision = (elapsedMs: decision.Milliseconds) => {
        timing.decisions++;
        timing.decisionMs += elapsedMs;
    };
    const policy = makePolicy(deployment, policyName, clock, random, onDecision, stopwatch);
    const fleet = fleets.makeFleet(clock, random, scenario, speeds, prefillEngines, decodeEngines, policy.cacheChange);
    const endMs = scenario.durationMs + profile.deadline + 1_000;
    const reportedUntilMs = scenario.durationMs + REPORTS_AFTER_LAST_ARRIVAL_MS;
    fleets.publishReports(clock, fleet, speeds, deployment.pool.pieceTokens, reportedUntilMs, policy.report);
    fleets.crashEngines(clock, fleet, scenario);
    const context: simulations.SimulationContext = {
        clock,
        fleet,
        policy,
        speeds,
        firstTokenTargetMs: profile.firstTokenTarget - deployment.networkMs,
        deadlineMs: profile.deadline,
        priority: profile.priority,
    };
    const results: simulations.RequestResult[] = [];
    for (const request of workload.requests) {
        const simulation = new simulations.RequestSimulation(context, request, (result) => results.push(result));
        clock.runAt(request.arrivesAt, () => simulation.start());
    }
    clock.runUntil(endMs);
    return { ...summarizeResults(deployment, scenario, workload, results), ...timing };
}

function makePolicy(
    deployment: Deployment,
    name: policies.PolicyName,
    clock: clocks.SimulationClock,
    random: decision.Random,
    onDecision: (elapsedMs: decision.Milliseconds) => void,
    stopwatch: decision.Clock,
): policies.Policy {
    const { prefillEngines, decodeEngines } = deployment;
    switch (name) {
        case policies.PolicyName.Citronlead:
            return policies.citronleadPolicy(clock, schedulerSettings(deployment), onDecision, stopwatch);
        case policies.PolicyName.RoundRobin:
            return policies.roundRobinPolicy(clock, prefillEngines, decodeEngines);
        case policies.PolicyName.LeastLoad:
            return policies.leastLoadPolicy(clock, prefillEngines, decodeEngines, random);
    }
}

function summarizeResults(
    deployment: Deployment,
    scenario: scenarios.Scenario,
    workload: workloads.Workload,
    results: readonly simulations.RequestResult[],
): Omit<RunFigures, "decisions" | "decisionMs"> {
    const { profile, speeds, prefillEngines, decodeEngines } = deployment;
    const target = profile.firstTokenTarget - deployment.networkMs;
    const size = bounds.sizeUnderFaults(scenario, prefillEngines.length, decodeEngines.length);
    const counted = results.filter((result) => result.request.arrivesAt >= scenario.countFromMs);
    const isGood = (result: simulations.RequestResult) =>
        result.outcome === simulations.RequestOutcome.Completed && result.firstTokenMs <= target
        && result.betweenTokensMs <= profile.betweenTokensTarget;
    const good = counted.filter(isGood);
    const ideal = bounds.idealRequests(workload.requests, speeds, size, target);
    const idealCount = counted.filter((result) => ideal.has(result.request.id)).length;
    const countedWithinRate = counted.filter((result) =>
        result.request.withinRate && result.outcome !== simulations.RequestOutcome.Cancelled
    );
    const sum = (pick: (result: simulations.RequestResult) => number) =>
        counted.reduce((total, result) => total + pick(result), 0);
    return {
        offered: counted.length,
        good: good.length,
        ideal: idealCount,
        prefillMs: sum((result) => result.prefillMs),
        wastedMs: sum((result) => result.wastedMs),
        withinRate: countedWithinRate.length,
        refusedWithinRate:
            countedWithinRate.filter((result) => result.outcome !== simulations.RequestOutcome.Completed).length,
        workspaces: summarizeWorkspaces(deployment, counted, good, idealCount),
    };
}

function summarizeWorkspaces(
    deployment: Deployment,
    counted: readonly simulations.RequestResult[],
    good: readonly simulations.RequestResult[],
    ideal: number,
): Record<string, WorkspaceFigures> {
    const { profile, speeds } = deployment;
    const target = profile.firstTokenTarget - deployment.networkMs;
    const feasible = (request: workloads.WorkloadRequest) => {
        const work = workloads.minimumWork(request, speeds);
        const waitsLongEnough =
            request.cancelsAt >= request.arrivesAt + work.prefillMs + work.transferMs + work.decodeSlotMs;
        return waitsLongEnough && work.prefillMs + work.transferMs + speeds.stepMs <= target;
    };
    const count = (list: readonly simulations.RequestResult[], workspace: string) =>
        list.filter((result) => result.request.workspace === workspace).length;
    const feasibleResults = counted.filter((result) => feasible(result.request));
    const names = Object.keys(profile.workspaces);
    const demands = new Map(names.map((name) => [name, count(feasibleResults, name)]));
    const shares = bounds.fairShares(ideal, demands, (name) => profile.workspaces[name]?.weight ?? 1);
    return Object.fromEntries(names.map((name) => [name, { good: count(good, name), share: shares.get(name) ?? 0 }]));
}
