import * as demo from "@citronlead/demo";
import * as standins from "@citronlead/standins";
import * as callers from "./callers.js";
import * as subjects from "./subjects.js";

/** Something that must always hold and did not. */
export interface Violation {
    readonly rule: string;
    readonly detail: string;
}

/** A call as the plain service's stand-in saw it. */
interface Run {
    readonly path: string;
    readonly idempotencyKey: string;
    readonly headers: Readonly<Record<string, unknown>>;
    readonly body: string;
}

/** Reads the calls that ran at all plain services. */
export async function readRuns(fleet: demo.RunningFleet): Promise<readonly Run[]> {
    const answers = await Promise.all(fleet.services.map((service) => fetch(`${service.address}/standin/runs`)));
    const bodies = await Promise.all(answers.map((answer) => answer.json() as Promise<{ runs: Run[]; }>));
    return bodies.flatMap((body) => body.runs);
}

/** Every order ran at most once, and none that a caller was told did not run. */
export function checkOrders(tries: readonly callers.Try[], runs: readonly Run[]): Violation[] {
    const counts = new Map<string, number>();
    runs.filter((run) => run.path === "/orders")
        .forEach((run) => counts.set(run.idempotencyKey, (counts.get(run.idempotencyKey) ?? 0) + 1));
    const twice = [...counts].filter(([, count]) => count > 1)
        .map(([key, count]) => ({ rule: "runs at most once", detail: `${key} ran ${count} times` }));
    const untrue = tries
        .filter((one) => one.kind === callers.RequestKind.OrderOnce && one.ran === "no" && counts.has(one.subject))
        .map((one) => ({ rule: "a refusal that says not run is true", detail: `${one.subject}: ${one.reason}` }));
    const lost = tries
        .filter((one) => one.text !== undefined && one.kind.startsWith("order") && !counts.has(one.subject))
        .map((one) => ({ rule: "an answered order ran", detail: one.subject }));
    return [...twice, ...untrue, ...lost, ...checkSameAnswers(tries)];
}

function checkSameAnswers(tries: readonly callers.Try[]): Violation[] {
    const answers = new Map<string, Set<string>>();
    tries.filter((one) => one.kind === callers.RequestKind.OrderAgain && one.text !== undefined)
        .forEach((one) => answers.set(one.subject, (answers.get(one.subject) ?? new Set()).add(one.text ?? "")));
    return [...answers].filter(([, texts]) => texts.size > 1)
        .map(([key, texts]) => ({ rule: "one answer for one order", detail: `${key}: ${[...texts].join(" / ")}` }));
}

/** Every whole answer of a stream is the answer to its own prompt, whole, in order, each token once. */
export function checkStreams(tries: readonly callers.Try[]): Violation[] {
    return tries
        .filter((one) => one.kind === callers.RequestKind.Stream && one.text !== undefined)
        .filter((one) => one.text !== expectedText(one))
        .map((one) => ({ rule: "the whole answer, in order, once", detail: `${one.host}: ${one.text?.slice(0, 80)}` }));
}

function expectedText(one: callers.Try): string {
    return Array.from({ length: one.outputTokens }, (_, index) => standins.tokenAt(one.subject, index)).join("");
}

/** A request breaks off only when its router was killed or frozen meanwhile; planned stops cut none. */
export function checkCuts(tries: readonly callers.Try[], routers: readonly subjects.RouterSubject[]): Violation[] {
    const disturbed = new Map(routers.map((router) => [router.router.host, router.disturbances]));
    return tries
        .filter((one) => one.status === undefined)
        .filter((one) => !subjects.overlaps(disturbed.get(one.host) ?? [], one.from, one.until))
        .filter((one) => one.until - one.from > REFUSED_CONNECTION_MS)
        .map((one) => ({ rule: "a planned stop cuts no request", detail: `${one.kind} through ${one.host}` }));
}

/** A connection that is refused at once was never taken by the router. */
const REFUSED_CONNECTION_MS = 50;

/** No upstream saw any key. */
export function checkKeys(runs: readonly Run[], keys: readonly string[]): Violation[] {
    return runs
        .filter((run) => keys.some((key) => JSON.stringify(run).includes(key)))
        .map((run) => ({ rule: "no upstream sees the key", detail: run.path }));
}

/** A withdrawn key is refused everywhere after the time allowed. */
export function checkWithdrawal(
    tries: readonly callers.Try[],
    workspace: string,
    withdrawnAt: number,
    allowedMs: number,
): Violation[] {
    return tries
        .filter((one) => one.workspace === workspace && one.from > withdrawnAt + allowedMs && one.text !== undefined)
        .map((one) => ({ rule: "a withdrawn key stops within seconds", detail: `${one.kind} through ${one.host}` }));
}

/** What a workspace was served stays within its burst and its rate over the whole run. */
export function checkRate(
    tries: readonly callers.Try[],
    workspace: string,
    terms: { readonly tokensPerSecond: number; readonly burstTokens: number; },
    charges: { readonly enquiry: number; readonly order: number; },
): Violation[] {
    const served = tries.filter((one) => one.workspace === workspace && one.text !== undefined);
    const used = served.reduce((sum, one) => sum + usedTokens(one, charges), 0);
    const first = Math.min(...served.map((one) => one.from));
    const last = Math.max(...served.map((one) => one.until));
    const allowed = terms.burstTokens + terms.tokensPerSecond * (last - first) / 1_000;
    return served.length === 0 || used <= allowed
        ? []
        : [{ rule: "no more than rate and burst", detail: `${workspace} used ${used} of ${allowed}` }];
}

function usedTokens(one: callers.Try, charges: { readonly enquiry: number; readonly order: number; }): number {
    switch (one.kind) {
        case callers.RequestKind.Stream:
            return standins.countTokens(one.subject) + one.outputTokens;
        case callers.RequestKind.Enquiry:
            return charges.enquiry;
        default:
            return charges.order;
    }
}

/** Waits until no engine holds memory. Returns those that still do after the limit, in milliseconds. */
export async function checkMemory(engines: readonly subjects.EngineSubject[], limitMs: number): Promise<Violation[]> {
    const held = async (engine: subjects.EngineSubject) => {
        const answer = await fetch(`${engine.engine.address}/engine/held`);
        return (await answer.json() as { held: unknown[]; }).held;
    };
    try {
        await demo.waitUntil("engines without held memory", async () => {
            const all = await Promise.all(engines.map(held));
            return all.every((one) => one.length === 0);
        }, limitMs);
        return [];
    }
    catch {
        const left = await Promise.all(
            engines.map(async (one) => `${one.engine.name}: ${JSON.stringify(await held(one))}`),
        );
        return [{ rule: "no engine memory for requests that are gone", detail: left.join("; ") }];
    }
}

/** A revision that a ready router showed. */
export interface SeenRevision {
    readonly host: string;
    readonly incarnation: string;
    readonly revision: number;
    readonly at: number;
}

/** No router goes back to an older revision, not even across its restart. */
export function checkRevisions(seen: readonly SeenRevision[]): Violation[] {
    const highest = new Map<string, number>();
    const violations: Violation[] = [];
    for (const { host, revision } of seen) {
        const former = highest.get(host) ?? 0;
        if (revision < former) {
            violations.push({ rule: "a configuration never reverts", detail: `${host}: ${revision} after ${former}` });
        }
        highest.set(host, Math.max(former, revision));
    }
    return violations;
}

/** An accepted revision is in force at every ready router within the time allowed, outside of outages. */
export function checkPropagation(
    seen: readonly SeenRevision[],
    subject: subjects.Subjects,
    allowedMs: number,
): Violation[] {
    return subject.accepted.flatMap(({ revision, at }) =>
        seen
            .filter((one) => one.at > at + allowedMs && one.revision < revision)
            .filter((one) => !subjects.overlaps(subject.outages, at, one.at))
            .filter((one) => {
                const router = subject.routers.find((candidate) => candidate.router.host === one.host);
                return !subjects.overlaps(router?.disturbances ?? [], at, one.at);
            })
            .map((one) => ({ rule: "in force within seconds", detail: `${one.host}: ${one.revision} of ${revision}` }))
    );
}

/** The most engines that one content may crash: two name it, and two more may run it while the word spreads. */
const CRASHES_LIMIT = 4;

/** A content that crashes engines is kept from them after a few crashes, however often it is sent. */
export function checkPoisonings(poisonings: readonly subjects.Poisoning[]): Violation[] {
    return poisonings
        .filter((poisoning) => poisoning.crashes > CRASHES_LIMIT)
        .map(({ mark, crashes }) => ({ rule: "a content cannot take the pool down", detail: `${mark}: ${crashes}` }));
}
