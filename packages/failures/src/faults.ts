import type * as decision from "@citronlead/decision";
import * as demo from "@citronlead/demo";
import * as lifecycle from "@citronlead/lifecycle";
import * as path from "node:path";
import type * as subjects from "./subjects.js";

/** The kinds of failure. */
export enum FaultKind {
    KillRouter = "kill-router",
    FreezeRouter = "freeze-router",
    StopRouter = "stop-router",
    KillEngine = "kill-engine",
    SlowEngine = "slow-engine",
    CutStreams = "cut-streams",
    Outage = "outage",
    SlowPlatform = "slow-platform",
    LoseWriteAnswers = "lose-write-answers",
    ServiceLosesAnswers = "service-loses-answers",
    RaceOperators = "race-operators",
    Poison = "poison",
}

type Inject = (subject: subjects.Subjects, random: decision.Random) => Promise<string>;

const FREEZE_MS = 14_000;
const OUTAGE_MS = 15_000;
const SLOW_MS = 4_000;
const DOWN_MS = 1_500;

/** Sends an order to a stand-in to misbehave. */
export async function setFaults(address: string, faults: object): Promise<void> {
    await fetch(`${address}/standin/faults`, { method: "PUT", body: JSON.stringify(faults) });
}

async function restartRouter(subject: subjects.Subjects, router: subjects.RouterSubject): Promise<void> {
    router.process = await demo.startRouterProcess(subject.scope, router.router.settingsFile);
    router.up = true;
}

/** Routers that may be taken: always so many are left that the fleet can serve. */
function pickRouter(subject: subjects.Subjects, random: decision.Random): subjects.RouterSubject | undefined {
    const up = subject.routers.filter((router) => router.up);
    return up.length > 2 ? random.pick(up) : undefined;
}

/** Takes a router out of service for a while, as no planned stop does, and notes when. */
function disturbRouter(
    disturb: (subject: subjects.Subjects, router: subjects.RouterSubject) => Promise<void>,
): Inject {
    return async (subject, random) => {
        const router = pickRouter(subject, random);
        if (!router) {
            return "no router to spare";
        }
        const disturbance: subjects.Disturbance = { from: lifecycle.monotonicClock(), until: Infinity };
        router.disturbances.push(disturbance);
        router.up = false;
        await disturb(subject, router);
        router.up = true;
        disturbance.until = lifecycle.monotonicClock();
        return router.router.host;
    };
}

const killRouter = disturbRouter(async (subject, router) => {
    router.process.child.kill("SIGKILL");
    await router.process.ended;
    await lifecycle.pause(subject.scope, DOWN_MS);
    await restartRouter(subject, router);
});

const freezeRouter = disturbRouter(async (subject, router) => {
    router.process.child.kill("SIGSTOP");
    await lifecycle.pause(subject.scope, FREEZE_MS);
    router.process.child.kill("SIGCONT");
});

const stopRouter: Inject = async (subject, random) => {
    const router = pickRouter(subject, random);
    if (!router) {
        return "no router to spare";
    }
    router.up = false;
    router.process.child.kill("SIGTERM");
    const code = await router.process.ended;
    await restartRouter(subject, router);
    return `${router.router.host} exited with ${code}`;
};

function takeEngines(subject: subjects.Subjects): readonly subjects.EngineSubject[] {
    return subject.engines.filter((engine) => !engine.taken);
}

const killEngine: Inject = async (subject, random) => {
    const free = takeEngines(subject);
    if (free.length === 0) {
        return "no engine to spare";
    }
    const engine = random.pick(free);
    engine.taken = true;
    engine.process.child.kill("SIGKILL");
    await engine.process.ended;
    await lifecycle.pause(subject.scope, DOWN_MS);
    engine.process = await engine.engine.restart();
    engine.taken = false;
    return engine.engine.name;
};

/** How often a caller sends a content again that crashes engines. */
const POISON_SENDS = 6;
const POISON_PAUSE_MS = 400;
/** The exit code of a stand-in that crashed on a marked content. */
const CRASH_CODE = 70;

/** Sends a content that crashes each engine that runs it, again and again, through random routers. */
const poison: Inject = async (subject, random) => {
    const engines = takeEngines(subject);
    const poisoning: subjects.Poisoning = { mark: `mark-${random.integer(0, 1_000_000)}`, crashes: 0 };
    subject.poisonings.push(poisoning);
    engines.forEach((engine) => engine.taken = true);
    await Promise.all(engines.map((engine) => setFaults(engine.engine.address, { crashMark: poisoning.mark })));
    for (let count = 0; count < POISON_SENDS; count++) {
        await sendPoison(subject, random, poisoning.mark);
        await lifecycle.pause(subject.scope, POISON_PAUSE_MS);
        await Promise.all(engines.map((engine) => restartCrashed(engine, poisoning)));
    }
    await Promise.all(engines.map((engine) => setFaults(engine.engine.address, { crashMark: "" })));
    engines.forEach((engine) => engine.taken = false);
    return `${poisoning.mark} crashed ${poisoning.crashes}`;
};

async function sendPoison(subject: subjects.Subjects, random: decision.Random, mark: string): Promise<void> {
    const router = random.pick(subject.routers.filter((candidate) => candidate.up));
    try {
        const answer = await fetch(`${router.router.callers}/v1/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${subject.key}`, "content-type": "application/json" },
            body: JSON.stringify({ model: "dossierllm", prompt: `Read ${mark}.`, max_tokens: 4 }),
            signal: AbortSignal.timeout(POISON_TIMEOUT_MS),
        });
        await answer.arrayBuffer();
    }
    catch {
        // The router may be down or frozen; the next try goes through another.
    }
}

const POISON_TIMEOUT_MS = 10_000;

async function restartCrashed(engine: subjects.EngineSubject, poisoning: subjects.Poisoning): Promise<void> {
    if (engine.process.child.exitCode === CRASH_CODE) {
        poisoning.crashes++;
        engine.process = await engine.engine.restart();
        await setFaults(engine.engine.address, { crashMark: poisoning.mark });
    }
}

/** Lets a stand-in misbehave for a time. */
function misbehave(
    pick: (subject: subjects.Subjects, random: decision.Random) => string,
    faults: object,
    mended: object,
    durationMs: decision.Milliseconds,
): Inject {
    return async (subject, random) => {
        const address = pick(subject, random);
        await setFaults(address, faults).catch(() => undefined);
        await lifecycle.pause(subject.scope, durationMs);
        await setFaults(address, mended).catch(() => undefined);
        return address;
    };
}

const pickEngine = (subject: subjects.Subjects, random: decision.Random) => random.pick(subject.engines).engine.address;
const pickPlatform = (subject: subjects.Subjects) => subject.fleet.platform;
const pickService = (subject: subjects.Subjects, random: decision.Random) =>
    random.pick(subject.fleet.services).address;

const outage: Inject = async (subject, random) => {
    const disturbance: subjects.Disturbance = { from: lifecycle.monotonicClock(), until: Infinity };
    subject.outages.push(disturbance);
    const away = misbehave(pickPlatform, { outage: true }, { outage: false }, OUTAGE_MS);
    const result = await away(subject, random);
    disturbance.until = lifecycle.monotonicClock();
    return result;
};

const raceOperators: Inject = async (subject) => {
    const file = path.join(demo.EXAMPLES, "pedra-macia.yaml");
    const results = await Promise.all([1, 2, 3].map(() => subject.fleet.operate("apply", file, "--json")));
    const at = lifecycle.monotonicClock();
    for (const result of results.filter((candidate) => candidate.code === 0)) {
        const { revision } = JSON.parse(result.output) as { revision: number; };
        subject.accepted.push({ revision, at });
    }
    return results.map((result) => result.code).join(",");
};

/** How each kind of failure is brought about; the promise ends when it is mended. */
export const injections: Readonly<Record<FaultKind, Inject>> = {
    [FaultKind.KillRouter]: killRouter,
    [FaultKind.FreezeRouter]: freezeRouter,
    [FaultKind.StopRouter]: stopRouter,
    [FaultKind.KillEngine]: killEngine,
    [FaultKind.SlowEngine]: misbehave(pickEngine, { slowdown: 10 }, { slowdown: 1 }, SLOW_MS),
    [FaultKind.CutStreams]: misbehave(pickEngine, { cutAfterTokens: 3 }, { cutAfterTokens: 0 }, SLOW_MS),
    [FaultKind.Outage]: outage,
    [FaultKind.SlowPlatform]: misbehave(pickPlatform, { delayMs: 300 }, { delayMs: 0 }, SLOW_MS),
    [FaultKind.LoseWriteAnswers]: misbehave(pickPlatform, { dropWriteAnswers: 5 }, { dropWriteAnswers: 0 }, SLOW_MS),
    [FaultKind.ServiceLosesAnswers]: misbehave(pickService, { dropAnswers: 3 }, { dropAnswers: 0 }, SLOW_MS),
    [FaultKind.RaceOperators]: raceOperators,
    [FaultKind.Poison]: poison,
};
