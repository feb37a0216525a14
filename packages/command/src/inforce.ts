import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import type * as commander from "commander";
import * as zod from "zod";
import * as controlPorts from "./controlport.js";
import * as exit from "./exit.js";
import * as options from "./option.js";
import type * as terminals from "./terminal.js";

const statusSchema = zod.looseObject({
    host: zod.string(),
    revision: zod.number(),
    keysUsable: zod.boolean(),
    roster: zod.array(zod.looseObject({ host: zod.string() })),
});

type HostStatus = zod.output<typeof statusSchema>;
type HostResponse = controlPorts.ControlResponse<HostStatus>;

const WAIT_TIMEOUT_MS = 10_000;
const POLL_PERIOD_MS = 500;

/** Creates the `--wait` option, which lists the control ports of the hosts to wait for. */
export function waitOption(): commander.Option {
    return options.repeatableOption(
        "--wait <address>",
        "wait until the change is in force at the router with this control port; may be repeated",
    );
}

/**
 * Waits until every named host either has this revision or a later one in force, or accepts no keys at all. Reports the
 * hosts that do neither when the timeout expires, and the hosts in their rosters that were not named.
 */
export async function waitUntilInForce(
    terminal: terminals.Terminal,
    controls: readonly string[],
    revision: number,
    timeoutMs: decision.Milliseconds = WAIT_TIMEOUT_MS,
): Promise<void> {
    const deadline = lifecycle.monotonicClock() + timeoutMs;
    let responses = await queryStatus(controls);
    while (responses.some((response) => !hasTakenEffect(response, revision)) && lifecycle.monotonicClock() < deadline) {
        await new Promise((resolve) => setTimeout(resolve, POLL_PERIOD_MS));
        responses = await queryStatus(controls);
    }
    const lagging = responses.filter((response) => !hasTakenEffect(response, revision));
    const notAsked = findHostsNotAsked(responses);
    lagging.forEach((response) => terminal.printError(describeLagging(response, revision)));
    if (notAsked.length > 0) {
        terminal.printError(`hosts not asked because --wait does not name them: ${notAsked.join(", ")}`);
    }
    if (lagging.length > 0) {
        terminal.setExitCode(exit.ExitCode.Failed);
    }
}

function queryStatus(controls: readonly string[]): Promise<HostResponse[]> {
    return controlPorts.queryAll(controls, "/status", statusSchema);
}

/** Whether a host has the revision or a later one in force, or accepts no keys because its own may be outdated. */
function hasTakenEffect(response: HostResponse, revision: number): boolean {
    return response.value !== undefined && (response.value.revision >= revision || !response.value.keysUsable);
}

function describeLagging(response: HostResponse, revision: number): string {
    return response.value
        ? `${response.value.host} has revision ${response.value.revision} in force, not yet ${revision}`
        : `${response.control} gave no status: ${response.problem ?? "no such page"}`;
}

/** Hosts in the rosters of the named hosts that were not named themselves, sorted. */
function findHostsNotAsked(responses: readonly HostResponse[]): string[] {
    const statuses = responses.flatMap((response) => response.value ?? []);
    const named = new Set(statuses.map((status) => status.host));
    const roster = statuses.flatMap((status) => status.roster.map((entry) => entry.host));
    return [...new Set(roster)].filter((host) => !named.has(host)).sort();
}
