/** What decides how much memory a request leaves to others. */
export interface Entitlement {
    /** Whether the request can still meet its latency target. */
    readonly onTime: boolean;
    /** Mean reservation of the requests of its service, in tokens. */
    readonly typicalTokens: number;
}

/**
 * Memory that must be free at an engine besides what a request itself reserves, in tokens. Answers load beyond the
 * engines' memory, where hosts do not see each other's queues: a request that is late already takes only what another
 * that can still be on time, at any host, would not need at once.
 */
export function headroomTokens({ onTime, typicalTokens }: Entitlement): number {
    return onTime ? 0 : Math.round(typicalTokens);
}

/** Weight of the newest reservation in the moving average. */
const SMOOTHING_FACTOR = 0.05;

/** Moving average of the sizes of reservations, in tokens. */
export class TypicalReservation {
    private mean: number | undefined;

    observe(tokens: number): void {
        this.mean = this.mean === undefined ? tokens : this.mean + (tokens - this.mean) * SMOOTHING_FACTOR;
    }

    get tokens(): number {
        return this.mean ?? 0;
    }
}
