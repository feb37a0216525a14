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
type HostAnswer = controlPorts.ControlAnswer<HostStatus>;

const WAIT_LIMIT_MS = 10_000;
const WAIT_PERIOD_MS = 500;

/** Makes the option that names the control ports of the hosts to wait for. */
export function waitOption(): commander.Option {
    return options.repeatable(
        "--wait <address>",
        "wait until the router with this control port serves by the change; may be repeated",
    );
}

/**
 * Waits until every host that is named serves by the revision, or by no key at all. Says which do not after the limit,
 * and which hosts of the fleet were not named.
 */
export async function waitInForce(
    terminal: terminals.Terminal,
    controls: readonly string[],
    revision: number,
    limitMs: decision.Milliseconds = WAIT_LIMIT_MS,
): Promise<void> {
    const endsAt = lifecycle.monotonicClock() + limitMs;
    let answers = await ask(controls);
    while (answers.some((answer) => !serves(answer, revision)) && lifecycle.monotonicClock() < endsAt) {
        await new Promise((resolve) => setTimeout(resolve, WAIT_PERIOD_MS));
        answers = await ask(controls);
    }
    const late = answers.filter((answer) => !serves(answer, revision));
    const notNamed = hostsNotNamed(answers);
    late.forEach((answer) => terminal.complain(describeLate(answer, revision)));
    if (notNamed.length > 0) {
        terminal.complain(`not asked: ${notNamed.join(", ")}`);
    }
    if (late.length > 0) {
        terminal.finish(exit.ExitCode.Failed);
    }
}

function ask(controls: readonly string[]): Promise<HostAnswer[]> {
    return controlPorts.askAll(controls, "/status", statusSchema);
}

function serves(answer: HostAnswer, revision: number): boolean {
    return answer.value !== undefined && (answer.value.revision >= revision || !answer.value.keysUsable);
}

function describeLate(answer: HostAnswer, revision: number): string {
    return answer.value
        ? `${answer.value.host} serves by revision ${answer.value.revision}, not yet by ${revision}`
        : `${answer.control} cannot be asked: ${answer.problem ?? "no such page"}`;
}

function hostsNotNamed(answers: readonly HostAnswer[]): string[] {
    const statuses = answers.flatMap((answer) => answer.value ?? []);
    const named = new Set(statuses.map((status) => status.host));
    const roster = statuses.flatMap((status) => status.roster.map((entry) => entry.host));
    return [...new Set(roster)].filter((host) => !named.has(host)).sort();
}
