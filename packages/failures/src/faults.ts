import type * as decision from "@citronlead/decision";
import * as demo from "@citronlead/demo";
import * as lifecycle from "@citronlead/lifecycle";
import * as path from "node:path";
import type * as fleets from "./fleet.js";

/** Kinds of faults. */
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
    CrashingPrompt = "poison",
}

/** Injects a fault, resolves once it is over and returns a description for the log. */
type InjectFault = (underTest: fleets.FleetUnderTest, random: decision.Random) => Promise<string>;

const FREEZE_MS = 14_000;
const OUTAGE_MS = 15_000;
const STANDIN_FAULT_MS = 4_000;
const RESTART_DELAY_MS = 1_500;

/** Sets the faults of a stand-in. */
export async function setStandinFaults(address: string, faults: object): Promise<void> {
    await fetch(`${address}/standin/faults`, { method: "PUT", body: JSON.stringify(faults) });
}

async function restartRouter(underTest: fleets.FleetUnderTest, router: fleets.RouterUnderTest): Promise<void> {
    router.process = await demo.startRouterProcess(underTest.scope, router.router.settingsFile);
    router.up = true;
}

/** Picks a router to take out of service, if at least two others stay up, so that the fleet can still serve. */
function pickSpareRouter(
    underTest: fleets.FleetUnderTest,
    random: decision.Random,
): fleets.RouterUnderTest | undefined {
    const up = underTest.routers.filter((router) => router.up);
    return up.length > 2 ? random.pick(up) : undefined;
}

/** Wraps an unplanned interruption of a router and records its time span. */
function disruptRouter(
    disrupt: (underTest: fleets.FleetUnderTest, router: fleets.RouterUnderTest) => Promise<void>,
): InjectFault {
    return async (underTest, random) => {
        const router = pickSpareRouter(underTest, random);
        if (!router) {
            return "no router available";
        }
        const disruption: fleets.Disruption = { from: lifecycle.monotonicClock(), until: Infinity };
        router.disruptions.push(disruption);
        router.up = false;
        await disrupt(underTest, router);
        router.up = true;
        disruption.until = lifecycle.monotonicClock();
        return router.router.host;
    };
}

const killRouter = disruptRouter(async (underTest, router) => {
    router.process.child.kill("SIGKILL");
    await router.process.ended;
    await lifecycle.pause(underTest.scope, RESTART_DELAY_MS);
    await restartRouter(underTest, router);
});

const freezeRouter = disruptRouter(async (underTest, router) => {
    router.process.child.kill("SIGSTOP");
    await lifecycle.pause(underTest.scope, FREEZE_MS);
    router.process.child.kill("SIGCONT");
});

const stopRouter: InjectFault = async (underTest, random) => {
    const router = pickSpareRouter(underTest, random);
    if (!router) {
        return "no router available";
    }
    router.up = false;
    router.process.child.kill("SIGTERM");
    const code = await router.process.ended;
    await restartRouter(underTest, router);
    return `${router.router.host} exited with ${code}`;
};

function undisturbedEngines(underTest: fleets.FleetUnderTest): readonly fleets.EngineUnderTest[] {
    return underTest.engines.filter((engine) => !engine.faultInProgress);
}

const killEngine: InjectFault = async (underTest, random) => {
    const available = undisturbedEngines(underTest);
    if (available.length === 0) {
        return "no engine available";
    }
    const engine = random.pick(available);
    engine.faultInProgress = true;
    engine.process.child.kill("SIGKILL");
    await engine.process.ended;
    await lifecycle.pause(underTest.scope, RESTART_DELAY_MS);
    engine.process = await engine.engine.restart();
    engine.faultInProgress = false;
    return engine.engine.name;
};

/** How many times the same crashing prompt is sent. */
const CRASHING_PROMPT_SENDS = 6;
const CRASHING_PROMPT_PAUSE_MS = 400;
/** Exit code of a stand-in that crashed on a prompt with the crash mark. */
const CRASH_EXIT_CODE = 70;

/** Repeatedly sends a prompt that crashes each engine that runs it, through random routers. */
const sendCrashingPrompts: InjectFault = async (underTest, random) => {
    const engines = undisturbedEngines(underTest);
    const crashingPrompt: fleets.CrashingPrompt = { mark: `mark-${random.integer(0, 1_000_000)}`, crashes: 0 };
    underTest.crashingPrompts.push(crashingPrompt);
    engines.forEach((engine) => engine.faultInProgress = true);
    await Promise.all(
        engines.map((engine) => setStandinFaults(engine.engine.address, { crashMark: crashingPrompt.mark })),
    );
    for (let count = 0; count < CRASHING_PROMPT_SENDS; count++) {
        await sendCrashingPrompt(underTest, random, crashingPrompt.mark);
        await lifecycle.pause(underTest.scope, CRASHING_PROMPT_PAUSE_MS);
        await Promise.all(engines.map((engine) => restartIfCrashed(engine, crashingPrompt)));
    }
    await Promise.all(engines.map((engine) => setStandinFaults(engine.engine.address, { crashMark: "" })));
    engines.forEach((engine) => engine.faultInProgress = false);
    return `${crashingPrompt.mark} crashed engines ${crashingPrompt.crashes} times`;
};

async function sendCrashingPrompt(
    underTest: fleets.FleetUnderTest,
    random: decision.Random,
    mark: string,
): Promise<void> {
    const router = random.pick(underTest.routers.filter((candidate) => candidate.up));
    try {
        const answer = await fetch(`${router.router.callerAddress}/v1/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${underTest.key}`, "content-type": "application/json" },
            body: JSON.stringify({ model: "dossierllm", prompt: `Read ${mark}.`, max_tokens: 4 }),
            signal: AbortSignal.timeout(CRASHING_PROMPT_TIMEOUT_MS),
        });
        await answer.arrayBuffer();
    }
    catch {
        // The router may be down or frozen; the next send picks a router again.
    }
}

const CRASHING_PROMPT_TIMEOUT_MS = 10_000;

async function restartIfCrashed(engine: fleets.EngineUnderTest, crashingPrompt: fleets.CrashingPrompt): Promise<void> {
    if (engine.process.child.exitCode === CRASH_EXIT_CODE) {
        crashingPrompt.crashes++;
        engine.process = await engine.engine.restart();
        await setStandinFaults(engine.engine.address, { crashMark: crashingPrompt.mark });
    }
}

/** Sets faults of a stand-in for a time, then clears them. Errors are ignored. */
function injectStandinFaults(
    pick: (underTest: fleets.FleetUnderTest, random: decision.Random) => string,
    faults: object,
    cleared: object,
    durationMs: decision.Milliseconds,
): InjectFault {
    return async (underTest, random) => {
        const address = pick(underTest, random);
        await setStandinFaults(address, faults).catch(() => undefined);
        await lifecycle.pause(underTest.scope, durationMs);
        await setStandinFaults(address, cleared).catch(() => undefined);
        return address;
    };
}

const pickEngine = (underTest: fleets.FleetUnderTest, random: decision.Random) =>
    random.pick(underTest.engines).engine.address;
const pickPlatform = (underTest: fleets.FleetUnderTest) => underTest.fleet.platform;
const pickService = (underTest: fleets.FleetUnderTest, random: decision.Random) =>
    random.pick(underTest.fleet.services).address;

const outage: InjectFault = async (underTest, random) => {
    const disruption: fleets.Disruption = { from: lifecycle.monotonicClock(), until: Infinity };
    underTest.outages.push(disruption);
    const injectOutage = injectStandinFaults(pickPlatform, { outage: true }, { outage: false }, OUTAGE_MS);
    const result = await injectOutage(underTest, random);
    disruption.until = lifecycle.monotonicClock();
    return result;
};

const raceOperators: InjectFault = async (underTest) => {
    const file = path.join(demo.EXAMPLES_DIRECTORY, "pedra-macia.yaml");
    const results = await Promise.all([1, 2, 3].map(() => underTest.fleet.runCitronlead("apply", file, "--json")));
    const at = lifecycle.monotonicClock();
    for (const result of results.filter((candidate) => candidate.code === 0)) {
        const { revision } = JSON.parse(result.output) as { revision: number; };
        underTest.acceptedRevisions.push({ revision, at });
    }
    return results.map((result) => result.code).join(",");
};

/** Functions that inject each kind of fault; their promises resolve once the fault is over. */
export const injections: Readonly<Record<FaultKind, InjectFault>> = {
    [FaultKind.KillRouter]: killRouter,
    [FaultKind.FreezeRouter]: freezeRouter,
    [FaultKind.StopRouter]: stopRouter,
    [FaultKind.KillEngine]: killEngine,
    [FaultKind.SlowEngine]: injectStandinFaults(pickEngine, { slowdown: 10 }, { slowdown: 1 }, STANDIN_FAULT_MS),
    [FaultKind.CutStreams]: injectStandinFaults(
        pickEngine,
        { cutAfterTokens: 3 },
        { cutAfterTokens: 0 },
        STANDIN_FAULT_MS,
    ),
    [FaultKind.Outage]: outage,
    [FaultKind.SlowPlatform]: injectStandinFaults(pickPlatform, { delayMs: 300 }, { delayMs: 0 }, STANDIN_FAULT_MS),
    [FaultKind.LoseWriteAnswers]: injectStandinFaults(
        pickPlatform,
        { dropWriteAnswers: 5 },
        { dropWriteAnswers: 0 },
        STANDIN_FAULT_MS,
    ),
    [FaultKind.ServiceLosesAnswers]: injectStandinFaults(
        pickService,
        { dropAnswers: 3 },
        { dropAnswers: 0 },
        STANDIN_FAULT_MS,
    ),
    [FaultKind.RaceOperators]: raceOperators,
    [FaultKind.CrashingPrompt]: sendCrashingPrompts,
};
