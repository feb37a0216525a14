import * as decision from "@citronlead/decision";
import * as operations from "@citronlead/operations";
import type * as contexts from "../context.js";

/** A lease at the key-value service under which this host writes operation records. */
export interface RecordLease {
    readonly id: string;
    /** The earliest time at which the lease can end, on the clock of this process: counted from the request for it. */
    readonly endsAt: decision.Milliseconds;
}

/** One lease shared by all records that this host writes in a period, so that leases cost few writes. */
export class SharedRecordLease {
    private lease: RecordLease | undefined;
    private pendingGrant: Promise<RecordLease | undefined> | undefined;

    constructor(private readonly context: contexts.Context) {}

    /** The lease for a new record; undefined if the key-value service does not grant one. */
    async current(): Promise<RecordLease | undefined> {
        const usableUntil = (this.lease?.endsAt ?? 0) - operations.RETENTION_MS;
        if (this.lease && this.context.clock() + REUSE_MARGIN_MS < usableUntil) {
            return this.lease;
        }
        this.pendingGrant ??= this.grant().finally(() => this.pendingGrant = undefined);
        return this.pendingGrant;
    }

    private async grant(): Promise<RecordLease | undefined> {
        const askedAt = this.context.clock();
        const outcome = await this.context.keyValue.grantLease(operations.LEASE_MS / decision.SECOND_MS);
        if (outcome.effect !== decision.Effect.Known) {
            return undefined;
        }
        const { id, timeToLiveSeconds } = outcome.value;
        this.lease = { id, endsAt: askedAt + timeToLiveSeconds * decision.SECOND_MS };
        return this.lease;
    }
}

/** A lease is replaced this long before new records may no longer use it, so that a claim made now is still in time. */
const REUSE_MARGIN_MS = 60 * decision.SECOND_MS;
