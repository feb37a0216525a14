import type * as admission from "@citronlead/admission";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membershipDecisions from "@citronlead/membership";
import * as configurationStore from "../configuration/store.js";
import type * as contexts from "../context.js";
import type * as memberships from "../membership/shell.js";

/**
 * Called when this host gains the right to a partition. The host must not act for it under a configuration older than
 * floorRevision.
 */
export type OwnershipListener = (partition: string, right: admission.Right, floorRevision: number) => void;

const POLL_INTERVAL_MS = 500;
const SLICE_PREFIX = "slice-";

/**
 * Reports each slice partition that this host gains. The latest configuration revision is read from the key-value
 * service after the right was gained, so that the new owner cannot apply an older rate than the previous owner did.
 */
export function followSliceOwnership(
    context: contexts.Context,
    membership: memberships.Membership,
    onGained: OwnershipListener,
): void {
    const partitions = membershipDecisions.allPartitions().filter((name) => name.startsWith(SLICE_PREFIX));
    const lastFencing = new Map<string, number>();
    const pending = new Map<string, number>();
    let announcing = false;
    const announcePending = async () => {
        announcing = true;
        while (pending.size > 0 && !context.scope.closed) {
            const batch = [...pending];
            const floorRevision = await readFloorRevision(context);
            if (floorRevision === undefined) {
                await lifecycle.pause(context.scope, POLL_INTERVAL_MS);
                continue;
            }
            for (const [partition, fencing] of batch) {
                const right = membership.rightFor(partition);
                if (pending.get(partition) === fencing) {
                    pending.delete(partition);
                }
                if (right?.fencing === fencing) {
                    onGained(partition, right, floorRevision);
                }
            }
        }
        announcing = false;
    };
    const checkPartitions = () => {
        for (const partition of partitions) {
            const fencing = membership.rightFor(partition)?.fencing;
            if (fencing !== undefined && lastFencing.get(partition) !== fencing) {
                lastFencing.set(partition, fencing);
                pending.set(partition, fencing);
            }
        }
        if (pending.size > 0 && !announcing) {
            void announcePending();
        }
    };
    membership.onChange(checkPartitions);
    lifecycle.every(context.scope, POLL_INTERVAL_MS, checkPartitions);
    checkPartitions();
}

/** Reads the latest accepted configuration revision; undefined if the key-value service gives no usable answer. */
async function readFloorRevision(context: contexts.Context): Promise<number | undefined> {
    const outcome = await context.keyValue.read(configurationStore.CONFIGURATION_KEY);
    if (outcome.effect !== decision.Effect.Known) {
        return undefined;
    }
    const entry = outcome.value.entries[0];
    return entry === undefined ? 0 : parseRevision(entry.value);
}

function parseRevision(stored: string): number | undefined {
    try {
        const revision = (JSON.parse(stored) as { readonly revision?: unknown; }).revision;
        return typeof revision === "number" ? revision : undefined;
    }
    catch {
        return undefined;
    }
}
