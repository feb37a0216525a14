import * as decision from "@citronlead/decision";
import * as baselines from "./baselines.js";
import * as callers from "./callers.js";
import * as faults from "./faults.js";
import * as fleets from "./fleet.js";

/** A failure scenario to compare rate limiting schemes in. */
export interface Scenario {
    readonly name: string;
    readonly failure: Failure;
    /** How long the key-value service is down, starting just before the failure. */
    readonly outageMs: number;
    /** How long requests are counted, starting at the failure. */
    readonly countedMs: number;
    readonly seeds: readonly number[];
}

/** What fails in a scenario. */
export enum Failure {
    Nothing = "nothing",
    /** One host that owns a slice or, with a single owner, the owner. */
    Host = "host",
    /** The availability zone of that host. */
    Zone = "zone",
}

/** The rate limiting schemes that are compared. */
export enum Scheme {
    /** One token bucket that never fails, the best that the deadlines allow. */
    NeverFailing = "one bucket that never fails",
    Slices = "three slices",
    SingleOwner = "one owner",
    DividedRate = "rate divided by hosts",
}

/** The results of one scheme in one scenario, over all its seeds. Printed as JSON under these names. */
export interface Figures {
    readonly scenario: string;
    readonly rule: Scheme;
    readonly seeds: readonly number[];
    readonly requests: number;
    /** As a fraction of the requests. */
    readonly refused: number;
    /** As a fraction of the requests. */
    readonly delayedOverOneSecond: number;
    /** Messages between hosts per request. Only set for the slices. */
    readonly messagesPerRequest?: number;
}

const HOST_COUNT = 9;
const ZONE_COUNT = 3;
const WORKSPACE = "atelier";
const RATE_LIMIT = { tokensPerSecond: 3_000, burstTokens: 6_000 };
const LOAD = { meanTokens: 150, maxTokens: 3_000 };
const RATE_UTILIZATION = 0.85;
const PATIENCE_MS = 2_000;
const WARM_UP_MS = 30_000;
const DELAY_LIMIT_MS = 1_000;
/** The longest time until the rights of a dead host have expired and its partitions are taken over. */
const MAX_TAKEOVER_MS = 3_200;
const COUNTED_AFTER_OUTAGE_MS = 30_000;

/** The scenarios of the published table. */
export const scenarios: readonly Scenario[] = [
    { name: "nothing fails", failure: Failure.Nothing, outageMs: 0, countedMs: 600_000, seeds: [1, 2, 3, 4, 5] },
    { name: "one host dies", failure: Failure.Host, outageMs: 0, countedMs: 60_000, seeds: range(20) },
    { name: "one availability zone goes", failure: Failure.Zone, outageMs: 0, countedMs: 60_000, seeds: range(20) },
    ...[60, 600, 3_600].map((seconds) => ({
        name: `key-value service away ${seconds} s, nothing dies`,
        failure: Failure.Nothing,
        outageMs: seconds * 1_000,
        countedMs: seconds * 1_000 + COUNTED_AFTER_OUTAGE_MS,
        seeds: range(seconds > 600 ? 2 : 5),
    })),
    ...[60, 600, 3_600].map((seconds) => ({
        name: `key-value service away ${seconds} s, one host dies`,
        failure: Failure.Host,
        outageMs: seconds * 1_000,
        countedMs: seconds * 1_000 + COUNTED_AFTER_OUTAGE_MS,
        seeds: range(seconds > 600 ? 2 : 5),
    })),
];

function range(count: number): readonly number[] {
    return Array.from({ length: count }, (_, index) => index + 1);
}

/** Runs every scheme with the same requests and faults. */
export function compare(scenario: Scenario): readonly Figures[] {
    const runs = scenario.seeds.map((seed) => runSeed(scenario, seed));
    return Object.values(Scheme).map((rule) => {
        const outcomes = runs.flatMap((run) => run.outcomes[rule]);
        const messages = runs.reduce((sum, run) => sum + run.messages, 0);
        const granted = outcomes.filter((outcome) => outcome.granted);
        return {
            scenario: scenario.name,
            rule,
            seeds: scenario.seeds,
            requests: outcomes.length,
            refused: 1 - granted.length / outcomes.length,
            delayedOverOneSecond: granted.filter((outcome) => outcome.delayMs > DELAY_LIMIT_MS).length
                / outcomes.length,
            ...(rule === Scheme.Slices ? { messagesPerRequest: messages / outcomes.length } : {}),
        };
    });
}

interface SeedRun {
    readonly outcomes: Readonly<Record<Scheme, readonly baselines.Outcome[]>>;
    readonly messages: number;
}

function runSeed(scenario: Scenario, seed: number): SeedRun {
    const arrivals = drawArrivals(seed, WARM_UP_MS + scenario.countedMs);
    const onlyCounted = (outcomes: readonly baselines.Outcome[]) =>
        outcomes.filter((_, index) => arrivals[index]!.at >= WARM_UP_MS);
    const restoredAt = WARM_UP_MS + Math.max(MAX_TAKEOVER_MS, scenario.outageMs);
    const ownerFails = scenario.failure !== Failure.Nothing;
    const ownerOutage = ownerFails ? { from: WARM_UP_MS, until: restoredAt } : undefined;
    const failedHosts = range(HOST_COUNT).map((host) => host - 1).filter((host) =>
        scenario.failure === Failure.Zone ? host % ZONE_COUNT === 0 : host === 0
    );
    const hostFailures = ownerFails ? { hosts: failedHosts, at: WARM_UP_MS, redistributedAt: restoredAt } : undefined;
    const slices = runSlices(scenario, seed, arrivals);
    return {
        messages: slices.messages,
        outcomes: {
            [Scheme.NeverFailing]: onlyCounted(baselines.simulateSingleOwner(RATE_LIMIT, arrivals)),
            [Scheme.Slices]: onlyCounted(slices.outcomes),
            [Scheme.SingleOwner]: onlyCounted(baselines.simulateSingleOwner(RATE_LIMIT, arrivals, ownerOutage)),
            [Scheme.DividedRate]: onlyCounted(
                baselines.simulateDividedRate(RATE_LIMIT, HOST_COUNT, arrivals, hostFailures),
            ),
        },
    };
}

function drawArrivals(seed: number, lengthMs: number): baselines.Arrival[] {
    const random = decision.seeded(seed + 1_000_000);
    const meanIntervalMs = LOAD.meanTokens / (RATE_LIMIT.tokensPerSecond * RATE_UTILIZATION) * 1_000;
    const arrivals: baselines.Arrival[] = [];
    for (let at = random.exponential(meanIntervalMs); at < lengthMs; at += random.exponential(meanIntervalMs)) {
        const tokens = callers.drawSize({ random }, LOAD);
        arrivals.push({ at, tokens, patienceMs: PATIENCE_MS, hostFraction: random.fraction() });
    }
    return arrivals;
}

function runSlices(
    scenario: Scenario,
    seed: number,
    arrivals: readonly baselines.Arrival[],
): { readonly outcomes: readonly baselines.Outcome[]; readonly messages: number; } {
    const fleet = new fleets.Fleet(seed, {
        hostCount: HOST_COUNT,
        zoneCount: ZONE_COUNT,
        workspaces: { [WORKSPACE]: RATE_LIMIT },
        lossProbability: 0,
        duplicateProbability: 0,
        lateProbability: 0,
        configurationDelayMs: 1,
    });
    const outcomes = new Map<string, baselines.Outcome>();
    fleet.onResult = (result) => {
        outcomes.set(result.requestId, result);
        fleet.settle(result.requestId, 1);
    };
    faults.injectFaults(fleet, {});
    fleet.scheduler.at(WARM_UP_MS, () => injectFailure(fleet, scenario));
    arrivals.forEach((arrival, index) =>
        fleet.scheduler.at(arrival.at, () => {
            const aliveHosts = fleet.aliveHosts();
            const host = aliveHosts[Math.floor(arrival.hostFraction * aliveHosts.length)]!;
            fleet.request(host, String(index), WORKSPACE, arrival.tokens, arrival.patienceMs);
        })
    );
    fleet.scheduler.runUntil(WARM_UP_MS + scenario.countedMs + 10_000);
    // Requests in flight at a host that died fail with it. They do not count as refused by the rate limit.
    const lostOutcome: baselines.Outcome = { granted: true, delayMs: 0 };
    return {
        outcomes: arrivals.map((_, index) => outcomes.get(String(index)) ?? lostOutcome),
        messages: fleet.messageCount,
    };
}

function injectFailure(fleet: fleets.Fleet, scenario: Scenario): void {
    if (scenario.outageMs > 0) {
        fleet.keyValueServiceUp = false;
        fleet.scheduler.after(scenario.outageMs, () => {
            fleet.keyValueServiceUp = true;
        });
    }
    const owner = fleet.ownerOf(fleet.firstPartition());
    const failingHosts = scenario.failure === Failure.Nothing
        ? []
        : fleet.aliveHosts().filter((host) =>
            host === owner
            || (scenario.failure === Failure.Zone && host.availabilityZone === owner?.availabilityZone)
        );
    failingHosts.forEach((host) => host.kill());
}
