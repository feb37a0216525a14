import * as decision from "@citronlead/decision";
import * as demo from "@citronlead/demo";
import * as lifecycle from "@citronlead/lifecycle";
import * as path from "node:path";
import * as callers from "./callers.js";
import * as checks from "./checks.js";
import * as faults from "./faults.js";
import * as subjects from "./subjects.js";

/** What a run consists of. */
export interface RunOptions {
    readonly seed: number;
    readonly portBase: number;
    /** How long failures and load go on, in seconds. */
    readonly seconds: number;
    readonly requestsPerSecond: number;
    /** The mean time between two failures, in milliseconds. */
    readonly faultPeriodMs: number;
    readonly kinds: readonly faults.FaultKind[];
    readonly tell: (line: string) => void;
}

/** How a run ended. */
export interface RunResult {
    readonly tries: number;
    readonly answered: number;
    /** Tries by kind, reason or status. */
    readonly outcomes: Readonly<Record<string, number>>;
    readonly faults: number;
    readonly violations: readonly checks.Violation[];
}

const WORKSPACES = ["guild", "north-workshops", "school-of-arts", "sculptors-porto", "studio-gomes"];
const WITHDRAWN = "school-of-arts";
const SMALLEST = "studio-gomes";
const SMALLEST_TERMS = { tokensPerSecond: 3_000, burstTokens: 48_000 };
const CHARGES = { enquiry: 20, order: 50 };
const IN_FORCE_MS = 7_000;
const MEMORY_LIMIT_MS = 90_000;
const WATCH_PERIOD_MS = 250;

/** Runs a fleet under seeded failures and load and checks what must always hold. */
export async function runFailures(options: RunOptions): Promise<RunResult> {
    const scope = new lifecycle.Lifecycle("failures");
    try {
        return await run(scope, options);
    }
    finally {
        await scope.close();
    }
}

async function run(scope: lifecycle.Lifecycle, options: RunOptions): Promise<RunResult> {
    const random = decision.seeded(options.seed);
    const fleet = await demo.startFleet(scope, {
        ...demo.smallFleet,
        portBase: options.portBase,
        routers: 4,
        prefillEngines: 2,
        decodeEngines: 3,
        services: 2,
        routerSettings: "stop: { noticePeriod: 500ms, drainPeriod: 60s }\n",
    });
    await fleet.operate("apply", path.join(demo.EXAMPLES, "pedra-macia.yaml"));
    const granted = await grantKeys(fleet);
    const subject = subjects.takeSubjects(scope, fleet, granted[0]?.key ?? "");
    await demo.waitUntilServing(fleet, 1 + WORKSPACES.length);
    const load = scope.child("load");
    const seen: checks.SeenRevision[] = [];
    watchRevisions(load, subject, seen);
    const sending = callers.startCallers(load, subject, granted, random, options.requestsPerSecond);
    const endsAt = lifecycle.monotonicClock() + options.seconds * decision.SECOND_MS;
    const [faultCount, withdrawnAt] = await Promise.all([
        injectFaults(subject, options, random, endsAt),
        withdrawHalfway(subject, options.seconds),
    ]);
    await lifecycle.pause(load, endsAt - lifecycle.monotonicClock());
    await load.close();
    await sending.settle();
    const violations = [
        ...await check(subject, sending.tries, seen, granted, withdrawnAt),
        ...await checks.checkMemory(subject.engines, MEMORY_LIMIT_MS),
    ];
    const answered = sending.tries.filter((one) => one.text !== undefined).length;
    return {
        tries: sending.tries.length,
        answered,
        outcomes: countOutcomes(sending.tries),
        faults: faultCount,
        violations,
    };
}

async function check(
    subject: subjects.Subjects,
    tries: readonly callers.Try[],
    seen: readonly checks.SeenRevision[],
    granted: readonly callers.Caller[],
    withdrawnAt: number,
): Promise<checks.Violation[]> {
    const runs = await checks.readRuns(subject.fleet);
    const keys = granted.map((caller) => caller.key);
    return [
        ...checks.checkOrders(tries, runs),
        ...checks.checkStreams(tries),
        ...checks.checkCuts(tries, subject.routers),
        ...checks.checkKeys(runs, keys),
        ...checks.checkWithdrawal(tries, WITHDRAWN, withdrawnAt, IN_FORCE_MS),
        ...checks.checkRate(tries, SMALLEST, SMALLEST_TERMS, CHARGES),
        ...checks.checkRevisions(seen),
        ...checks.checkPropagation(seen, subject, IN_FORCE_MS),
        ...checks.checkPoisonings(subject.poisonings),
    ];
}

async function grantKeys(fleet: demo.RunningFleet): Promise<callers.Caller[]> {
    const granted: callers.Caller[] = [];
    for (const workspace of WORKSPACES) {
        const result = await fleet.operate("keys", "grant", workspace, workspace, "--json");
        granted.push({ workspace, key: (JSON.parse(result.output) as { key: string; }).key });
    }
    return granted;
}

/** Withdraws a key when half of the run is over. Returns when that was accepted. */
async function withdrawHalfway(subject: subjects.Subjects, seconds: number): Promise<number> {
    await lifecycle.pause(subject.scope, seconds * decision.SECOND_MS / 2);
    for (;;) {
        const result = await subject.fleet.operate("keys", "withdraw", WITHDRAWN, "--json");
        const at = lifecycle.monotonicClock();
        if (result.code === 0) {
            const { revision } = JSON.parse(result.output) as { revision: number; };
            subject.accepted.push({ revision, at });
            return at;
        }
        const list = await subject.fleet.operate("keys", "list", "--json");
        if (list.code === 0 && !list.output.includes(WITHDRAWN)) {
            return lifecycle.monotonicClock();
        }
        await lifecycle.pause(subject.scope, decision.SECOND_MS);
    }
}

async function injectFaults(
    subject: subjects.Subjects,
    options: RunOptions,
    random: decision.Random,
    endsAt: number,
): Promise<number> {
    const mending: Promise<void>[] = [];
    while (lifecycle.monotonicClock() < endsAt) {
        await lifecycle.pause(subject.scope, random.exponential(options.faultPeriodMs));
        const kind = random.pick(options.kinds);
        options.tell(`${Math.round(lifecycle.monotonicClock())} ${kind}`);
        mending.push(
            faults.injections[kind](subject, random).then((detail) => options.tell(`${kind} mended: ${detail}`)),
        );
    }
    await Promise.all(mending);
    return mending.length;
}

function watchRevisions(scope: lifecycle.Lifecycle, subject: subjects.Subjects, seen: checks.SeenRevision[]): void {
    for (const { router } of subject.routers) {
        lifecycle.every(scope, WATCH_PERIOD_MS, () => void readRevision(router, seen));
    }
}

async function readRevision(router: demo.FleetRouter, seen: checks.SeenRevision[]): Promise<void> {
    try {
        const at = lifecycle.monotonicClock();
        const answer = await fetch(`${router.control}/status`, { signal: AbortSignal.timeout(decision.SECOND_MS) });
        const status = await answer.json() as { ready: boolean; revision: number; incarnation: string; };
        if (status.ready) {
            seen.push({ host: router.host, incarnation: status.incarnation, revision: status.revision, at });
        }
    }
    catch {
        // A router that is down or frozen shows nothing.
    }
}

function countOutcomes(tries: readonly callers.Try[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const one of tries) {
        const outcome = one.text !== undefined ? "answered" : one.reason ?? String(one.status ?? "broken");
        const name = `${one.kind} ${outcome}`;
        counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
}
