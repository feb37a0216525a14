/** Weight of the newest answer in the mean. */
const MEAN_WEIGHT = 0.05;
/** Part of the limit that an answer is taken for before any has been seen. */
const FIRST_SHARE = 0.4;

/** What is known of the output of a request before it runs. */
export interface OutputBounds {
    /** Output tokens at most. */
    readonly most: number;
    /** The caller's estimate in tokens: right at the median, often far off. */
    readonly estimate: number | undefined;
}

/**
 * Forecasts output lengths. Load: answers far shorter than their limits while engine memory is scarce. Reserving the limit
 * for each request would leave a sixth of the memory unused.
 */
export class OutputForecast {
    private readonly means = new Map<string, number>();

    /** Takes in the length of an answer of a service, in tokens. */
    learn(service: string, tokens: number): void {
        const mean = this.means.get(service);
        this.means.set(service, mean === undefined ? tokens : mean * (1 - MEAN_WEIGHT) + tokens * MEAN_WEIGHT);
    }

    /** Tokens to expect: the mean of the service, halfway to the caller's estimate if there is one. */
    expect(service: string, { most, estimate }: OutputBounds): number {
        const mean = this.means.get(service) ?? most * FIRST_SHARE;
        return Math.min(most, Math.round(estimate === undefined ? mean : (mean + estimate) / 2));
    }
}
