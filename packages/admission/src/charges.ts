import type * as decision from "@citronlead/decision";

/** How a charge stands in an owner's memory. */
export enum RecordState {
    Granted = "granted",
    Refused = "refused",
    /** Settled, or cancelled before it arrived. */
    Settled = "settled",
}

/** What an owner remembers of a charge that it has decided. */
export interface ChargeRecord {
    readonly state: RecordState;
    readonly tokens: number;
    /** The step of the bucket after the charge. */
    readonly bucketStep: number;
    readonly retryAfterMs: decision.Milliseconds;
    /** When the record may be dropped. */
    readonly until: decision.Milliseconds;
}
