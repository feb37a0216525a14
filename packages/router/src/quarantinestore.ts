import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as zod from "zod";
import type * as contexts from "./context.js";

/** A quarantine as it is kept for hosts that start. */
export interface KeptQuarantine {
    readonly fingerprint: string;
    /** How long it lasted when it was kept; a host that reads it later holds it somewhat longer than the others. */
    readonly durationMs: decision.Milliseconds;
    readonly offences: number;
}

const PREFIX = "/citronlead/quarantine/";
const AGAIN_MS = 5_000;
const KEEP_TRIES = 60;

const keptSchema = zod.object({
    fingerprint: zod.string(),
    durationMs: zod.number().nonnegative(),
    offences: zod.int().nonnegative(),
});

/** Keeps quarantines in the key-value service, each under a lease that ends with it. */
export class QuarantineStore {
    constructor(private readonly context: contexts.Context) {}

    /** Keeps a quarantine; tries again for some minutes while the service is away. */
    async keep(quarantine: KeptQuarantine): Promise<void> {
        for (let tries = 0; tries < KEEP_TRIES && !this.context.scope.closed; tries++) {
            if (await this.tryKeep(quarantine)) {
                return;
            }
            await lifecycle.pause(this.context.scope, AGAIN_MS);
        }
    }

    /** Reads what is kept, as soon as the service answers. */
    async read(take: (quarantine: KeptQuarantine) => void): Promise<void> {
        while (!this.context.scope.closed) {
            const outcome = await this.context.keyValue.readPrefix(PREFIX);
            if (outcome.effect === decision.Effect.Known) {
                outcome.value.entries.flatMap((entry) => readKept(entry.value) ?? []).forEach(take);
                return;
            }
            await lifecycle.pause(this.context.scope, AGAIN_MS);
        }
    }

    private async tryKeep(quarantine: KeptQuarantine): Promise<boolean> {
        const { keyValue } = this.context;
        const lease = await keyValue.grantLease(Math.ceil(quarantine.durationMs / decision.SECOND_MS));
        if (lease.effect !== decision.Effect.Known) {
            return false;
        }
        const written = await keyValue.swap([], [{
            kind: platform.ChangeKind.Put,
            key: PREFIX + quarantine.fingerprint,
            value: JSON.stringify(quarantine),
            lease: lease.value.id,
        }]);
        return written.effect === decision.Effect.Known;
    }
}

function readKept(text: string): KeptQuarantine | undefined {
    try {
        return keptSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
