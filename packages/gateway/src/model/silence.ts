import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as contexts from "../context.js";
import type * as exchanges from "../exchange.js";
import type * as continuations from "./continuation.js";
import type * as relays from "./relay.js";

/** Minimum time left for another round to be worthwhile: a prefill and a few events. */
export const MIN_REMAINING_MS = 400;

/** Decides what the silence of an engine leads to. */
export class SilencePolicy {
    constructor(
        private readonly context: contexts.GatewayContext,
        private readonly continuation: continuations.StreamContinuation,
    ) {}

    /** The limits that apply to a run at an engine; `runs` is the number of runs with it. */
    limitsOf(
        exchange: exchanges.Exchange,
        progress: relays.StreamProgress,
        { upstream, health }: dispatch.Candidate,
        runs: number,
    ): relays.SilenceLimits {
        const { clock, limits, log, observations, reachability } = this.context;
        const times = dispatch.silenceTimes(exchange.route);
        return {
            ...times,
            canTakeOver: () => this.canTakeOver(exchange, progress, upstream, runs),
            onSuspected: () => {
                const warmUpLeftMs = limits.warmUps.leftMs(upstream);
                // A slow start is no failure.
                if (warmUpLeftMs === 0) {
                    health.record(dispatch.SendResult.Unreachable, clock());
                    reachability.recordSilence(upstream);
                    observations.recordSilent(upstream);
                }
                log.decision("upstream silent", {
                    requestId: exchange.metadata.requestId,
                    upstream: upstream.id,
                    service: exchange.service,
                    silentMs: Math.round(times.suspectedMs),
                    passedEvents: exchange.relayedEvents,
                    warmUpLeftMs: warmUpLeftMs > 0 ? Math.round(warmUpLeftMs) : undefined,
                });
            },
        };
    }

    /** Whether another engine can go on with a stream now. */
    private canTakeOver(
        exchange: exchanges.Exchange,
        progress: relays.StreamProgress,
        current: routing.Upstream,
        runs: number,
    ): boolean {
        const isOther = ({ upstream }: dispatch.Candidate) =>
            routing.incarnationOf(upstream) !== routing.incarnationOf(current)
            && this.continuation.mayProduce(exchange, progress, upstream);
        return progress.sequence.mayGoOn
            && exchange.remainingRetries > 0
            && dispatch.mayRetry({
                route: exchange.route,
                effect: dispatch.SendEffect.MayHaveRun,
                runs,
                responseStarted: exchange.response.headersSent,
                hasTimeLeft: exchange.remainingMs > MIN_REMAINING_MS,
            })
            && this.context.pool.candidates(exchange.service, this.context.clock()).some(isOther);
    }
}
