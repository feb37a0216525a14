import * as lifecycle from "@citronlead/lifecycle";
import * as commander from "commander";
import * as engine from "./engine.js";
import * as exchange from "./exchange.js";
import * as platform from "./platform.js";
import * as service from "./service.js";

const CRASH_EXIT_CODE = 70;

const scope = new lifecycle.Scope("stand-in");
const program = new commander.Command("citronlead-standin")
    .description("Stand-ins for the platform, model engines and plain services, for tests and demos.");

function crash(): void {
    process.exit(CRASH_EXIT_CODE);
}

/** Prints the base address as one JSON line, so that the parent process learns the port. */
function printAddress(listening: exchange.ListeningServer): void {
    process.stdout.write(`${JSON.stringify({ listening: listening.address })}\n`);
}

async function registerHost(platformAddress: string | undefined, entry: object): Promise<void> {
    if (platformAddress !== undefined) {
        await fetch(`${platformAddress}/hosts`, { method: "PUT", body: JSON.stringify(entry) });
    }
}

program.command("platform")
    .option("--address <address>", "IP address to listen on", "127.0.0.1")
    .option("--port <port>", "port to listen on", Number, 0)
    .option("--weight-rate <bytes>", "rate of the weight store, in bytes a second", Number, 2e9)
    .action(async (options) => {
        printAddress(await platform.startPlatform(scope, { ...options, weightRateBytesPerSecond: options.weightRate }));
    });

program.command("engine")
    .requiredOption("--name <name>", "name in the host list")
    .requiredOption("--pool <pool>", "pool in the host list")
    .requiredOption("--role <role>", "prefill or decode")
    .option("--zone <zone>", "availability zone", "zone-a")
    .option("--platform <address>", "base address of the platform to register with")
    .option("--address <address>", "IP address to listen on", "127.0.0.1")
    .option("--port <port>", "port to listen on", Number, 0)
    .option("--model <model>", "model served", "dossierllm")
    .option("--version-served <version>", "version served", "2026-11")
    .option("--slots <count>", "requests held at once", Number, 20)
    .option("--memory-pieces <count>", "pieces of KV cache memory", Number, 1000)
    .option("--piece-tokens <count>", "tokens per piece", Number, 64)
    .option("--prefill-token-ms <ms>", "prefill time of a token", Number, 0.05)
    .option("--decode-token-ms <ms>", "time between tokens", Number, 5)
    .option("--survival-ms <ms>", "how long the result of a prefill is kept", Number, 800)
    .option("--ignore-fencing", "carry out every order, whatever its fencing token")
    .action(async (options) => {
        const listening = await engine.startEngine(scope, {
            ...options,
            version: options.versionServed,
            checksFencing: options.ignoreFencing !== true,
            crash,
        });
        await registerHost(options.platform, makeHostEntry(options, listening));
        printAddress(listening);
    });

program.command("service")
    .requiredOption("--name <name>", "name in the host list")
    .requiredOption("--pool <pool>", "pool in the host list")
    .option("--zone <zone>", "availability zone", "zone-a")
    .option("--platform <address>", "base address of the platform to register with")
    .option("--address <address>", "IP address to listen on", "127.0.0.1")
    .option("--port <port>", "port to listen on", Number, 0)
    .action(async (options) => {
        const listening = await service.startService(scope, { ...options, crash });
        await registerHost(options.platform, makeHostEntry(options, listening));
        printAddress(listening);
    });

interface HostOptions {
    readonly name: string;
    readonly pool: string;
    readonly zone: string;
}

function makeHostEntry(options: HostOptions, listening: exchange.ListeningServer): object {
    const { name, pool, zone } = options;
    return { name, pool, address: listening.address, availabilityZone: zone, state: "live" };
}

for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => void scope.close().then(() => process.exit(0)));
}
await program.parseAsync();
