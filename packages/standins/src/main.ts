import * as lifecycle from "@citronlead/lifecycle";
import * as commander from "commander";
import * as engine from "./engine.js";
import * as exchange from "./exchange.js";
import * as platform from "./platform.js";
import * as service from "./service.js";

const CRASH_EXIT_CODE = 70;

const scope = new lifecycle.Lifecycle("stand-in");
const program = new commander.Command("citronlead-standin")
    .description("Stand-ins for the platform, model engines and plain services, for tests and demos.");

function crash(): void {
    process.exit(CRASH_EXIT_CODE);
}

/** Prints one line with the address, so that whoever started the process knows where it listens. */
function announce(listening: exchange.Listening): void {
    process.stdout.write(`${JSON.stringify({ listening: listening.address })}\n`);
}

async function register(platformAddress: string | undefined, row: object): Promise<void> {
    if (platformAddress !== undefined) {
        await fetch(`${platformAddress}/hosts`, { method: "PUT", body: JSON.stringify(row) });
    }
}

program.command("platform")
    .option("--address <address>", "IP number to listen on", "127.0.0.1")
    .option("--port <port>", "port to listen on", Number, 0)
    .option("--weight-rate <bytes>", "rate of the weight store, in bytes a second", Number, 2e9)
    .action(async (options) => {
        announce(await platform.startPlatform(scope, { ...options, weightRateBytesPerSecond: options.weightRate }));
    });

program.command("engine")
    .requiredOption("--name <name>", "name in the host list")
    .requiredOption("--pool <pool>", "pool in the host list")
    .requiredOption("--role <role>", "prefill or decode")
    .option("--zone <zone>", "availability zone", "zone-a")
    .option("--platform <address>", "platform to register with")
    .option("--address <address>", "IP number to listen on", "127.0.0.1")
    .option("--port <port>", "port to listen on", Number, 0)
    .option("--model <model>", "model served", "dossierllm")
    .option("--version-served <version>", "version served", "2026-11")
    .option("--slots <count>", "requests held at once", Number, 20)
    .option("--memory-pieces <count>", "pieces of memory", Number, 1000)
    .option("--piece-tokens <count>", "tokens in a piece", Number, 64)
    .option("--prefill-token-ms <ms>", "time of the prefill of a token", Number, 0.05)
    .option("--decode-token-ms <ms>", "time between tokens", Number, 5)
    .option("--survival-ms <ms>", "how long the result of a prefill survives", Number, 800)
    .option("--ignore-fencing", "carry out every order")
    .action(async (options) => {
        const listening = await engine.startEngine(scope, {
            ...options,
            version: options.versionServed,
            checksFencing: options.ignoreFencing !== true,
            crash,
        });
        await register(options.platform, hostRow(options, listening));
        announce(listening);
    });

program.command("service")
    .requiredOption("--name <name>", "name in the host list")
    .requiredOption("--pool <pool>", "pool in the host list")
    .option("--zone <zone>", "availability zone", "zone-a")
    .option("--platform <address>", "platform to register with")
    .option("--address <address>", "IP number to listen on", "127.0.0.1")
    .option("--port <port>", "port to listen on", Number, 0)
    .action(async (options) => {
        const listening = await service.startService(scope, { ...options, crash });
        await register(options.platform, hostRow(options, listening));
        announce(listening);
    });

interface HostOptions {
    readonly name: string;
    readonly pool: string;
    readonly zone: string;
}

function hostRow(options: HostOptions, listening: exchange.Listening): object {
    const { name, pool, zone } = options;
    return { name, pool, address: listening.address, availabilityZone: zone, state: "live" };
}

for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => void scope.close().then(() => process.exit(0)));
}
await program.parseAsync();
