import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import * as router from "@citronlead/router";
import * as crypto from "node:crypto";
import * as exit from "./exit.js";
import type * as terminals from "./terminal.js";

/** The stored configuration and the revision of its key at the key-value service; 0 before the first change. */
export interface Stored {
    readonly configuration: configuration.Configuration | undefined;
    readonly modRevision: number;
    readonly head?: configuration.ConfigurationHead;
}

const TIMEOUT_MS = 5_000;
const WRITE_TRIES = 4;
const WRITE_PAUSE_MS = 300;

/** Connects to the key-value service at the address that the operator gave. */
export function connect(address: string): platform.KeyValue {
    return platform.connectKeyValue({ addresses: [address], timeoutMs: TIMEOUT_MS });
}

/** Reads the stored configuration. Says why and returns undefined if it can't. */
export async function readStored(
    terminal: terminals.Terminal,
    keyValue: platform.KeyValue,
): Promise<Stored | undefined> {
    const outcome = await router.readConfiguration(keyValue);
    if (outcome.effect !== decision.Effect.Known) {
        terminal.complain(`the key-value service cannot be reached: ${outcome.reason}`);
        terminal.finish(exit.ExitCode.Unreachable);
        return undefined;
    }
    const { head, modRevision, unreadable } = outcome.value;
    if (unreadable) {
        terminal.complain("the stored configuration cannot be read by this version");
        terminal.finish(exit.ExitCode.Failed);
        return undefined;
    }
    return { configuration: outcome.value.configuration, modRevision, head };
}

/** Writes the next configuration unless another operator was faster. Returns whether it took effect. */
export async function writeNext(
    terminal: terminals.Terminal,
    keyValue: platform.KeyValue,
    former: Stored,
    next: configuration.Configuration,
): Promise<boolean> {
    const writeId = crypto.randomUUID();
    const write = () => router.swapConfiguration(keyValue, next, former.modRevision, former.head, writeId);
    const outcome = await repeatWhileUnanswered(write);
    if (outcome.effect === decision.Effect.None) {
        terminal.complain(`the key-value service cannot be reached, nothing was written: ${outcome.reason}`);
        terminal.finish(exit.ExitCode.Unreachable);
        return false;
    }
    if (outcome.effect === decision.Effect.Unknown) {
        terminal.complain(
            `the answer was lost, revision ${next.revision} may be in force or come into force yet: ${outcome.reason}; `
                + "look at the stored configuration before you try again",
        );
        terminal.finish(exit.ExitCode.Unknown);
        return false;
    }
    if (outcome.value.succeeded) {
        return true;
    }
    const current = router.currentHead(outcome.value);
    if (current?.writes.some((entry) => entry.writeId === writeId)) {
        return true;
    }
    terminal.complain(
        `conflict: this change is based on revision ${former.configuration?.revision ?? 0}, `
            + `but revision ${current?.revision ?? "unknown"} is stored; nothing was written`,
    );
    terminal.finish(exit.ExitCode.Conflict);
    return false;
}

/**
 * Repeats a write that names what it replaces until the service answers: if the first took effect, the repeat fails and
 * shows what is stored. A try that may have had an effect outweighs later ones that had none.
 */
async function repeatWhileUnanswered(
    write: () => Promise<decision.Outcome<platform.Swap>>,
): Promise<decision.Outcome<platform.Swap>> {
    let outcome = await write();
    let inDoubt = outcome.effect === decision.Effect.Unknown;
    for (let tries = 1; tries < WRITE_TRIES && outcome.effect !== decision.Effect.Known; tries++) {
        await new Promise((resolve) => setTimeout(resolve, WRITE_PAUSE_MS));
        outcome = await write();
        inDoubt ||= outcome.effect === decision.Effect.Unknown;
    }
    return outcome.effect === decision.Effect.None && inDoubt ? decision.unknownEffect(outcome.reason) : outcome;
}
