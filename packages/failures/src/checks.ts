import * as demo from "@citronlead/demo";
import * as standins from "@citronlead/standins";
import * as callers from "./callers.js";
import * as fleets from "./fleet.js";

/** Violation of an invariant. */
export interface Violation {
    readonly rule: string;
    readonly detail: string;
}

/** A call as the stand-in of a plain service recorded it. */
interface ServiceCall {
    readonly path: string;
    readonly idempotencyKey: string;
    readonly headers: Readonly<Record<string, unknown>>;
    readonly body: string;
}

/** Reads the calls recorded by all plain services. */
export async function readServiceCalls(fleet: demo.RunningFleet): Promise<readonly ServiceCall[]> {
    const answers = await Promise.all(fleet.services.map((service) => fetch(`${service.address}/standin/runs`)));
    const bodies = await Promise.all(answers.map((answer) => answer.json() as Promise<{ runs: ServiceCall[]; }>));
    return bodies.flatMap((body) => body.runs);
}

/** Checks that each order ran at most once, that answered orders ran, and that orders reported as not run did not. */
export function checkOrders(attempts: readonly callers.Attempt[], runs: readonly ServiceCall[]): Violation[] {
    const counts = new Map<string, number>();
    runs.filter((run) => run.path === "/orders")
        .forEach((run) => counts.set(run.idempotencyKey, (counts.get(run.idempotencyKey) ?? 0) + 1));
    const repeated = [...counts].filter(([, count]) => count > 1)
        .map(([key, count]) => ({ rule: "an order runs at most once", detail: `${key} ran ${count} times` }));
    const wronglyReported = attempts
        .filter((one) =>
            one.kind === callers.RequestKind.SingleOrder && one.ran === "no" && counts.has(one.promptOrKey)
        )
        .map((one) => ({
            rule: "an order reported as not run did not run",
            detail: `${one.promptOrKey}: ${one.reason}`,
        }));
    const lost = attempts
        .filter((one) => one.answer !== undefined && one.kind.startsWith("order") && !counts.has(one.promptOrKey))
        .map((one) => ({ rule: "an answered order ran", detail: one.promptOrKey }));
    return [...repeated, ...wronglyReported, ...lost, ...checkSameAnswers(attempts)];
}

function checkSameAnswers(attempts: readonly callers.Attempt[]): Violation[] {
    const answers = new Map<string, Set<string>>();
    attempts.filter((one) => one.kind === callers.RequestKind.RepeatedOrder && one.answer !== undefined)
        .forEach((one) =>
            answers.set(one.promptOrKey, (answers.get(one.promptOrKey) ?? new Set()).add(one.answer ?? ""))
        );
    return [...answers].filter(([, texts]) => texts.size > 1)
        .map(([key, texts]) => ({
            rule: "all answers to an order are equal",
            detail: `${key}: ${[...texts].join(" / ")}`,
        }));
}

/** Checks that each complete streamed answer has all tokens for its own prompt, in order, each once. */
export function checkStreams(attempts: readonly callers.Attempt[]): Violation[] {
    return attempts
        .filter((one) => one.kind === callers.RequestKind.Stream && one.answer !== undefined)
        .filter((one) => one.answer !== expectedText(one))
        .map((one) => ({
            rule: "a streamed answer has all its tokens in order, each once",
            detail: `${one.host}: ${one.answer?.slice(0, 80)}`,
        }));
}

function expectedText(one: callers.Attempt): string {
    return Array.from({ length: one.outputTokens }, (_, index) => standins.tokenAt(one.promptOrKey, index)).join("");
}

/** Checks that requests break off only while their router is killed or frozen, never because of a planned stop. */
export function checkBrokenConnections(
    attempts: readonly callers.Attempt[],
    routers: readonly fleets.RouterUnderTest[],
): Violation[] {
    const disruptionsByHost = new Map(routers.map((router) => [router.router.host, router.disruptions]));
    return attempts
        .filter((one) => one.status === undefined)
        .filter((one) => !fleets.overlaps(disruptionsByHost.get(one.host) ?? [], one.startedAt, one.endedAt))
        .filter((one) => one.endedAt - one.startedAt > CONNECTION_REFUSAL_MS)
        .map((one) => ({ rule: "a planned stop breaks no request", detail: `${one.kind} through ${one.host}` }));
}

/** An attempt that fails this quickly is taken for a refused connection, which the router never accepted. */
const CONNECTION_REFUSAL_MS = 50;

/** Checks that no plain service received a key. */
export function checkKeys(runs: readonly ServiceCall[], keys: readonly string[]): Violation[] {
    return runs
        .filter((run) => keys.some((key) => JSON.stringify(run).includes(key)))
        .map((run) => ({ rule: "no upstream sees a key", detail: run.path }));
}

/** Checks that a withdrawn key is refused by all routers after the allowed propagation time. */
export function checkWithdrawal(
    attempts: readonly callers.Attempt[],
    workspace: string,
    withdrawnAt: number,
    allowedMs: number,
): Violation[] {
    return attempts
        .filter((one) =>
            one.workspace === workspace && one.startedAt > withdrawnAt + allowedMs && one.answer !== undefined
        )
        .map((one) => ({
            rule: "a withdrawn key is refused within the allowed time",
            detail: `${one.kind} through ${one.host}`,
        }));
}

/** Checks that a workspace was served no more tokens than its burst and its rate over the whole run allow. */
export function checkRate(
    attempts: readonly callers.Attempt[],
    workspace: string,
    terms: { readonly tokensPerSecond: number; readonly burstTokens: number; },
    charges: { readonly enquiry: number; readonly order: number; },
): Violation[] {
    const served = attempts.filter((one) => one.workspace === workspace && one.answer !== undefined);
    const used = served.reduce((sum, one) => sum + usedTokens(one, charges), 0);
    const first = Math.min(...served.map((one) => one.startedAt));
    const last = Math.max(...served.map((one) => one.endedAt));
    const allowed = terms.burstTokens + terms.tokensPerSecond * (last - first) / 1_000;
    return served.length === 0 || used <= allowed
        ? []
        : [{ rule: "a workspace stays within its rate and burst", detail: `${workspace} used ${used} of ${allowed}` }];
}

function usedTokens(one: callers.Attempt, charges: { readonly enquiry: number; readonly order: number; }): number {
    switch (one.kind) {
        case callers.RequestKind.Stream:
            return standins.countTokens(one.promptOrKey) + one.outputTokens;
        case callers.RequestKind.Enquiry:
            return charges.enquiry;
        default:
            return charges.order;
    }
}

/** Waits until no engine holds memory. Returns a violation if any still does after the limit, in milliseconds. */
export async function checkMemory(engines: readonly fleets.EngineUnderTest[], limitMs: number): Promise<Violation[]> {
    const held = async (engine: fleets.EngineUnderTest) => {
        const answer = await fetch(`${engine.engine.address}/engine/held`);
        return (await answer.json() as { held: unknown[]; }).held;
    };
    try {
        await demo.waitUntil("all engines to release their memory", async () => {
            const all = await Promise.all(engines.map(held));
            return all.every((one) => one.length === 0);
        }, limitMs);
        return [];
    }
    catch {
        const left = await Promise.all(
            engines.map(async (one) => `${one.engine.name}: ${JSON.stringify(await held(one))}`),
        );
        return [{ rule: "engines release the memory of ended requests", detail: left.join("; ") }];
    }
}

/** A configuration revision that a ready router reported. */
export interface ObservedRevision {
    readonly host: string;
    readonly incarnation: string;
    readonly revision: number;
    readonly at: number;
}

/** Checks that no router returns to an older revision, not even after a restart. */
export function checkRevisions(observed: readonly ObservedRevision[]): Violation[] {
    const highest = new Map<string, number>();
    const violations: Violation[] = [];
    for (const { host, revision } of observed) {
        const former = highest.get(host) ?? 0;
        if (revision < former) {
            violations.push({ rule: "a configuration never reverts", detail: `${host}: ${revision} after ${former}` });
        }
        highest.set(host, Math.max(former, revision));
    }
    return violations;
}

/** Checks that ready routers serve an accepted revision within the allowed time, unless an outage or fault intervened. */
export function checkPropagation(
    observed: readonly ObservedRevision[],
    underTest: fleets.FleetUnderTest,
    allowedMs: number,
): Violation[] {
    return underTest.acceptedRevisions.flatMap(({ revision, at }) =>
        observed
            .filter((one) => one.at > at + allowedMs && one.revision < revision)
            .filter((one) => !fleets.overlaps(underTest.outages, at, one.at))
            .filter((one) => {
                const router = underTest.routers.find((candidate) => candidate.router.host === one.host);
                return !fleets.overlaps(router?.disruptions ?? [], at, one.at);
            })
            .map((one) => ({
                rule: "an accepted revision is in force within the allowed time",
                detail: `${one.host}: ${one.revision} of ${revision}`,
            }))
    );
}

/** Two crashes identify a crashing prompt, and two more engines may run it until the quarantine has propagated. */
const MAX_ENGINE_CRASHES = 4;

/** Checks that a crashing prompt is kept from the engines after a few crashes, however often it is sent. */
export function checkCrashingPrompts(crashingPrompts: readonly fleets.CrashingPrompt[]): Violation[] {
    return crashingPrompts
        .filter((crashingPrompt) => crashingPrompt.crashes > MAX_ENGINE_CRASHES)
        .map(({ mark, crashes }) => ({
            rule: "a crashing prompt is quarantined before it takes the pool down",
            detail: `${mark}: ${crashes}`,
        }));
}
