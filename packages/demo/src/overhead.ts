import * as lifecycle from "@citronlead/lifecycle";
import * as commander from "commander";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as fleets from "./fleet.js";
import * as callers from "./overheadcallers.js";
import * as readings from "./overheadreadings.js";
import * as processes from "./processes.js";

interface OverheadOptions {
    readonly portBase: number;
    readonly requests: number;
    readonly streams: number;
    readonly seconds: number;
}

/** The letter's size: 2.2 million tokens a second over 380 routers, 36 ms between the tokens of a stream. */
const LETTER_TOKENS_PER_ROUTER = 5_800;
const TOKEN_PERIOD_MS = 36;
const DECODE_ENGINES = 3;
const PROMPT = "Lot 7: fine grain, even hardness, one flaw near the northern edge. ".repeat(30);
const SHORT_TOKENS = 8;
const LONG_TOKENS = 408;
const WARM_UP_REQUESTS = 100;
const SETTLE_MS = 3_000;
/** Streams are opened one after another, so that their prefills do not all wait for one engine. */
const OPENING_PERIOD_MS = 15;

/** The shipped configuration with rates and slots that do not limit the measurement. */
async function writeConfiguration(scope: lifecycle.Lifecycle): Promise<string> {
    const text = await fs.readFile(path.join(processes.EXAMPLES, "pedra-macia.yaml"), "utf8");
    const file = path.join(os.tmpdir(), `citronlead-overhead-${process.pid}.yaml`);
    scope.own(() => fs.rm(file, { force: true }));
    await fs.writeFile(
        file,
        text.replace(
            "tokensPerSecond: 60000, burstTokens: 240000",
            "tokensPerSecond: 500000000, burstTokens: 900000000",
        )
            .replace("decodeSlots: 20", "decodeSlots: 2000")
            .replace("memoryPieces: 1000", "memoryPieces: 1000000"),
    );
    return file;
}

async function startFleet(
    scope: lifecycle.Lifecycle,
    portBase: number,
    tokenPeriodMs: number,
): Promise<callers.Target> {
    const fleet = await fleets.startFleet(scope, {
        ...fleets.smallFleet,
        portBase,
        routers: 1,
        availabilityZones: ["braga-a"],
        prefillEngines: 1,
        decodeEngines: DECODE_ENGINES,
        engineOptions: [
            ...["--slots", "2000", "--memory-pieces", "1000000", "--prefill-token-ms", "0"],
            ...["--decode-token-ms", String(tokenPeriodMs)],
        ],
        routerSettings: "log: { level: info }\n",
    });
    const applied = await fleet.operate("apply", await writeConfiguration(scope));
    if (applied.code !== 0) {
        throw new Error(applied.errors);
    }
    const granted = await fleet.operate("keys", "grant", "guild", "overhead", "--json");
    await fleets.waitUntilServing(fleet, 2);
    return callers.makeTarget(fleet, (JSON.parse(granted.output) as { key: string; }).key);
}

/** Sends requests directly and through the router in turn, so that both meet the same machine. */
async function compareLatency(target: callers.Target, requests: number): Promise<string[]> {
    const taken = { direct: [] as callers.Taken[], routed: [] as callers.Taken[] };
    const calls = { direct: [] as number[], routed: [] as number[] };
    for (let number = 0; number < WARM_UP_REQUESTS + requests; number++) {
        const direct = await callers.completeDirectly(target, PROMPT, SHORT_TOKENS);
        const routed = await callers.complete(target, PROMPT, SHORT_TOKENS);
        const calledDirectly = await callers.callDirectly(target);
        const called = await callers.call(target);
        if (number >= WARM_UP_REQUESTS) {
            taken.direct.push(direct);
            taken.routed.push(routed);
            calls.direct.push(calledDirectly);
            calls.routed.push(called);
        }
    }
    const first = (all: readonly callers.Taken[]) => all.map((one) => one.firstTokenMs);
    const whole = (all: readonly callers.Taken[]) => all.map((one) => one.durationMs);
    return [
        readings.compare("first token", first(taken.direct), first(taken.routed)),
        readings.compare(`${SHORT_TOKENS} tokens`, whole(taken.direct), whole(taken.routed)),
        readings.compare("service call", calls.direct, calls.routed),
    ];
}

/** The processor time of the router for one request of so many tokens, without what it spends when idle. */
async function processorMs(target: callers.Target, requests: number, run: () => Promise<unknown>): Promise<number> {
    const idle = await readings.measure(target.control, () => callers.wait(SETTLE_MS));
    const busy = await readings.measure(target.control, async () => {
        for (let number = 0; number < requests; number++) {
            await run();
        }
    });
    return (busy.processorMs - idle.processorMs / idle.elapsedMs * busy.elapsedMs) / requests;
}

async function measureProcessor(target: callers.Target, requests: number): Promise<string[]> {
    const long = Math.max(10, Math.round(requests / 10));
    const short = await processorMs(target, requests, () => callers.complete(target, PROMPT, SHORT_TOKENS));
    const longMs = await processorMs(target, long, () => callers.complete(target, PROMPT, LONG_TOKENS));
    const called = await processorMs(target, requests, () => callers.call(target));
    const perToken = (longMs - short) / (LONG_TOKENS - SHORT_TOKENS);
    return [
        `processor time per completion (without its tokens): ${(short - SHORT_TOKENS * perToken).toFixed(2)} ms`,
        `processor time per streamed token, one stream: ${(perToken * 1_000).toFixed(1)} us`,
        `processor time per service call: ${called.toFixed(2)} ms`,
    ];
}

/** Opens streams at the period of the engines and measures what they cost the router. */
async function measureStreams(target: callers.Target, streams: number, seconds: number): Promise<string[]> {
    const idle = await readings.read(target.control);
    const openForMs = streams * OPENING_PERIOD_MS + 2 * SETTLE_MS + 1_000 * seconds;
    const tokens = Math.ceil(openForMs / target.tokenPeriodMs);
    const counted = { tokens: 0 };
    const running: Promise<unknown>[] = [];
    for (let number = 0; number < streams; number++) {
        running.push(callers.complete(target, PROMPT, tokens, () => counted.tokens++));
        await callers.wait(OPENING_PERIOD_MS);
    }
    await callers.wait(SETTLE_MS);
    const before = counted.tokens;
    const spent = await readings.measure(target.control, () => callers.wait(seconds * 1_000));
    const received = counted.tokens - before;
    const open = await readings.read(target.control);
    await Promise.all(running);
    const perSecond = received / (spent.elapsedMs / 1_000);
    const core = spent.processorMs / spent.elapsedMs;
    const perStream = (value: number) => (value / streams / 1_024).toFixed(1);
    return [
        `${streams} streams: ${perSecond.toFixed(0)} tokens/s take ${(100 * core).toFixed(0)}% of a core, `
        + `${(spent.processorMs / received * 1_000).toFixed(1)} us a token, ${
            (perSecond / core).toFixed(0)
        } tokens/s on a core `
        + `(the letter's size: ${LETTER_TOKENS_PER_ROUTER})`,
        `memory per open stream: ${perStream(open.residentBytes - idle.residentBytes)} KiB resident, `
        + `${perStream(open.heapBytes - idle.heapBytes)} KiB heap`,
    ];
}

async function measureOverhead(options: OverheadOptions): Promise<void> {
    const print = (lines: readonly string[]) => lines.forEach((line) => process.stdout.write(`${line}\n`));
    const quick = new lifecycle.Lifecycle("overhead");
    const target = await startFleet(quick, options.portBase, 0);
    await callers.wait(SETTLE_MS);
    const idle = await readings.read(target.control);
    print([
        `idle router: ${readings.mebibytes(idle.residentBytes)} MiB resident, ${
            readings.mebibytes(idle.heapBytes)
        } MiB heap`,
    ]);
    print(await compareLatency(target, options.requests));
    print(await measureProcessor(target, options.requests));
    await quick.close();
    for (const [index, streams] of [options.streams, 3 * options.streams].entries()) {
        const scope = new lifecycle.Lifecycle("overhead");
        const paced = await startFleet(scope, options.portBase + 50 * (index + 1), TOKEN_PERIOD_MS);
        print(await measureStreams({ ...paced, tokenPeriodMs: TOKEN_PERIOD_MS }, streams, options.seconds));
        await scope.close();
    }
}

const parsed = new commander.Command("overhead")
    .description("Measures what the router adds: latency, processor time and memory, against direct calls in one run.")
    .option("--port-base <port>", "first port of the fleet", Number, 18_000)
    .option("--requests <number>", "requests on each path", Number, 300)
    .option("--streams <number>", "streams that are open at once, then three times as many", Number, 210)
    .option("--seconds <number>", "how long the open streams are measured", Number, 8)
    .parse();
await measureOverhead(parsed.opts<OverheadOptions>());
process.exit(0);
