import type * as decision from "@citronlead/decision";
import * as exchanges from "./exchange.js";
import type * as logs from "./log.js";
import type * as metrics from "./metrics.js";

/** Maximum number of ids in one log line. */
const MAX_LOGGED_IDS = 100;

/** The requests of a host while it stops, and what becomes of them. */
export class HostStop {
    private readonly open = new Set<exchanges.Exchange>();
    private startedAt: decision.Milliseconds | undefined;
    private cutAt: () => decision.Milliseconds = () => Infinity;

    constructor(
        private readonly clock: decision.Clock,
        private readonly log: logs.DecisionLog,
        private readonly gatewayMetrics: metrics.GatewayMetrics,
    ) {}

    get isStopping(): boolean {
        return this.startedAt !== undefined;
    }

    /** Time since the host began to stop; undefined before. */
    get sinceMs(): decision.Milliseconds | undefined {
        return this.startedAt === undefined ? undefined : Math.round(this.clock() - this.startedAt);
    }

    /** Time left until the requests in flight are cut. */
    get timeLeftMs(): decision.Milliseconds {
        return this.cutAt() - this.clock();
    }

    /** Begins the stop; the requests in flight are cut at the given time. */
    begin(cutAt: () => decision.Milliseconds): void {
        this.startedAt = this.clock();
        this.cutAt = cutAt;
    }

    /** Adds a request that has begun. */
    add(exchange: exchanges.Exchange): void {
        this.open.add(exchange);
    }

    /** Removes a request that has ended. */
    delete(exchange: exchanges.Exchange): void {
        this.open.delete(exchange);
    }

    /** Logs a request that arrived while the host stops. */
    recordTaken({ metadata, route, service, remainingMs }: exchanges.Exchange): void {
        if (!this.isStopping) {
            return;
        }
        this.gatewayMetrics.stoppingRequests.inc();
        this.log.decision("request while stopping", {
            requestId: metadata.requestId,
            route: route.name,
            service,
            sinceStopMs: this.sinceMs,
            timeLeftMs: Math.round(this.timeLeftMs),
            boundMs: Math.round(remainingMs),
        });
    }

    /** Ends the requests in flight, given by their ids, so that each has its outcome in the log. */
    cut(requestIds: readonly (string | undefined)[]): void {
        if (requestIds.length > 0) {
            this.log.notice("requests cut at the end of the stop", {
                count: requestIds.length,
                requestIds: requestIds.slice(0, MAX_LOGGED_IDS),
                sinceStopMs: this.sinceMs,
            });
        }
        for (const exchange of [...this.open]) {
            exchange.abortResponse(exchanges.FinalReason.Stopped);
        }
    }
}
