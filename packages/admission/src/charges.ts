import type * as decision from "@citronlead/decision";

/** The state of a charge that an owner has decided. */
export enum ChargeState {
    Granted = "granted",
    Refused = "refused",
    /** Settled, or cancelled before it arrived. */
    Settled = "settled",
}

/** What an owner keeps about a charge that it has decided, to answer repeated requests and to settle it. */
export interface ChargeRecord {
    readonly state: ChargeState;
    readonly tokens: number;
    /** The version of the bucket after the charge. */
    readonly bucketVersion: number;
    readonly retryAfterMs: decision.Milliseconds;
    /** When the record may be dropped. */
    readonly expiresAt: decision.Milliseconds;
}
