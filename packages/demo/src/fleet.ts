import * as lifecycle from "@citronlead/lifecycle";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as processes from "./processes.js";

/** Size and settings of a fleet. */
export interface FleetOptions {
    /** The first port; processes take the next ones. The platform, upstreams and routers each have their own address. */
    readonly portBase: number;
    readonly availabilityZones: readonly string[];
    readonly routers: number;
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly services: number;
    /** Names of the pool of model engines and the pool of plain services. */
    readonly modelPool: string;
    readonly servicePool: string;
    readonly model: string;
    readonly version: string;
    /** Additional command line options for the stand-in of every engine. */
    readonly engineOptions: readonly string[];
    /** Additional lines for the settings of every router, in YAML. */
    readonly routerSettings: string;
}

/** A running router of a fleet. */
export interface FleetRouter {
    readonly host: string;
    readonly process: processes.RunningProcess;
    /** Base URLs for callers and for the control port. */
    readonly callerAddress: string;
    readonly controlAddress: string;
    readonly settingsFile: string;
}

/** A running upstream of a fleet. */
export interface FleetUpstream {
    readonly name: string;
    readonly process: processes.RunningProcess;
    readonly address: string;
    /** Restarts the upstream at the same address after its process has ended. */
    readonly restart: () => Promise<processes.RunningProcess>;
}

/** A running fleet. */
export interface RunningFleet {
    /** Base URL of the stand-in for the key-value service, the host list and the weight store. */
    readonly platform: string;
    readonly routers: readonly FleetRouter[];
    readonly prefillEngines: readonly FleetUpstream[];
    readonly decodeEngines: readonly FleetUpstream[];
    readonly services: readonly FleetUpstream[];
    /** Runs the citronlead command with the `--key-value` option for this fleet. */
    readonly runCitronlead: (...parameters: string[]) => Promise<processes.CommandResult>;
}

/** The fleet of the demo. */
export const smallFleetOptions: FleetOptions = {
    portBase: 17_000,
    availabilityZones: ["braga-a", "porto-b", "gmr-c"],
    routers: 3,
    prefillEngines: 2,
    decodeEngines: 2,
    services: 1,
    modelPool: "dossierllm",
    servicePool: "salescounter",
    model: "dossierllm",
    version: "2026-11",
    engineOptions: [],
    routerSettings: "",
};

const PORTS_PER_ROUTER = 3;

/** Starts all processes of a fleet and resolves once they are ready. Closing the scope ends them. */
export async function startFleet(scope: lifecycle.Scope, options: FleetOptions): Promise<RunningFleet> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "citronlead-fleet-"));
    scope.defer(() => fs.rm(directory, { recursive: true, force: true }));
    const platform = `http://127.0.0.1:${options.portBase}`;
    await startStandin(scope, ["platform", "--address", "127.0.0.1", "--port", String(options.portBase)]);
    let upstreamPort = options.portBase + 1;
    const startUpstreams = (kind: string, count: number, name: string, parameters: readonly string[]) =>
        Promise.all(Array.from({ length: count }, async (_, index): Promise<FleetUpstream> => {
            const port = upstreamPort++;
            const fullName = `${name}-${index + 1}`;
            const zone = options.availabilityZones[index % options.availabilityZones.length] ?? "zone-a";
            const restart = () =>
                startStandin(scope, [
                    ...[kind, "--address", "127.0.0.11", "--port", String(port), "--platform", platform],
                    ...["--name", fullName, "--zone", zone, ...parameters],
                ]);
            return { name: fullName, process: await restart(), address: `http://127.0.0.11:${port}`, restart };
        }));
    const startEngines = (role: string, count: number) =>
        startUpstreams("engine", count, `${options.modelPool}-${role}`, [
            ...["--pool", options.modelPool, "--role", role, "--model", options.model],
            ...["--version-served", options.version, ...options.engineOptions],
        ]);
    const [prefillEngines, decodeEngines, services] = await Promise.all([
        startEngines("prefill", options.prefillEngines),
        startEngines("decode", options.decodeEngines),
        startUpstreams("service", options.services, options.servicePool, ["--pool", options.servicePool]),
    ]);
    const routers = await Promise.all(
        Array.from({ length: options.routers }, (_, index) => startRouter(scope, options, platform, directory, index)),
    );
    return {
        platform,
        routers,
        prefillEngines,
        decodeEngines,
        services,
        runCitronlead: (...parameters) =>
            processes.runCommand([processes.CITRONLEAD_PROGRAM, ...parameters, "--key-value", platform]),
    };
}

function startStandin(scope: lifecycle.Scope, parameters: readonly string[]): Promise<processes.RunningProcess> {
    return processes.startProcess(
        scope,
        [processes.STANDIN_PROGRAM, ...parameters],
        (line) => line.includes('"listening"'),
    );
}

async function startRouter(
    scope: lifecycle.Scope,
    options: FleetOptions,
    platform: string,
    directory: string,
    index: number,
): Promise<FleetRouter> {
    const zone = options.availabilityZones[index % options.availabilityZones.length] ?? "zone-a";
    const host = `${zone}-${index + 1}`;
    const port = options.portBase + index * PORTS_PER_ROUTER;
    const address = "127.0.0.21";
    const settingsFile = path.join(directory, `${host}.yaml`);
    await fs.writeFile(
        settingsFile,
        `host: ${host}
availabilityZone: ${zone}
callers: { address: ${address}, port: ${port} }
peers: { address: ${address}, port: ${port + 1} }
control: { address: ${address}, port: ${port + 2} }
platform:
  keyValue: ["${platform}"]
  hostList: "${platform}"
  weightStore: "${platform}"
${options.routerSettings}`,
    );
    const running = await startRouterProcess(scope, settingsFile);
    return {
        host,
        process: running,
        callerAddress: `http://${address}:${port}`,
        controlAddress: `http://${address}:${port + 2}`,
        settingsFile,
    };
}

/** Starts a router with an existing settings file. */
export function startRouterProcess(
    scope: lifecycle.Scope,
    settingsFile: string,
): Promise<processes.RunningProcess> {
    return processes.startProcess(
        scope,
        [processes.CITRONLEAD_PROGRAM, "router", settingsFile],
        (line) => line.includes('"msg":"started"'),
    );
}

/** Polls until the condition holds. Throws on a timeout, in milliseconds. */
export async function waitUntil(
    description: string,
    condition: () => Promise<boolean> | boolean,
    timeoutMs: number = 30_000,
): Promise<void> {
    const endsAt = lifecycle.monotonicClock() + timeoutMs;
    while (!await condition()) {
        if (lifecycle.monotonicClock() > endsAt) {
            throw new Error(`waiting for ${description} timed out after ${timeoutMs} ms`);
        }
        await new Promise((resolve) => setTimeout(resolve, 50));
    }
}

/** Part of a router's status page that `waitUntilServing` reads. */
interface RouterStatus {
    readonly revision: number;
    readonly settled: boolean;
    readonly pools: readonly { readonly upstreams: readonly { readonly name: string; readonly role?: string; }[]; }[];
}

/** Resolves when every router serves the revision and every engine has reported to at least one router. */
export async function waitUntilServing(fleet: RunningFleet, revision: number): Promise<void> {
    const engines = fleet.prefillEngines.length + fleet.decodeEngines.length;
    await waitUntil(`every router to serve revision ${revision}`, async () => {
        const statuses = await Promise.all(
            fleet.routers.map(async (router) =>
                await (await fetch(`${router.controlAddress}/status`)).json() as RouterStatus
            ),
        );
        const upstreams = statuses.flatMap((status) => status.pools).flatMap((pool) => pool.upstreams);
        const reported = new Set(upstreams.filter((one) => one.role !== undefined).map((one) => one.name));
        return reported.size >= engines && statuses.every((status) => status.settled && status.revision >= revision);
    });
}
