import * as decision from "@citronlead/decision";
import * as operations from "@citronlead/operations";
import type * as contexts from "./context.js";

/** The lease under which this host makes records now. */
export interface RecordLease {
    readonly id: string;
    /** The earliest end of the lease, on this process's clock: it counts from when it was asked for. */
    readonly endsAt: decision.Milliseconds;
}

/** Shares one lease among the records that a host makes in a period, so that leases cost few writes. */
export class RecordLeases {
    private held: RecordLease | undefined;
    private asking: Promise<RecordLease | undefined> | undefined;

    constructor(private readonly context: contexts.Context) {}

    /** The lease for a new record, or undefined if the key-value service grants none. */
    async current(): Promise<RecordLease | undefined> {
        const usableUntil = (this.held?.endsAt ?? 0) - operations.RETENTION_MS;
        if (this.held && this.context.clock() + MARGIN_MS < usableUntil) {
            return this.held;
        }
        this.asking ??= this.ask().finally(() => this.asking = undefined);
        return this.asking;
    }

    private async ask(): Promise<RecordLease | undefined> {
        const askedAt = this.context.clock();
        const outcome = await this.context.keyValue.grantLease(operations.LEASE_MS / decision.SECOND_MS);
        if (outcome.effect !== decision.Effect.Known) {
            return undefined;
        }
        const { id, timeToLiveSeconds } = outcome.value;
        this.held = { id, endsAt: askedAt + timeToLiveSeconds * decision.SECOND_MS };
        return this.held;
    }
}

/** A lease that is used up this soon is replaced, so that a claim made now still finds it long enough. */
const MARGIN_MS = 60 * decision.SECOND_MS;
