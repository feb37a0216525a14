import * as zod from "zod";
import * as fleets from "./fleet.js";
import * as keys from "./keys.js";

/** The configuration in force: what an operator applied, and the keys granted so far, under one revision. */
export interface Configuration {
    /** Grows by one with each accepted change; 0 before the first. */
    readonly revision: number;
    readonly fleet: fleets.Fleet;
    readonly keys: readonly keys.KeyRecord[];
    /** The YAML text that the fleet was read from. */
    readonly text: string;
}

const storedSchema = zod.strictObject({
    revision: zod.int().positive(),
    text: zod.string(),
    keys: zod.array(keys.keyRecordSchema),
});

/** Writes a configuration as it is kept in the key-value service. */
export function writeConfiguration(configuration: Configuration): string {
    const { revision, text, keys: records } = configuration;
    return JSON.stringify({ revision, text, keys: records });
}

/** Reads a stored configuration. Returns undefined if it cannot be used. */
export function readConfiguration(stored: string): Configuration | undefined {
    let json: unknown;
    try {
        json = JSON.parse(stored);
    }
    catch {
        return undefined;
    }
    const parsed = storedSchema.safeParse(json);
    const fleet = parsed.success ? fleets.parseFleet("stored", parsed.data.text) : undefined;
    return parsed.success && fleet?.valid ? { ...parsed.data, fleet: fleet.value } : undefined;
}
