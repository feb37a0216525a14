/** One call to an upstream, as it is logged. Times are relative to the arrival of the request. */
export interface CallRecord {
    readonly call: string;
    readonly upstream: string;
    readonly softwareVersion: string;
    readonly result: string;
    readonly startedMs: number;
    readonly tookMs: number;
}
