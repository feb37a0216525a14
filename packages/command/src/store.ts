import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import * as router from "@citronlead/router";
import * as exit from "./exit.js";
import type * as terminals from "./terminal.js";

/** The stored configuration and the revision of its key at the key-value service; both 0 before the first change. */
export interface Stored {
    readonly configuration: configuration.Configuration | undefined;
    readonly modRevision: number;
}

const TIMEOUT_MS = 5_000;

/** Connects to the key-value service at the address that the operator gave. */
export function connect(address: string): platform.KeyValue {
    return platform.connectKeyValue({ addresses: [address], timeoutMs: TIMEOUT_MS });
}

/** Reads the stored configuration. Says why and returns undefined if it can't. */
export async function readStored(
    terminal: terminals.Terminal,
    keyValue: platform.KeyValue,
): Promise<Stored | undefined> {
    const outcome = await keyValue.read(router.CONFIGURATION_KEY);
    if (outcome.effect !== decision.Effect.Known) {
        terminal.complain(`the key-value service cannot be reached: ${outcome.reason}`);
        terminal.finish(exit.ExitCode.Unreachable);
        return undefined;
    }
    const entry = outcome.value.entries[0];
    if (!entry) {
        return { configuration: undefined, modRevision: 0 };
    }
    const read = configuration.readConfiguration(entry.value);
    if (!read) {
        terminal.complain("the stored configuration cannot be read by this version");
        terminal.finish(exit.ExitCode.Failed);
        return undefined;
    }
    return { configuration: read, modRevision: entry.modRevision };
}

/** Writes the next configuration unless another operator was faster. Returns whether it took effect. */
export async function writeNext(
    terminal: terminals.Terminal,
    keyValue: platform.KeyValue,
    former: Stored,
    next: configuration.Configuration,
): Promise<boolean> {
    const outcome = await router.swapConfiguration(keyValue, next, former.modRevision);
    if (outcome.effect === decision.Effect.None) {
        terminal.complain(`the key-value service cannot be reached, nothing was written: ${outcome.reason}`);
        terminal.finish(exit.ExitCode.Unreachable);
        return false;
    }
    if (outcome.effect === decision.Effect.Unknown) {
        terminal.complain(`the answer was lost, the change may have taken effect: ${outcome.reason}`);
        terminal.finish(exit.ExitCode.Unknown);
        return false;
    }
    if (!outcome.value.succeeded) {
        const winner = configuration.readConfiguration(outcome.value.current[0]?.value ?? "");
        terminal.complain(
            `conflict: this change is based on revision ${former.configuration?.revision ?? 0}, `
                + `but revision ${winner?.revision ?? "unknown"} is stored; nothing was written`,
        );
        terminal.finish(exit.ExitCode.Conflict);
    }
    return outcome.value.succeeded;
}
