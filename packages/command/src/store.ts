import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import * as router from "@citronlead/router";
import * as crypto from "node:crypto";
import * as exit from "./exit.js";
import type * as terminals from "./terminal.js";

/** The stored configuration as it was read. */
export interface Snapshot {
    /** Undefined before a configuration has been applied. */
    readonly configuration: configuration.Configuration | undefined;
    /** Revision of the configuration's key at the key-value service; 0 before the first write. */
    readonly modRevision: number;
    readonly head?: configuration.ConfigurationHead;
}

const REQUEST_TIMEOUT_MS = 5_000;
const MAX_WRITE_ATTEMPTS = 4;
const WRITE_RETRY_DELAY_MS = 300;

/** Connects to the key-value service at an address. */
export function connectKeyValue(address: string): platform.KeyValue {
    return platform.connectKeyValue({ addresses: [address], timeoutMs: REQUEST_TIMEOUT_MS });
}

/** Reads the stored configuration. Prints an error and returns undefined if it cannot. */
export async function readSnapshot(
    terminal: terminals.Terminal,
    keyValue: platform.KeyValue,
): Promise<Snapshot | undefined> {
    const outcome = await router.readConfiguration(keyValue);
    if (outcome.effect !== decision.Effect.Known) {
        terminal.printError(`the key-value service cannot be reached: ${outcome.reason}`);
        terminal.setExitCode(exit.ExitCode.Unreachable);
        return undefined;
    }
    const { head, modRevision, unreadable } = outcome.value;
    if (unreadable) {
        terminal.printError("this version cannot read the stored configuration");
        terminal.setExitCode(exit.ExitCode.Failed);
        return undefined;
    }
    return { configuration: outcome.value.configuration, modRevision, head };
}

/**
 * Writes the next configuration unless the stored one has changed since it was read. Returns whether it took effect, and
 * prints an error if it did not or may not have.
 */
export async function writeConfiguration(
    terminal: terminals.Terminal,
    keyValue: platform.KeyValue,
    previous: Snapshot,
    next: configuration.Configuration,
): Promise<boolean> {
    const writeId = crypto.randomUUID();
    const write = () => router.swapConfiguration(keyValue, next, previous.modRevision, previous.head, writeId);
    const outcome = await retryUntilAnswered(write);
    if (outcome.effect === decision.Effect.None) {
        terminal.printError(`the key-value service cannot be reached; nothing was written: ${outcome.reason}`);
        terminal.setExitCode(exit.ExitCode.Unreachable);
        return false;
    }
    if (outcome.effect === decision.Effect.Unknown) {
        terminal.printError(
            `no answer to the write: revision ${next.revision} may be in force now or later: ${outcome.reason}; `
                + "check the stored configuration before you retry",
        );
        terminal.setExitCode(exit.ExitCode.Unknown);
        return false;
    }
    if (outcome.value.succeeded) {
        return true;
    }
    const current = router.currentHead(outcome.value);
    if (current?.writes.some((entry) => entry.writeId === writeId)) {
        return true;
    }
    terminal.printError(
        `conflict: this change is based on revision ${previous.configuration?.revision ?? 0}, `
            + `but revision ${current?.revision ?? "unknown"} is stored; nothing was written`,
    );
    terminal.setExitCode(exit.ExitCode.Conflict);
    return false;
}

/**
 * Retries a compare-and-swap write until the service answers. If an earlier attempt took effect, the retry fails its
 * comparison and returns what is stored. The outcome is unknown if no attempt was answered and any may have taken effect.
 */
async function retryUntilAnswered(
    write: () => Promise<decision.Outcome<platform.SwapResult>>,
): Promise<decision.Outcome<platform.SwapResult>> {
    let outcome = await write();
    let inDoubt = outcome.effect === decision.Effect.Unknown;
    for (let attempts = 1; attempts < MAX_WRITE_ATTEMPTS && outcome.effect !== decision.Effect.Known; attempts++) {
        await new Promise((resolve) => setTimeout(resolve, WRITE_RETRY_DELAY_MS));
        outcome = await write();
        inDoubt ||= outcome.effect === decision.Effect.Unknown;
    }
    return outcome.effect === decision.Effect.None && inDoubt ? decision.unknownEffect(outcome.reason) : outcome;
}
