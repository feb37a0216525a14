import * as lifecycle from "@citronlead/lifecycle";
import * as commander from "commander";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as fleets from "./fleet.js";
import * as processes from "./processes.js";

/** Resource usage of a router since its start; the memory sizes are current values. */
interface RouterUsage {
    readonly processorSeconds: number;
    readonly controlBytes: number;
    readonly residentBytes: number;
    readonly heapBytes: number;
}

/** Resource usage in a fleet of one size: means over its routers, unless stated otherwise. */
interface Reading {
    readonly routers: number;
    /** Model requests per second sent to each router. */
    readonly requestRate: number;
    readonly processorMsPerSecond: number;
    readonly controlBytesPerSecond: number;
    readonly residentMebibytes: number;
    readonly heapMebibytes: number;
    /** Calls per second of the whole fleet to the key-value service, by path. */
    readonly keyValueCalls: Readonly<Record<string, number>>;
    readonly failedRequests: number;
}

/** Linear fit: a router in a fleet of n routers uses base + slopePerRouter * n. */
interface LinearFit {
    readonly base: number;
    readonly slopePerRouter: number;
}

interface CapacityOptions {
    readonly sizes: string;
    readonly rates: string;
    readonly seconds: number;
    readonly portBase: number;
    readonly out?: string;
}

const MEBIBYTE = 1024 * 1024;
const SETTLE_MS = 3_000;
const PROMPT = "The block is even and of fine grain, with one flaw at its edge. ".repeat(8);

function metricValue(text: string, name: string): number {
    return text.split("\n")
        .filter((line) => line.startsWith(name) && (line[name.length] === " " || line[name.length] === "{"))
        .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

async function readUsage(router: fleets.FleetRouter): Promise<RouterUsage> {
    const text = await (await fetch(`${router.controlAddress}/metrics`)).text();
    return {
        processorSeconds: metricValue(text, "process_cpu_seconds_total"),
        controlBytes: metricValue(text, "citronlead_control_bytes"),
        residentBytes: metricValue(text, "process_resident_memory_bytes"),
        heapBytes: metricValue(text, "nodejs_heap_size_used_bytes"),
    };
}

async function readCalls(fleet: fleets.RunningFleet): Promise<Record<string, number>> {
    return await (await fetch(`${fleet.platform}/standin/counts`)).json() as Record<string, number>;
}

async function sendRequest(router: fleets.FleetRouter, key: string): Promise<boolean> {
    try {
        const response = await fetch(`${router.callerAddress}/v1/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${key}`, "content-type": "application/json" },
            body: JSON.stringify({ model: "dossierllm", max_tokens: 4, prompt: PROMPT }),
        });
        await response.arrayBuffer();
        return response.ok;
    }
    catch {
        return false;
    }
}

/** Sends requests to every router at a fixed rate for a time. Returns the number of requests that failed. */
async function generateLoad(
    scope: lifecycle.Scope,
    fleet: fleets.RunningFleet,
    key: string,
    rate: number,
    durationMs: number,
): Promise<number> {
    const responses: Promise<boolean>[] = [];
    const loadScope = scope.child("load");
    if (rate > 0) {
        fleet.routers.forEach((router) =>
            lifecycle.every(loadScope, 1_000 / rate, () => void responses.push(sendRequest(router, key)))
        );
    }
    await lifecycle.pause(loadScope, durationMs);
    await loadScope.close();
    return (await Promise.all(responses)).filter((answered) => !answered).length;
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measure(
    scope: lifecycle.Scope,
    fleet: fleets.RunningFleet,
    key: string,
    requestRate: number,
    seconds: number,
): Promise<Reading> {
    const before = await Promise.all(fleet.routers.map(readUsage));
    const callsBefore = await readCalls(fleet);
    const startedAt = lifecycle.monotonicClock();
    const failedRequests = await generateLoad(scope, fleet, key, requestRate, seconds * 1_000);
    const after = await Promise.all(fleet.routers.map(readUsage));
    const callsAfter = await readCalls(fleet);
    const elapsedSeconds = (lifecycle.monotonicClock() - startedAt) / 1_000;
    const ratePerRouter = (read: (usage: RouterUsage) => number) =>
        mean(after.map((usage, index) => (read(usage) - read(before[index] ?? usage)) / elapsedSeconds));
    return {
        routers: fleet.routers.length,
        requestRate,
        processorMsPerSecond: ratePerRouter((usage) => usage.processorSeconds * 1_000),
        controlBytesPerSecond: ratePerRouter((usage) => usage.controlBytes),
        residentMebibytes: mean(after.map((usage) => usage.residentBytes)) / MEBIBYTE,
        heapMebibytes: mean(after.map((usage) => usage.heapBytes)) / MEBIBYTE,
        keyValueCalls: Object.fromEntries(
            Object.entries(callsAfter).map((
                [call, count],
            ) => [call, (count - (callsBefore[call] ?? 0)) / elapsedSeconds]),
        ),
        failedRequests,
    };
}

async function measureSize(size: number, rates: readonly number[], options: CapacityOptions): Promise<Reading[]> {
    const scope = new lifecycle.Scope("capacity");
    try {
        const fleet = await fleets.startFleet(scope, {
            ...fleets.smallFleetOptions,
            portBase: options.portBase,
            routers: size,
            prefillEngines: 4,
            decodeEngines: 9,
        });
        await fleet.runCitronlead("apply", path.join(processes.EXAMPLES_DIRECTORY, "pedra-macia.yaml"));
        const granted = await fleet.runCitronlead("keys", "grant", "guild", "capacity", "--json");
        const { key } = JSON.parse(granted.output) as { key: string; };
        await fleets.waitUntilServing(fleet, 2);
        await lifecycle.pause(scope, SETTLE_MS);
        const readings: Reading[] = [];
        for (const rate of rates) {
            const reading = await measure(scope, fleet, key, rate, options.seconds);
            process.stdout.write(`${JSON.stringify(reading)}\n`);
            readings.push(reading);
        }
        return readings;
    }
    finally {
        await scope.close();
    }
}

/** Fits a line by the method of least squares. */
export function fitLine(points: readonly { readonly x: number; readonly y: number; }[]): LinearFit {
    const meanX = mean(points.map((point) => point.x));
    const meanY = mean(points.map((point) => point.y));
    const sumOfSquares = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    const sumOfProducts = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const slope = sumOfSquares === 0 ? 0 : sumOfProducts / sumOfSquares;
    return { base: meanY - slope * meanX, slopePerRouter: slope };
}

function fitReadings(readings: readonly Reading[]): Record<string, LinearFit> {
    const fit = (read: (reading: Reading) => number) =>
        fitLine(readings.map((reading) => ({ x: reading.routers, y: read(reading) })));
    return {
        processorMsPerSecond: fit((reading) => reading.processorMsPerSecond),
        controlBytesPerSecond: fit((reading) => reading.controlBytesPerSecond),
        residentMebibytes: fit((reading) => reading.residentMebibytes),
        heapMebibytes: fit((reading) => reading.heapMebibytes),
        keyValueCallsOfFleet: fit((reading) =>
            Object.values(reading.keyValueCalls).reduce((sum, calls) => sum + calls, 0)
        ),
    };
}

async function main(options: CapacityOptions): Promise<void> {
    const rates = options.rates.split(",").map(Number);
    const readings: Reading[] = [];
    for (const size of options.sizes.split(",").map(Number)) {
        readings.push(...await measureSize(size, rates, options));
    }
    const fits = Object.fromEntries(
        rates.map((rate) => [rate, fitReadings(readings.filter((reading) => reading.requestRate === rate))]),
    );
    process.stdout.write(`${JSON.stringify(fits, undefined, 2)}\n`);
    if (options.out !== undefined) {
        await fs.writeFile(options.out, `${JSON.stringify({ options, readings, fits }, undefined, 2)}\n`);
    }
}

const program = new commander.Command("capacity")
    .description(
        "Measures the cost of the control plane for routers and the key-value service in fleets of several sizes.",
    )
    .option("--sizes <list>", "fleet sizes, in routers", "9,18,36")
    .option("--rates <list>", "model requests per second sent to each router", "0,5")
    .option("--seconds <seconds>", "duration of each measurement", Number, 20)
    .option("--port-base <port>", "first port of the fleets", Number, 18_000)
    .option("--out <file>", "JSON file for the readings and fits")
    .parse();
processes.exitOnSignals();
await main(program.opts<CapacityOptions>());
