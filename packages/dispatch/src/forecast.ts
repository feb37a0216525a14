/** Weight of the newest response in the moving average. */
const SMOOTHING_FACTOR = 0.05;
/** Share of the output limit that is expected before any response of the service has been observed. */
const INITIAL_SHARE_OF_LIMIT = 0.4;

/** What is known about the output length of a request before it runs. */
export interface OutputBounds {
    /** Maximum number of output tokens. */
    readonly maxTokens: number;
    /** The caller's estimate in tokens: correct at the median, but often far off. */
    readonly estimatedTokens: number | undefined;
}

/**
 * Forecasts output lengths, so that less engine memory is reserved than the output limit requires. Most responses are
 * much shorter than their limit; reserving the limit for each request would leave a sixth of the memory unused.
 */
export class OutputForecast {
    private readonly means = new Map<string, number>();

    /** Records the length of a response of a service, in tokens. */
    observe(service: string, tokens: number): void {
        const mean = this.means.get(service);
        this.means.set(
            service,
            mean === undefined ? tokens : mean * (1 - SMOOTHING_FACTOR) + tokens * SMOOTHING_FACTOR,
        );
    }

    /**
     * The number of output tokens to expect: the moving average of the service, averaged with the caller's estimate if
     * there is one, and at most the request's limit.
     */
    forecastTokens(service: string, { maxTokens, estimatedTokens }: OutputBounds): number {
        const mean = this.means.get(service) ?? maxTokens * INITIAL_SHARE_OF_LIMIT;
        return Math.min(maxTokens, Math.round(estimatedTokens === undefined ? mean : (mean + estimatedTokens) / 2));
    }
}
