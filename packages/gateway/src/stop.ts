import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as exchanges from "./exchange.js";
import type * as logs from "./log.js";
import type * as metrics from "./metrics.js";

/** Maximum number of ids in one log line. */
const MAX_LOGGED_IDS = 100;
/** Mean Retry-After of requests that a stopping host has no time for: another host takes them at once. */
const STOPPING_RETRY_AFTER_MS = 50;

/** What a host's stop needs to know of the process. */
export interface HostStopOptions {
    readonly clock: decision.Clock;
    readonly random: () => number;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    readonly durationForecast: dispatch.DurationForecast;
}

/** The requests of a host while it stops, and what becomes of them. */
export class HostStop {
    private readonly open = new Set<exchanges.Exchange>();
    /** The requests that have been logged as taken while the host stops. */
    private readonly taken = new WeakSet<exchanges.Exchange>();
    private readonly lastAnswerCallbacks = new Set<() => void>();
    private plan: dispatch.StopPlan | undefined;
    private inLastMoment = false;

    constructor(private readonly options: HostStopOptions) {}

    get isStopping(): boolean {
        return this.plan !== undefined;
    }

    /** Time since the host began to stop; undefined before. */
    get sinceMs(): decision.Milliseconds | undefined {
        return this.plan && Math.round(this.options.clock() - this.plan.startedAt);
    }

    /** Begins the stop. */
    begin(plan: dispatch.StopPlan): void {
        this.plan = plan;
    }

    /** Adds a request that has begun. */
    add(exchange: exchanges.Exchange): void {
        this.open.add(exchange);
    }

    /** Removes a request that has ended. */
    delete(exchange: exchanges.Exchange): void {
        this.open.delete(exchange);
    }

    /** Calls back when the remaining requests get their final responses, soon if they do already. Returns how to take that back. */
    onLastAnswers(callback: () => void): () => void {
        if (this.inLastMoment) {
            queueMicrotask(callback);
        }
        this.lastAnswerCallbacks.add(callback);
        return () => this.lastAnswerCallbacks.delete(callback);
    }

    /** Refuses a request without a response if the host stops and has no time for it. */
    refuseUntimely(exchange: exchanges.Exchange): void {
        if (!exchange.isOver && !exchange.response.headersSent && !this.mayBegin(exchange)) {
            this.refuse(exchange);
        }
    }

    /** Whether a request of which nothing has begun may begin, as far as the stop is concerned. */
    private mayBegin(exchange: exchanges.Exchange): boolean {
        if (!this.plan) {
            return true;
        }
        const { clock, log, metrics: gatewayMetrics, durationForecast } = this.options;
        const { metadata, route, service, remainingMs } = exchange;
        const now = clock();
        const likelyMs = durationForecast.high(route.name);
        const stopDecision = dispatch.decideWhileStopping(this.plan, { longestMs: remainingMs, likelyMs }, now);
        const mayBegin = stopDecision !== dispatch.StopDecision.Refuse;
        if (!mayBegin || !this.taken.has(exchange)) {
            this.taken.add(exchange);
            gatewayMetrics.stoppingRequests.inc({ decision: stopDecision });
            log.decision("request while stopping", {
                requestId: metadata.requestId,
                route: route.name,
                service,
                sinceStopMs: this.sinceMs,
                timeLeftMs: Math.round(this.plan.lastAnswersAt - now),
                boundMs: Math.round(remainingMs),
                likelyMs: likelyMs === undefined ? undefined : Math.round(likelyMs),
                decision: stopDecision,
            });
        }
        return mayBegin;
    }

    /** Retry-After of a request that the host has no time for. */
    retryAfterMs(): decision.Milliseconds {
        return STOPPING_RETRY_AFTER_MS * (0.5 + this.options.random());
    }

    /** Gives each request without a response its final one. */
    answerWaiting(): void {
        this.inLastMoment = true;
        [...this.lastAnswerCallbacks].forEach((callback) => callback());
        for (const exchange of [...this.open]) {
            if (!exchange.response.headersSent) {
                this.refuse(exchange);
            }
        }
    }

    /** Ends the requests in flight, given by their ids, so that each has its outcome in the log. */
    cut(requestIds: readonly (string | undefined)[]): void {
        if (requestIds.length > 0) {
            this.options.log.notice("requests cut at the end of the stop", {
                count: requestIds.length,
                requestIds: requestIds.slice(0, MAX_LOGGED_IDS),
                sinceStopMs: this.sinceMs,
            });
        }
        for (const exchange of [...this.open]) {
            exchange.abortResponse(exchanges.FinalReason.Stopped);
        }
    }

    private refuse(exchange: exchanges.Exchange): void {
        exchange.refuse({
            status: 503,
            reason: exchanges.FinalReason.HostStopping,
            retryAfterMs: this.retryAfterMs(),
        });
    }
}
