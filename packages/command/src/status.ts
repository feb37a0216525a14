import type * as commander from "commander";
import * as zod from "zod";
import * as controlPorts from "./controlport.js";
import * as exit from "./exit.js";
import * as terminals from "./terminal.js";

const statusSchema = zod.looseObject({
    host: zod.string(),
    availabilityZone: zod.string(),
    revision: zod.number(),
    ready: zod.boolean(),
    settled: zod.boolean(),
    keysUsable: zod.boolean(),
    openRequests: zod.number(),
    roster: zod.array(zod.looseObject({ host: zod.string(), availabilityZone: zod.string() })),
    pools: zod.array(zod.looseObject({
        pool: zod.string(),
        upstreams: zod.array(zod.looseObject({
            name: zod.string(),
            availabilityZone: zod.string(),
            usable: zod.boolean(),
            role: zod.string().optional(),
            running: zod.number().optional(),
            version: zod.string().optional(),
        })),
    })),
});

type HostStatus = zod.output<typeof statusSchema>;

/** Adds the subcommand `citronlead status`. */
export function addStatusCommand(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("status")
        .description("Show hosts, roster, pools and the revision in force, as each router sees them.")
        .addOption(controlPorts.controlOption())
        .option("--json", "print JSON")
        .action((options: { control: string[]; json?: true; }) => showStatus(terminal, options));
}

async function showStatus(
    terminal: terminals.Terminal,
    options: { control: string[]; json?: true; },
): Promise<void> {
    const responses = await controlPorts.queryAll(options.control, "/status", statusSchema);
    const failed = responses.filter((response) => !response.value);
    const hosts = responses.flatMap((response) => response.value ?? []);
    const unreachable = failed.map(({ control, problem }) => ({ control, problem: problem ?? "no such page" }));
    terminals.printResult(terminal, options.json === true, { hosts, unreachable }, () => [
        ...hosts.map(describeHost),
        ...describeRosters(hosts),
        ...hosts.slice(0, 1).flatMap(describePools),
    ]);
    unreachable.forEach(({ control, problem }) => terminal.printError(`${control}: ${problem}`));
    if (unreachable.length > 0) {
        terminal.setExitCode(exit.ExitCode.Unreachable);
    }
}

function describeHost(status: HostStatus): string {
    const states = [
        status.ready ? "ready" : "not ready",
        status.settled ? "settled" : "not settled",
        status.keysUsable ? "keys usable" : "keys not usable",
    ];
    return `${status.host}\t${status.availabilityZone}\trevision ${status.revision}\t${states.join(", ")}\t`
        + `${status.openRequests} open requests`;
}

/** Describes each distinct roster once, with the hosts that report it. */
function describeRosters(hosts: readonly HostStatus[]): string[] {
    const seenBy = new Map<string, string[]>();
    for (const status of hosts) {
        const roster = status.roster.map((entry) => entry.host).join(", ");
        seenBy.set(roster, [...(seenBy.get(roster) ?? []), status.host]);
    }
    return [...seenBy].map(([roster, names]) => `roster: ${roster} (seen by ${names.join(", ")})`);
}

function describePools(status: HostStatus): string[] {
    return status.pools.flatMap(({ pool, upstreams }) => [
        `pool ${pool} (seen by ${status.host})`,
        ...upstreams.map((upstream) => {
            const details = [
                upstream.role,
                upstream.version,
                upstream.running === undefined ? undefined : `${upstream.running} running`,
            ];
            const state = upstream.usable ? "usable" : "not usable";
            return `  ${upstream.name}\t${upstream.availabilityZone}\t${state}\t${
                details.filter((detail) => detail).join(", ")
            }`;
        }),
    ]);
}
