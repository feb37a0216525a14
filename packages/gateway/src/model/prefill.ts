import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as contexts from "../context.js";
import type * as exchanges from "../exchange.js";
import * as json from "../json.js";
import * as sends from "../send.js";
import * as calls from "../upstream/call.js";
import * as ranking from "../upstream/ranking.js";
import * as reservations from "./reservation.js";

/** Maximum number of engines that are tried for one prefill. */
const ENGINES_PER_PREFILL = 2;
/** Timeout of a prefill while the prefill speed of the service is unknown. */
const INITIAL_TIMEOUT_MS = 1_500;
/** A prefill times out after this multiple of the mean duration, plus an allowance for queueing. */
const TIMEOUT_FACTOR = 4;
const QUEUE_ALLOWANCE_MS = 500;
/** Weight of the newest prefill in the moving average of the time per token. */
const SPEED_SMOOTHING_FACTOR = 0.1;
/**
 * Cost of an engine in another availability zone than the decode engine, in sends in flight: moving KV cache between
 * zones takes twice as long.
 */
const CROSS_ZONE_PENALTY = 0.5;
/** Timeout of the call that releases a prefill result. */
const RELEASE_TIMEOUT_MS = 300;

/** The result of a prefill, which an engine keeps under a handle. */
export interface PrefillResult {
    readonly candidate: dispatch.Candidate;
    readonly handle: string;
    readonly source: string;
}

/** Runs prefills at engines and tracks how long they take. */
export class PrefillClient {
    /** Moving average of the time per prompt token, by service. */
    private readonly msPerToken = new Map<string, number>();

    /**
     * Runs the prefill of a request for the given decode engine. Undefined if no engine completed it, or if the retry budget
     * does not bear its failure: a decode after a failed prefill is a retry.
     */
    async prefill(exchange: exchanges.Exchange, decodeEngine: routing.Upstream): Promise<PrefillResult | undefined> {
        const { context } = exchange;
        const tried = new Set<string>();
        // Asks before an engine is chosen, whose limit that would charge.
        while (tried.size < ENGINES_PER_PREFILL && exchange.permits.mayBegin(true)) {
            // Ranked anew each time: an engine may have begun to drain while another was tried.
            const { candidate } = await context.limits.firstPermitted(rankUntried(exchange, decodeEngine, tried));
            if (!candidate || exchange.isOver) {
                return undefined;
            }
            tried.add(routing.incarnationOf(candidate.upstream));
            const result = await this.prefillAt(exchange, candidate);
            if (result) {
                return result;
            }
        }
        return undefined;
    }

    private async prefillAt(
        exchange: exchanges.Exchange,
        candidate: dispatch.Candidate,
    ): Promise<PrefillResult | undefined> {
        const { context, metadata } = exchange;
        const startedAt = context.clock();
        const warmUpLeftMs = context.limits.warmUps.leftMs(candidate.upstream);
        candidate.health.inFlight++;
        try {
            const sent = await sends.sendRequest(exchange, candidate, {
                call: "prefill",
                headersTimeoutMs: dispatch.warmUpPatienceMs(this.timeoutMs(exchange), warmUpLeftMs),
                prefillOnly: true,
            });
            if (sent.kind !== sends.SendKind.Response) {
                return undefined;
            }
            const timeoutMs = Math.min(exchange.remainingMs, QUEUE_ALLOWANCE_MS);
            const body = await calls.readBody(sent.answer, timeoutMs, calls.MAX_CONTROL_BODY_BYTES);
            const handle = body && sent.response.statusCode === 200
                ? context.wireFormat.parsePrefillHandle(json.parseJson(body))
                : undefined;
            if (handle === undefined) {
                exchange.recordCall("prefill", candidate.upstream, "answer without a handle", startedAt);
                candidate.health.record(dispatch.SendResult.Failed, context.clock());
                return undefined;
            }
            // A slow start is no failure, and says nothing of the others' speed.
            if (warmUpLeftMs === 0) {
                this.observeSpeed(
                    context.speeds,
                    exchange.service,
                    candidate,
                    (context.clock() - startedAt) / Math.max(1, metadata.promptTokens),
                );
            }
            const source = context.wireFormat.prefillSource(candidate.upstream.address, handle);
            return { candidate, handle, source };
        }
        finally {
            candidate.health.inFlight--;
        }
    }

    private timeoutMs(exchange: exchanges.Exchange): decision.Milliseconds {
        const meanMsPerToken = this.msPerToken.get(exchange.service);
        return meanMsPerToken === undefined
            ? INITIAL_TIMEOUT_MS
            : meanMsPerToken * exchange.metadata.promptTokens * TIMEOUT_FACTOR + QUEUE_ALLOWANCE_MS;
    }

    private observeSpeed(
        speeds: contexts.GatewayContext["speeds"],
        service: string,
        candidate: dispatch.Candidate,
        msPerToken: number,
    ): void {
        const meanMsPerToken = this.msPerToken.get(service) ?? msPerToken;
        candidate.health.recordSlowness(msPerToken / meanMsPerToken);
        speeds.recordPrefill(candidate.upstream, msPerToken);
        this.msPerToken.set(
            service,
            meanMsPerToken * (1 - SPEED_SMOOTHING_FACTOR)
                + Math.min(msPerToken, meanMsPerToken * 3) * SPEED_SMOOTHING_FACTOR,
        );
    }
}

/** The prefill engines that were not tried yet, best first. */
function rankUntried(
    exchange: exchanges.Exchange,
    { availabilityZone }: routing.Upstream,
    tried: ReadonlySet<string>,
): dispatch.Candidate[] {
    return ranking.rankUpstreams(
        exchange,
        { availabilityZone, crossZonePenalty: CROSS_ZONE_PENALTY },
        (upstream) => upstream.stage === routing.EngineStage.Prefill && !tried.has(routing.incarnationOf(upstream)),
    );
}

/** Releases a prefill result that no engine will fetch. */
export function releasePrefill(exchange: exchanges.Exchange, prefill: PrefillResult): void {
    const call = exchange.context.wireFormat.releasePrefillCall(prefill.handle);
    const options = { name: "release prefill", timeoutMs: RELEASE_TIMEOUT_MS };
    reservations.releaseInBackground(exchange, prefill.candidate, call, options);
}
