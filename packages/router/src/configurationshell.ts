import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";

/** The configuration that this router works by. */
export interface ConfigurationInForce {
    /** The configuration in force, or undefined before the first was learnt. */
    readonly current: () => configuration.Configuration | undefined;
    /** Whether this router can know of withdrawn keys; if not, requests that need a key are refused. */
    readonly keysUsable: () => boolean;
    /** Calls back after each change. Returns a function that ends it. */
    readonly onChange: (listener: (current: configuration.Configuration) => void) => () => void;
}

/** The key under which the configuration is kept. */
export const CONFIGURATION_KEY = "/citronlead/configuration";

const READ_PERIOD_MS = 500;

/** Follows the configuration in the key-value service. A lower revision never replaces a higher one. */
export function followConfiguration(
    context: contexts.Context,
    _membership: memberships.Membership,
    _links: peers.Peers,
): ConfigurationInForce {
    let current: configuration.Configuration | undefined;
    const listeners = new Set<(current: configuration.Configuration) => void>();
    const refresh = async () => {
        const outcome = await context.keyValue.read(CONFIGURATION_KEY);
        const entry = outcome.effect === decision.Effect.Known ? outcome.value.entries[0] : undefined;
        const read = entry ? configuration.readConfiguration(entry.value) : undefined;
        if (read && read.revision > (current?.revision ?? 0)) {
            current = read;
            context.log.info({ revision: read.revision }, "configuration in force");
            listeners.forEach((listener) => listener(read));
        }
    };
    void refresh();
    lifecycle.every(context.scope, READ_PERIOD_MS, () => void refresh());
    return {
        current: () => current,
        keysUsable: () => true,
        onChange: (listener) => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
}

/** Writes a configuration in place of the one that was read. The result tells whether another operator was faster. */
export function swapConfiguration(
    keyValue: platform.KeyValue,
    next: configuration.Configuration,
    formerModRevision: number,
): Promise<decision.Outcome<platform.Swap>> {
    return keyValue.swap([{ key: CONFIGURATION_KEY, modRevision: formerModRevision }], [{
        kind: platform.ChangeKind.Put,
        key: CONFIGURATION_KEY,
        value: configuration.writeConfiguration(next),
    }]);
}
