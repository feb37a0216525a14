import * as lifecycle from "@citronlead/lifecycle";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as processes from "./processes.js";

/** What a fleet consists of. */
export interface FleetOptions {
    /** The first port; every process takes the next ones, each kind on an address of its own. */
    readonly portBase: number;
    readonly availabilityZones: readonly string[];
    readonly routers: number;
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly services: number;
    /** The pool of model engines and the pool of plain services. */
    readonly modelPool: string;
    readonly servicePool: string;
    readonly model: string;
    readonly version: string;
    /** Further options of every engine's stand-in. */
    readonly engineOptions: readonly string[];
    /** Further lines of every router's settings, in YAML. */
    readonly routerSettings: string;
}

/** A router of the fleet. */
export interface FleetRouter {
    readonly host: string;
    readonly process: processes.RunningProcess;
    /** Base addresses of its ports. */
    readonly callers: string;
    readonly control: string;
    readonly settingsFile: string;
}

/** An upstream of the fleet. */
export interface FleetUpstream {
    readonly name: string;
    readonly process: processes.RunningProcess;
    readonly address: string;
    /** Starts the upstream again, at the same address, after its process has ended. */
    readonly restart: () => Promise<processes.RunningProcess>;
}

/** A fleet that runs. */
export interface RunningFleet {
    readonly platform: string;
    readonly routers: readonly FleetRouter[];
    readonly prefillEngines: readonly FleetUpstream[];
    readonly decodeEngines: readonly FleetUpstream[];
    readonly services: readonly FleetUpstream[];
    /** Runs the citronlead command with the key-value service's address added. */
    readonly operate: (...parameters: string[]) => Promise<processes.CommandResult>;
}

/** The sizes of the demo. */
export const smallFleet: FleetOptions = {
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

/** Starts every process of a fleet and waits until all listen. Closing the scope ends them. */
export async function startFleet(scope: lifecycle.Lifecycle, options: FleetOptions): Promise<RunningFleet> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "citronlead-fleet-"));
    scope.own(() => fs.rm(directory, { recursive: true, force: true }));
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
    const engine = (role: string, count: number) =>
        startUpstreams("engine", count, `${options.modelPool}-${role}`, [
            ...["--pool", options.modelPool, "--role", role, "--model", options.model],
            ...["--version-served", options.version, ...options.engineOptions],
        ]);
    const [prefillEngines, decodeEngines, services] = await Promise.all([
        engine("prefill", options.prefillEngines),
        engine("decode", options.decodeEngines),
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
        operate: (...parameters) => processes.runCommand([processes.COMMAND, ...parameters, "--key-value", platform]),
    };
}

function startStandin(scope: lifecycle.Lifecycle, parameters: readonly string[]): Promise<processes.RunningProcess> {
    return processes.startProcess(scope, [processes.STANDIN, ...parameters], (line) => line.includes('"listening"'));
}

async function startRouter(
    scope: lifecycle.Lifecycle,
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
        callers: `http://${address}:${port}`,
        control: `http://${address}:${port + 2}`,
        settingsFile,
    };
}

/** Starts a router with a settings file that is there already. */
export function startRouterProcess(
    scope: lifecycle.Lifecycle,
    settingsFile: string,
): Promise<processes.RunningProcess> {
    return processes.startProcess(
        scope,
        [processes.COMMAND, "router", settingsFile],
        (line) => line.includes('"msg":"started"'),
    );
}

/** Waits until the condition holds. Throws when it does not within the limit, in milliseconds. */
export async function waitUntil(
    what: string,
    condition: () => Promise<boolean> | boolean,
    limitMs: number = 30_000,
): Promise<void> {
    const endsAt = lifecycle.monotonicClock() + limitMs;
    while (!await condition()) {
        if (lifecycle.monotonicClock() > endsAt) {
            throw new Error(`${what} did not come about within ${limitMs} ms`);
        }
        await new Promise((resolve) => setTimeout(resolve, 50));
    }
}

/** What a router's status says that is waited for. */
interface RouterStatus {
    readonly revision: number;
    readonly settled: boolean;
    readonly pools: readonly { readonly upstreams: readonly { readonly name: string; readonly role?: string; }[]; }[];
}

/** Resolves when every router has the revision in force and all engines have reported to at least one of them. */
export async function waitUntilServing(fleet: RunningFleet, revision: number): Promise<void> {
    const engines = fleet.prefillEngines.length + fleet.decodeEngines.length;
    await waitUntil(`every router serving revision ${revision}`, async () => {
        const statuses = await Promise.all(
            fleet.routers.map(async (router) => await (await fetch(`${router.control}/status`)).json() as RouterStatus),
        );
        const upstreams = statuses.flatMap((status) => status.pools).flatMap((pool) => pool.upstreams);
        const reported = new Set(upstreams.filter((one) => one.role !== undefined).map((one) => one.name));
        return reported.size >= engines && statuses.every((status) => status.settled && status.revision >= revision);
    });
}
