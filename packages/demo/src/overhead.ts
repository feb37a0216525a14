import * as lifecycle from "@citronlead/lifecycle";
import * as commander from "commander";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as fleets from "./fleet.js";
import * as callers from "./overhead/callers.js";
import * as metrics from "./overhead/metrics.js";
import * as processes from "./processes.js";

interface OverheadOptions {
    readonly portBase: number;
    readonly requests: number;
    readonly streams: number;
    readonly seconds: number;
}

/** Required scale: 2.2 million tokens per second over 380 routers, with 36 ms between the tokens of a stream. */
const TARGET_TOKENS_PER_SECOND_PER_ROUTER = 5_800;
const TOKEN_PERIOD_MS = 36;
const DECODE_ENGINES = 3;
const PROMPT = "Lot 7: fine grain, even hardness, one flaw near the northern edge. ".repeat(30);
const SHORT_TOKENS = 8;
const LONG_TOKENS = 408;
const WARM_UP_REQUESTS = 100;
const SETTLE_MS = 3_000;
/** Streams start one after another, so that their prefills do not all queue at the only prefill engine. */
const STREAM_START_PERIOD_MS = 15;

/** Writes the example configuration with rates, slots and memory too large to limit the measurement. Returns its path. */
async function writeConfiguration(scope: lifecycle.Scope): Promise<string> {
    const text = await fs.readFile(path.join(processes.EXAMPLES_DIRECTORY, "pedra-macia.yaml"), "utf8");
    const file = path.join(os.tmpdir(), `citronlead-overhead-${process.pid}.yaml`);
    scope.defer(() => fs.rm(file, { force: true }));
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
    scope: lifecycle.Scope,
    portBase: number,
    tokenPeriodMs: number,
): Promise<callers.Target> {
    const fleet = await fleets.startFleet(scope, {
        ...fleets.smallFleetOptions,
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
    const applied = await fleet.runCitronlead("apply", await writeConfiguration(scope));
    if (applied.code !== 0) {
        throw new Error(applied.errors);
    }
    const granted = await fleet.runCitronlead("keys", "grant", "guild", "overhead", "--json");
    await fleets.waitUntilServing(fleet, 2);
    return callers.makeTarget(fleet, (JSON.parse(granted.output) as { key: string; }).key);
}

/** Alternates requests to the engines and through the router, so that both run under the same machine conditions. */
async function compareLatency(target: callers.Target, requests: number): Promise<string[]> {
    const completions = { direct: [] as callers.CompletionTiming[], routed: [] as callers.CompletionTiming[] };
    const calls = { direct: [] as number[], routed: [] as number[] };
    for (let number = 0; number < WARM_UP_REQUESTS + requests; number++) {
        const direct = await callers.completeDirectly(target, PROMPT, SHORT_TOKENS);
        const routed = await callers.complete(target, PROMPT, SHORT_TOKENS);
        const directCallMs = await callers.callDirectly(target);
        const routedCallMs = await callers.call(target);
        if (number >= WARM_UP_REQUESTS) {
            completions.direct.push(direct);
            completions.routed.push(routed);
            calls.direct.push(directCallMs);
            calls.routed.push(routedCallMs);
        }
    }
    const firstTokenTimes = (all: readonly callers.CompletionTiming[]) => all.map((one) => one.firstTokenMs);
    const durations = (all: readonly callers.CompletionTiming[]) => all.map((one) => one.durationMs);
    return [
        metrics.formatComparison(
            "first token",
            firstTokenTimes(completions.direct),
            firstTokenTimes(completions.routed),
        ),
        metrics.formatComparison(
            `${SHORT_TOKENS} tokens`,
            durations(completions.direct),
            durations(completions.routed),
        ),
        metrics.formatComparison("service call", calls.direct, calls.routed),
    ];
}

/** Measures the router's processor time per request, less its idle usage. */
async function processorMsPerRequest(
    target: callers.Target,
    requests: number,
    run: () => Promise<unknown>,
): Promise<number> {
    const idle = await metrics.measureProcessor(target.control, () => callers.wait(SETTLE_MS));
    const busy = await metrics.measureProcessor(target.control, async () => {
        for (let number = 0; number < requests; number++) {
            await run();
        }
    });
    return (busy.processorMs - idle.processorMs / idle.elapsedMs * busy.elapsedMs) / requests;
}

async function measureProcessorCosts(target: callers.Target, requests: number): Promise<string[]> {
    const longRequests = Math.max(10, Math.round(requests / 10));
    const shortMs = await processorMsPerRequest(target, requests, () => callers.complete(target, PROMPT, SHORT_TOKENS));
    const longMs = await processorMsPerRequest(
        target,
        longRequests,
        () => callers.complete(target, PROMPT, LONG_TOKENS),
    );
    const callMs = await processorMsPerRequest(target, requests, () => callers.call(target));
    const perTokenMs = (longMs - shortMs) / (LONG_TOKENS - SHORT_TOKENS);
    return [
        `processor time per completion (without its tokens): ${(shortMs - SHORT_TOKENS * perTokenMs).toFixed(2)} ms`,
        `processor time per streamed token, one stream: ${(perTokenMs * 1_000).toFixed(1)} us`,
        `processor time per service call: ${callMs.toFixed(2)} ms`,
    ];
}

/** Opens concurrent streams and measures the router's processor time and memory for them. */
async function measureStreams(target: callers.Target, streams: number, seconds: number): Promise<string[]> {
    const idle = await metrics.readMetrics(target.control);
    const openForMs = streams * STREAM_START_PERIOD_MS + 2 * SETTLE_MS + 1_000 * seconds;
    const tokens = Math.ceil(openForMs / target.tokenPeriodMs);
    const streamed = { tokens: 0 };
    const running: Promise<unknown>[] = [];
    for (let number = 0; number < streams; number++) {
        running.push(callers.complete(target, PROMPT, tokens, () => streamed.tokens++));
        await callers.wait(STREAM_START_PERIOD_MS);
    }
    await callers.wait(SETTLE_MS);
    const before = streamed.tokens;
    const usage = await metrics.measureProcessor(target.control, () => callers.wait(seconds * 1_000));
    const received = streamed.tokens - before;
    const open = await metrics.readMetrics(target.control);
    await Promise.all(running);
    const tokensPerSecond = received / (usage.elapsedMs / 1_000);
    const coreShare = usage.processorMs / usage.elapsedMs;
    const perStream = (value: number) => (value / streams / 1_024).toFixed(1);
    return [
        `${streams} streams: ${tokensPerSecond.toFixed(0)} tokens/s use ${(100 * coreShare).toFixed(0)}% of a core, `
        + `${(usage.processorMs / received * 1_000).toFixed(1)} us per token, ${
            (tokensPerSecond / coreShare).toFixed(0)
        } tokens/s per core `
        + `(required: ${TARGET_TOKENS_PER_SECOND_PER_ROUTER})`,
        `memory per open stream: ${perStream(open.residentBytes - idle.residentBytes)} KiB resident, `
        + `${perStream(open.heapBytes - idle.heapBytes)} KiB heap`,
    ];
}

async function measureOverhead(options: OverheadOptions): Promise<void> {
    const print = (lines: readonly string[]) => lines.forEach((line) => process.stdout.write(`${line}\n`));
    const unpacedScope = new lifecycle.Scope("overhead");
    const target = await startFleet(unpacedScope, options.portBase, 0);
    await callers.wait(SETTLE_MS);
    const idle = await metrics.readMetrics(target.control);
    print([
        `idle router: ${metrics.formatMebibytes(idle.residentBytes)} MiB resident, ${
            metrics.formatMebibytes(idle.heapBytes)
        } MiB heap`,
    ]);
    print(await compareLatency(target, options.requests));
    print(await measureProcessorCosts(target, options.requests));
    await unpacedScope.close();
    for (const [index, streams] of [options.streams, 3 * options.streams].entries()) {
        const scope = new lifecycle.Scope("overhead");
        const pacedTarget = await startFleet(scope, options.portBase + 50 * (index + 1), TOKEN_PERIOD_MS);
        print(await measureStreams({ ...pacedTarget, tokenPeriodMs: TOKEN_PERIOD_MS }, streams, options.seconds));
        await scope.close();
    }
}

const parsed = new commander.Command("overhead")
    .description("Measures the latency, processor time and memory that the router adds, compared with direct calls.")
    .option("--port-base <port>", "first port of the fleet", Number, 18_000)
    .option("--requests <number>", "requests on each path", Number, 300)
    .option("--streams <number>", "number of concurrent streams, measured again with three times as many", Number, 210)
    .option("--seconds <number>", "duration of the measurement of open streams", Number, 8)
    .parse();
await measureOverhead(parsed.opts<OverheadOptions>());
process.exit(0);
