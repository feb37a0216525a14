import type * as admission from "@citronlead/admission";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membershipDecisions from "@citronlead/membership";
import * as configurationStore from "./configurationstore.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";

/** Tells that this host has gained the right to a partition, and the revision that it must know before it acts. */
export type Gained = (partition: string, right: admission.Right, floorRevision: number) => void;

const READ_AGAIN_MS = 500;
const SLICE_PREFIX = "slice-";

/**
 * Follows which partitions of slices this host gains. The newest configuration revision is read from the key-value service
 * after the right was gained, so that the new owner cannot act under terms older than its predecessor's.
 */
export function followRights(
    context: contexts.Context,
    membership: memberships.Membership,
    gained: Gained,
): void {
    const partitions = membershipDecisions.allPartitions().filter((name) => name.startsWith(SLICE_PREFIX));
    const known = new Map<string, number>();
    const waiting = new Map<string, number>();
    let reading = false;
    const announce = async () => {
        reading = true;
        while (waiting.size > 0 && !context.scope.closed) {
            const batch = [...waiting];
            const floorRevision = await readFloor(context);
            if (floorRevision === undefined) {
                await lifecycle.pause(context.scope, READ_AGAIN_MS);
                continue;
            }
            for (const [partition, fencing] of batch) {
                const right = membership.rightFor(partition);
                if (waiting.get(partition) === fencing) {
                    waiting.delete(partition);
                }
                if (right?.fencing === fencing) {
                    gained(partition, right, floorRevision);
                }
            }
        }
        reading = false;
    };
    const look = () => {
        for (const partition of partitions) {
            const fencing = membership.rightFor(partition)?.fencing;
            if (fencing !== undefined && known.get(partition) !== fencing) {
                known.set(partition, fencing);
                waiting.set(partition, fencing);
            }
        }
        if (waiting.size > 0 && !reading) {
            void announce();
        }
    };
    membership.onChange(look);
    lifecycle.every(context.scope, READ_AGAIN_MS, look);
    look();
}

/** Reads the newest revision that was accepted, or undefined when the service does not answer. */
async function readFloor(context: contexts.Context): Promise<number | undefined> {
    const outcome = await context.keyValue.read(configurationStore.CONFIGURATION_KEY);
    if (outcome.effect !== decision.Effect.Known) {
        return undefined;
    }
    const entry = outcome.value.entries[0];
    return entry === undefined ? 0 : readRevision(entry.value);
}

function readRevision(stored: string): number | undefined {
    try {
        const revision = (JSON.parse(stored) as { readonly revision?: unknown; }).revision;
        return typeof revision === "number" ? revision : undefined;
    }
    catch {
        return undefined;
    }
}
