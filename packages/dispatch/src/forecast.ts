/** What is known about the output length of a request before it runs. */
export interface OutputBounds {
    /** Maximum number of output tokens. */
    readonly maxTokens: number;
    /** The caller's estimate in tokens: correct at the median, but often far off. */
    readonly estimatedTokens: number | undefined;
}

/** Forecast of the output length of one request, in tokens; both values are at most its limit. */
export interface OutputLength {
    readonly median: number;
    /** A length that few requests exceed. */
    readonly high: number;
}

/** Parameters of a normal distribution of a logarithm. */
interface LogNormal {
    readonly mean: number;
    readonly variance: number;
}

/** Median of the output length, as a share of the limit, before any response has been observed. */
const INITIAL_MEDIAN_SHARE = 0.45;
/** Standard deviation of the logarithm of lengths, and of the error of estimates, before any has been observed. */
const INITIAL_SPREAD = 0.5;
/** Number of responses that the initial parameters count for. */
const INITIAL_WEIGHT = 8;
/** Maximum number of responses that the parameters are averaged over, so that they follow a change of the traffic. */
const MAX_WEIGHT = 200;
/** Standard deviations above the median at which a length is high: one request in fifty exceeds it. */
const HIGH_DEVIATIONS = 2.1;

/** Mean and variance of the observed values, starting from assumed ones. */
class Moments {
    private weight = INITIAL_WEIGHT;

    constructor(private mean: number, private variance: number) {}

    get parameters(): LogNormal {
        return { mean: this.mean, variance: this.variance };
    }

    observe(value: number): void {
        this.weight = Math.min(MAX_WEIGHT, this.weight + 1);
        const deviation = value - this.mean;
        this.mean += deviation / this.weight;
        this.variance += (deviation * (value - this.mean) - this.variance) / this.weight;
    }
}

/** What has been learned about the requests of one kind. */
interface Observations {
    /** Logarithm of the length as a share of the limit. */
    readonly length: Moments;
    /** Logarithm of the estimate as a share of the length. */
    readonly estimateError: Moments;
}

/**
 * Forecasts output lengths, so that the engine memory to reserve follows what a request will probably need: less than
 * its limit, which few requests reach, and more than the mean, which half of them outgrow. A run that outgrows its
 * reservation on a full engine is preempted, and its prompt is read again. Answers load whose output takes anything from
 * a small part to most of a request's memory.
 */
export class OutputForecast {
    private readonly observations = new Map<string, Observations>();

    /** Records the length of a response to a request of the given kind, in tokens. */
    observe(kind: string, tokens: number, { maxTokens, estimatedTokens }: OutputBounds): void {
        if (tokens <= 0 || maxTokens <= 0) {
            return;
        }
        const { length, estimateError } = this.observationsOf(kind);
        length.observe(Math.log(tokens / maxTokens));
        if (estimatedTokens !== undefined && estimatedTokens > 0) {
            estimateError.observe(Math.log(estimatedTokens / tokens));
        }
    }

    /**
     * Combines the lengths of earlier responses to requests of this kind with the caller's estimate, each weighted by
     * how well it has predicted lengths so far.
     */
    forecast(kind: string, { maxTokens, estimatedTokens }: OutputBounds): OutputLength {
        if (maxTokens <= 0) {
            return { median: 0, high: 0 };
        }
        const { length, estimateError } = this.observationsOf(kind);
        const share = estimatedTokens === undefined || estimatedTokens <= 0
            ? length.parameters
            : combine(length.parameters, {
                mean: Math.log(estimatedTokens / maxTokens) - estimateError.parameters.mean,
                variance: estimateError.parameters.variance,
            });
        const tokensAt = (deviations: number) =>
            Math.min(maxTokens, Math.round(maxTokens * Math.exp(share.mean + deviations * Math.sqrt(share.variance))));
        return { median: tokensAt(0), high: tokensAt(HIGH_DEVIATIONS) };
    }

    private observationsOf(kind: string): Observations {
        const known = this.observations.get(kind) ?? {
            length: new Moments(Math.log(INITIAL_MEDIAN_SHARE), INITIAL_SPREAD ** 2),
            estimateError: new Moments(0, INITIAL_SPREAD ** 2),
        };
        this.observations.set(kind, known);
        return known;
    }
}

/** Combines two independent estimates, weighted by the inverse of their variances. */
function combine(one: LogNormal, other: LogNormal): LogNormal {
    const variance = 1 / (1 / one.variance + 1 / other.variance);
    return { mean: variance * (one.mean / one.variance + other.mean / other.variance), variance };
}
