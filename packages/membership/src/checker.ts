import * as decision from "@citronlead/decision";
import type * as rights from "./rights.js";
import type * as tables from "./table.js";

/** A host that could act for a partition at one moment. */
export interface Holder {
    /** Identifies the process. */
    readonly holder: string;
    readonly right: rights.Right;
}

/**
 * Checks in test runs that no partition ever has two owners and that fencing tokens only increase, over all hosts. Its
 * methods throw a BrokenInvariantError otherwise.
 */
export class OwnershipChecker {
    private readonly highestFencing = new Map<string, { fencing: number; holder: string; }>();

    /** Checks all hosts that could act for a partition at one moment. */
    observeHolders(partition: string, holders: readonly Holder[]): void {
        decision.invariant(
            holders.length <= 1,
            () => `${partition} has ${holders.length} owners: ${JSON.stringify(holders)}`,
        );
        holders.forEach((holder) => this.observeAction(partition, holder));
    }

    /** Checks one action of a host against the fencing tokens seen so far. */
    observeAction(partition: string, { holder, right }: Holder): void {
        const former = this.highestFencing.get(partition);
        decision.invariant(
            former === undefined || right.fencing >= former.fencing,
            () => `${partition}: ${holder} acts with fencing token ${right.fencing} after ${JSON.stringify(former)}`,
        );
        decision.invariant(
            former?.fencing !== right.fencing || former.holder === holder,
            () => `${partition}: ${holder} acts with the fencing token ${right.fencing} of ${former?.holder}`,
        );
        this.highestFencing.set(partition, { fencing: right.fencing, holder });
    }

    /** Checks that a table keeps all partitions of the former one, and that new owners have greater fencing tokens. */
    observeTableChange(former: tables.OwnershipTable, next: tables.OwnershipTable): void {
        for (const [partition, owner] of Object.entries(former)) {
            const later = next[partition];
            const same = later?.host === owner.host && later.incarnation === owner.incarnation;
            decision.invariant(
                later !== undefined && (same ? later.fencing >= owner.fencing : later.fencing > owner.fencing),
                () => `${partition}: owner ${JSON.stringify(later)} may not follow ${JSON.stringify(owner)}`,
            );
        }
    }
}
