import * as decision from "@citronlead/decision";
import * as callers from "./callers.js";
import * as faults from "./faults.js";
import * as fleets from "./fleet.js";
import * as plain from "./plainrules.js";

/** What goes wrong in a scenario. */
export interface Scenario {
    readonly name: string;
    readonly death: Death;
    /** How long the key-value service is away from just before the death on, in milliseconds. */
    readonly outageMs: number;
    /** How long requests are counted from the fault on, in milliseconds. */
    readonly countedMs: number;
    readonly seeds: readonly number[];
}

/** What dies in a scenario. */
export enum Death {
    Nothing = "nothing",
    /** One host that owns a slice, or the owner itself. */
    Host = "host",
    /** The availability zone of that host. */
    Zone = "zone",
}

/** The rules that are compared. */
export enum Rule {
    /** One bucket that never fails: what the deadlines allow. */
    Ideal = "one bucket that never fails",
    Slices = "three slices",
    OneOwner = "one owner",
    Divided = "rate divided by hosts",
}

/** What came of one rule in one scenario, over all its seeds. */
export interface Figures {
    readonly scenario: string;
    readonly rule: Rule;
    readonly seeds: readonly number[];
    readonly requests: number;
    readonly refused: number;
    readonly delayedOverOneSecond: number;
    /** Messages between hosts for each request; only for the slices. */
    readonly messagesPerRequest?: number;
}

const HOST_COUNT = 9;
const ZONE_COUNT = 3;
const WORKSPACE = "atelier";
const TERMS = { tokensPerSecond: 3_000, burstTokens: 6_000 };
const LOAD = { meanTokens: 150, largestTokens: 3_000 };
const LOAD_FRACTION = 0.85;
const PATIENCE_MS = 2_000;
const WARM_UP_MS = 30_000;
const DELAY_LIMIT_MS = 1_000;
/** How long it takes at most until the rights of a dead host have lapsed and are taken over, in milliseconds. */
const TAKE_OVER_MS = 3_200;
const AFTER_OUTAGE_MS = 30_000;

/** The scenarios of the table. */
export const scenarios: readonly Scenario[] = [
    { name: "nothing fails", death: Death.Nothing, outageMs: 0, countedMs: 600_000, seeds: [1, 2, 3, 4, 5] },
    { name: "one host dies", death: Death.Host, outageMs: 0, countedMs: 60_000, seeds: range(20) },
    { name: "one availability zone goes", death: Death.Zone, outageMs: 0, countedMs: 60_000, seeds: range(20) },
    ...[60, 600, 3_600].map((seconds) => ({
        name: `key-value service away ${seconds} s, nothing dies`,
        death: Death.Nothing,
        outageMs: seconds * 1_000,
        countedMs: seconds * 1_000 + AFTER_OUTAGE_MS,
        seeds: range(seconds > 600 ? 2 : 5),
    })),
    ...[60, 600, 3_600].map((seconds) => ({
        name: `key-value service away ${seconds} s, one host dies`,
        death: Death.Host,
        outageMs: seconds * 1_000,
        countedMs: seconds * 1_000 + AFTER_OUTAGE_MS,
        seeds: range(seconds > 600 ? 2 : 5),
    })),
];

function range(count: number): readonly number[] {
    return Array.from({ length: count }, (_, index) => index + 1);
}

/** Runs every rule on the same requests and faults. */
export function compare(scenario: Scenario): readonly Figures[] {
    const runs = scenario.seeds.map((seed) => runSeed(scenario, seed));
    return Object.values(Rule).map((rule) => {
        const served = runs.flatMap((run) => run.served[rule]);
        const messages = runs.reduce((sum, run) => sum + run.messages, 0);
        const granted = served.filter((one) => one.granted);
        return {
            scenario: scenario.name,
            rule,
            seeds: scenario.seeds,
            requests: served.length,
            refused: 1 - granted.length / served.length,
            delayedOverOneSecond: granted.filter((one) => one.delayMs > DELAY_LIMIT_MS).length / served.length,
            ...(rule === Rule.Slices ? { messagesPerRequest: messages / served.length } : {}),
        };
    });
}

interface SeedRun {
    readonly served: Readonly<Record<Rule, readonly plain.Served[]>>;
    readonly messages: number;
}

function runSeed(scenario: Scenario, seed: number): SeedRun {
    const arrivals = drawArrivals(seed, WARM_UP_MS + scenario.countedMs);
    const counted = (served: readonly plain.Served[]) => served.filter((_, index) => arrivals[index]!.at >= WARM_UP_MS);
    const back = WARM_UP_MS + Math.max(TAKE_OVER_MS, scenario.outageMs);
    const dies = scenario.death !== Death.Nothing;
    const absence = dies ? { from: WARM_UP_MS, until: back } : undefined;
    const dead = range(HOST_COUNT).map((host) => host - 1).filter((host) =>
        scenario.death === Death.Zone ? host % ZONE_COUNT === 0 : host === 0
    );
    const deaths = dies ? { hosts: dead, at: WARM_UP_MS, dividedAnewAt: back } : undefined;
    const slices = runSlices(scenario, seed, arrivals);
    return {
        messages: slices.messages,
        served: {
            [Rule.Ideal]: counted(plain.oneOwner(TERMS, arrivals)),
            [Rule.Slices]: counted(slices.served),
            [Rule.OneOwner]: counted(plain.oneOwner(TERMS, arrivals, absence)),
            [Rule.Divided]: counted(plain.dividedByHosts(TERMS, HOST_COUNT, arrivals, deaths)),
        },
    };
}

function drawArrivals(seed: number, lengthMs: number): plain.Arrival[] {
    const random = decision.seeded(seed + 1_000_000);
    const meanPauseMs = LOAD.meanTokens / (TERMS.tokensPerSecond * LOAD_FRACTION) * 1_000;
    const arrivals: plain.Arrival[] = [];
    for (let at = random.exponential(meanPauseMs); at < lengthMs; at += random.exponential(meanPauseMs)) {
        const tokens = callers.drawSize({ random }, LOAD);
        arrivals.push({ at, tokens, patienceMs: PATIENCE_MS, host: random.fraction() });
    }
    return arrivals;
}

function runSlices(
    scenario: Scenario,
    seed: number,
    arrivals: readonly plain.Arrival[],
): { readonly served: readonly plain.Served[]; readonly messages: number; } {
    const fleet = new fleets.Fleet(seed, {
        hostCount: HOST_COUNT,
        zoneCount: ZONE_COUNT,
        workspaces: { [WORKSPACE]: TERMS },
        lost: 0,
        repeated: 0,
        late: 0,
        configurationDelayMs: 1,
    });
    const served = new Map<string, plain.Served>();
    fleet.onResult = (result) => {
        served.set(result.requestId, result);
        fleet.settle(result.requestId, 1);
    };
    faults.injectFaults(fleet, {});
    fleet.agenda.at(WARM_UP_MS, () => inject(fleet, scenario));
    arrivals.forEach((arrival, index) =>
        fleet.agenda.at(arrival.at, () => {
            const living = fleet.aliveHosts();
            const host = living[Math.floor(arrival.host * living.length)]!;
            fleet.request(host, String(index), WORKSPACE, arrival.tokens, arrival.patienceMs);
        })
    );
    fleet.agenda.runUntil(WARM_UP_MS + scenario.countedMs + 10_000);
    // Requests that were under way at a host that died end with it and are not counted as refused by the rate.
    const lost: plain.Served = { granted: true, delayMs: 0 };
    return { served: arrivals.map((_, index) => served.get(String(index)) ?? lost), messages: fleet.messageCount };
}

function inject(fleet: fleets.Fleet, scenario: Scenario): void {
    if (scenario.outageMs > 0) {
        fleet.serviceUp = false;
        fleet.agenda.after(scenario.outageMs, () => {
            fleet.serviceUp = true;
        });
    }
    const owner = fleet.ownerOf(fleet.firstPartition());
    const dying = scenario.death === Death.Nothing
        ? []
        : fleet.aliveHosts().filter((host) =>
            host === owner
            || (scenario.death === Death.Zone && host.availabilityZone === owner?.availabilityZone)
        );
    dying.forEach((host) => host.kill());
}
