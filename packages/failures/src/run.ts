import * as decision from "@citronlead/decision";
import * as demo from "@citronlead/demo";
import * as lifecycle from "@citronlead/lifecycle";
import * as path from "node:path";
import * as callers from "./callers.js";
import * as checks from "./checks.js";
import * as faults from "./faults.js";
import * as fleets from "./fleet.js";

/** Options of a run. */
export interface RunOptions {
    readonly seed: number;
    readonly portBase: number;
    /** Duration of the faults and the load, in seconds. */
    readonly seconds: number;
    readonly requestsPerSecond: number;
    /** Mean time between two faults, in milliseconds. */
    readonly faultPeriodMs: number;
    readonly kinds: readonly faults.FaultKind[];
    readonly log: (line: string) => void;
}

/** Result of a run. */
export interface RunResult {
    /** Number of attempts, including repeated orders. */
    readonly tries: number;
    readonly answered: number;
    /** Number of attempts by kind and outcome: answered, the reason of a refusal, the HTTP status or broken. */
    readonly outcomes: Readonly<Record<string, number>>;
    readonly faults: number;
    readonly violations: readonly checks.Violation[];
}

const WORKSPACES = ["guild", "north-workshops", "school-of-arts", "sculptors-porto", "studio-gomes"];
const WITHDRAWN_WORKSPACE = "school-of-arts";
const RATE_LIMITED_WORKSPACE = "studio-gomes";
const RATE_LIMITED_TERMS = { tokensPerSecond: 3_000, burstTokens: 48_000 };
const CHARGED_TOKENS = { enquiry: 20, order: 50 };
const PROPAGATION_LIMIT_MS = 7_000;
const MEMORY_RELEASE_TIMEOUT_MS = 90_000;
const REVISION_POLL_PERIOD_MS = 250;

/** Runs a fleet under load and seeded faults and checks invariants. */
export async function runFailures(options: RunOptions): Promise<RunResult> {
    const scope = new lifecycle.Scope("failures");
    try {
        return await run(scope, options);
    }
    finally {
        await scope.close();
    }
}

async function run(scope: lifecycle.Scope, options: RunOptions): Promise<RunResult> {
    const random = decision.seeded(options.seed);
    const fleet = await demo.startFleet(scope, {
        ...demo.smallFleetOptions,
        portBase: options.portBase,
        routers: 4,
        prefillEngines: 2,
        decodeEngines: 3,
        services: 2,
        routerSettings: "stop: { noticePeriod: 500ms, drainPeriod: 60s }\n",
    });
    await fleet.runCitronlead("apply", path.join(demo.EXAMPLES_DIRECTORY, "pedra-macia.yaml"));
    const granted = await grantKeys(fleet);
    const underTest = fleets.makeFleetUnderTest(scope, fleet, granted[0]?.key ?? "");
    await demo.waitUntilServing(fleet, 1 + WORKSPACES.length);
    const loadScope = scope.child("load");
    const observed: checks.ObservedRevision[] = [];
    pollRevisions(loadScope, underTest, observed);
    const sending = callers.startCallers(loadScope, underTest, granted, random, options.requestsPerSecond);
    const endsAt = lifecycle.monotonicClock() + options.seconds * decision.SECOND_MS;
    const [faultCount, withdrawnAt] = await Promise.all([
        injectFaults(underTest, options, random, endsAt),
        withdrawKeyHalfway(underTest, options.seconds),
    ]);
    await lifecycle.pause(loadScope, endsAt - lifecycle.monotonicClock());
    await loadScope.close();
    await sending.settle();
    const violations = [
        ...await checkInvariants(underTest, sending.attempts, observed, granted, withdrawnAt),
        ...await checks.checkMemory(underTest.engines, MEMORY_RELEASE_TIMEOUT_MS),
    ];
    const answered = sending.attempts.filter((one) => one.answer !== undefined).length;
    return {
        tries: sending.attempts.length,
        answered,
        outcomes: countOutcomes(sending.attempts),
        faults: faultCount,
        violations,
    };
}

async function checkInvariants(
    underTest: fleets.FleetUnderTest,
    attempts: readonly callers.Attempt[],
    observed: readonly checks.ObservedRevision[],
    granted: readonly callers.Caller[],
    withdrawnAt: number,
): Promise<checks.Violation[]> {
    const runs = await checks.readServiceCalls(underTest.fleet);
    const keys = granted.map((caller) => caller.key);
    return [
        ...checks.checkOrders(attempts, runs),
        ...checks.checkStreams(attempts),
        ...checks.checkBrokenConnections(attempts, underTest.routers),
        ...checks.checkKeys(runs, keys),
        ...checks.checkWithdrawal(attempts, WITHDRAWN_WORKSPACE, withdrawnAt, PROPAGATION_LIMIT_MS),
        ...checks.checkRate(attempts, RATE_LIMITED_WORKSPACE, RATE_LIMITED_TERMS, CHARGED_TOKENS),
        ...checks.checkRevisions(observed),
        ...checks.checkPropagation(observed, underTest, PROPAGATION_LIMIT_MS),
        ...checks.checkCrashingPrompts(underTest.crashingPrompts),
    ];
}

async function grantKeys(fleet: demo.RunningFleet): Promise<callers.Caller[]> {
    const granted: callers.Caller[] = [];
    for (const workspace of WORKSPACES) {
        const result = await fleet.runCitronlead("keys", "grant", workspace, workspace, "--json");
        granted.push({ workspace, key: (JSON.parse(result.output) as { key: string; }).key });
    }
    return granted;
}

/** Withdraws a key halfway through the run, retrying until it is accepted. Returns the time of acceptance. */
async function withdrawKeyHalfway(underTest: fleets.FleetUnderTest, seconds: number): Promise<number> {
    await lifecycle.pause(underTest.scope, seconds * decision.SECOND_MS / 2);
    for (;;) {
        const result = await underTest.fleet.runCitronlead("keys", "withdraw", WITHDRAWN_WORKSPACE, "--json");
        const at = lifecycle.monotonicClock();
        if (result.code === 0) {
            const { revision } = JSON.parse(result.output) as { revision: number; };
            underTest.acceptedRevisions.push({ revision, at });
            return at;
        }
        const list = await underTest.fleet.runCitronlead("keys", "list", "--json");
        if (list.code === 0 && !list.output.includes(WITHDRAWN_WORKSPACE)) {
            return lifecycle.monotonicClock();
        }
        await lifecycle.pause(underTest.scope, decision.SECOND_MS);
    }
}

async function injectFaults(
    underTest: fleets.FleetUnderTest,
    options: RunOptions,
    random: decision.Random,
    endsAt: number,
): Promise<number> {
    const injections: Promise<void>[] = [];
    while (lifecycle.monotonicClock() < endsAt) {
        await lifecycle.pause(underTest.scope, random.exponential(options.faultPeriodMs));
        const kind = random.pick(options.kinds);
        options.log(`${Math.round(lifecycle.monotonicClock())} ${kind}`);
        injections.push(
            faults.injections[kind](underTest, random).then((detail) => options.log(`${kind} over: ${detail}`)),
        );
    }
    await Promise.all(injections);
    return injections.length;
}

function pollRevisions(
    scope: lifecycle.Scope,
    underTest: fleets.FleetUnderTest,
    observed: checks.ObservedRevision[],
): void {
    for (const { router } of underTest.routers) {
        lifecycle.every(scope, REVISION_POLL_PERIOD_MS, () => void readRevision(router, observed));
    }
}

async function readRevision(router: demo.FleetRouter, observed: checks.ObservedRevision[]): Promise<void> {
    try {
        const at = lifecycle.monotonicClock();
        const answer = await fetch(`${router.controlAddress}/status`, {
            signal: AbortSignal.timeout(decision.SECOND_MS),
        });
        const status = await answer.json() as { ready: boolean; revision: number; incarnation: string; };
        if (status.ready) {
            observed.push({ host: router.host, incarnation: status.incarnation, revision: status.revision, at });
        }
    }
    catch {
        // A router that is down or frozen does not report its revision.
    }
}

function countOutcomes(attempts: readonly callers.Attempt[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const one of attempts) {
        const outcome = one.answer !== undefined ? "answered" : one.reason ?? String(one.status ?? "broken");
        const name = `${one.kind} ${outcome}`;
        counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
}
