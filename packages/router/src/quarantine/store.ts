import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as zod from "zod";
import type * as contexts from "../context.js";

/** A quarantine as stored for hosts that start later. */
export interface StoredQuarantine {
    readonly fingerprint: string;
    /** The duration when it was stored; a host that loads it later keeps it somewhat longer than the other hosts. */
    readonly durationMs: decision.Milliseconds;
    readonly offences: number;
}

const KEY_PREFIX = "/citronlead/quarantine/";
const RETRY_DELAY_MS = 5_000;
const MAX_SAVE_ATTEMPTS = 60;

const storedQuarantineSchema = zod.object({
    fingerprint: zod.string(),
    durationMs: zod.number().nonnegative(),
    offences: zod.int().nonnegative(),
});

/** Stores quarantines in the key-value service, each under a lease that ends with the quarantine. */
export class QuarantineStore {
    constructor(private readonly context: contexts.Context) {}

    /** Stores a quarantine. Retries for some minutes while the key-value service is unavailable. */
    async save(quarantine: StoredQuarantine): Promise<void> {
        for (let attempt = 0; attempt < MAX_SAVE_ATTEMPTS && !this.context.scope.closed; attempt++) {
            if (await this.trySave(quarantine)) {
                return;
            }
            await lifecycle.pause(this.context.scope, RETRY_DELAY_MS);
        }
    }

    /** Loads all stored quarantines, as soon as the key-value service answers. */
    async load(onQuarantine: (quarantine: StoredQuarantine) => void): Promise<void> {
        while (!this.context.scope.closed) {
            const outcome = await this.context.keyValue.readPrefix(KEY_PREFIX);
            if (outcome.effect === decision.Effect.Known) {
                outcome.value.entries.flatMap((entry) => parseQuarantine(entry.value) ?? []).forEach(onQuarantine);
                return;
            }
            await lifecycle.pause(this.context.scope, RETRY_DELAY_MS);
        }
    }

    private async trySave(quarantine: StoredQuarantine): Promise<boolean> {
        const { keyValue } = this.context;
        const lease = await keyValue.grantLease(Math.ceil(quarantine.durationMs / decision.SECOND_MS));
        if (lease.effect !== decision.Effect.Known) {
            return false;
        }
        const written = await keyValue.swap([], [{
            kind: platform.ChangeKind.Put,
            key: KEY_PREFIX + quarantine.fingerprint,
            value: JSON.stringify(quarantine),
            lease: lease.value.id,
        }]);
        return written.effect === decision.Effect.Known;
    }
}

function parseQuarantine(text: string): StoredQuarantine | undefined {
    try {
        return storedQuarantineSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
