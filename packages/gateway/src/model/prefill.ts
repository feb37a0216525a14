import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as exchanges from "../exchange.js";
import * as sends from "../send.js";
import * as calls from "../upstream/call.js";
import * as reservations from "./reservation.js";

/** Engines that are asked for one prefill. */
const ENGINES_PER_PREFILL = 2;
/** Time for a prefill whose speed is not known yet. */
const INITIAL_TIMEOUT_MS = 1_500;
/** A prefill that takes this many times the mean is taken for lost, with the time to queue on top. */
const TIMEOUT_FACTOR = 4;
const QUEUE_ALLOWANCE_MS = 500;
/** Weight of the newest prefill in the mean time for a token. */
const SPEED_SMOOTHING_FACTOR = 0.1;
/** Sends in flight that another availability zone must save: moving memory between zones takes twice as long. */
const CROSS_ZONE_PENALTY = 0.5;
/** Time for the engine to free a handle. */
const RELEASE_TIMEOUT_MS = 300;

/** A prompt that an engine has read. */
export interface PrefillResult {
    readonly candidate: dispatch.Candidate;
    readonly handle: string;
    readonly source: string;
}

/** Has prompts read, and learns how long it takes. */
export class PrefillClient {
    /** Mean time for a token by service. */
    private readonly msPerToken = new Map<string, number>();

    /** Has the prompt of an exchange read. Undefined if no engine did. */
    async prefill(exchange: exchanges.Exchange, decodeEngine: routing.Upstream): Promise<PrefillResult | undefined> {
        const { context, service } = exchange;
        const engines = context.pool.candidates(service)
            .filter(({ upstream }) => upstream.stage === routing.EngineStage.Prefill);
        const options = {
            availabilityZone: decodeEngine.availabilityZone,
            crossZonePenalty: CROSS_ZONE_PENALTY,
            random: context.random,
        };
        const ranked = dispatch.rankCandidates(engines, options, context.clock());
        for (const [index, candidate] of ranked.slice(0, ENGINES_PER_PREFILL).entries()) {
            const hosts = context.storeView.hosts().length;
            if (exchange.isOver || (index > 0 && !context.retryBudget.tryAcquire(service, hosts, context.clock()))) {
                return undefined;
            }
            const prefilled = await this.prefillAt(exchange, candidate);
            if (prefilled) {
                return prefilled;
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
        candidate.health.inFlight++;
        try {
            const sent = await sends.sendRequest(exchange, candidate, {
                call: "prefill",
                headersTimeoutMs: this.timeoutMs(exchange),
                prefillOnly: true,
            });
            if (sent.kind !== sends.SendKind.Response) {
                return undefined;
            }
            const body = await calls.readBody(sent.response, Math.min(exchange.remainingMs, QUEUE_ALLOWANCE_MS));
            const handle = body && sent.response.statusCode === 200
                ? context.wire.readPrefill(sends.parseJson(body))
                : undefined;
            if (handle === undefined) {
                exchange.recordCall("prefill", candidate.upstream.id, "answer without a handle", startedAt);
                candidate.health.record(dispatch.SendResult.Failed, context.clock());
                return undefined;
            }
            this.observeSpeed(
                exchange.service,
                candidate,
                (context.clock() - startedAt) / Math.max(1, metadata.promptTokens),
            );
            const source = context.wire.prefillSource(candidate.upstream.address, handle);
            return { candidate, handle, source };
        }
        finally {
            candidate.health.inFlight--;
        }
    }

    private timeoutMs(exchange: exchanges.Exchange): decision.Milliseconds {
        const mean = this.msPerToken.get(exchange.service);
        return mean === undefined
            ? INITIAL_TIMEOUT_MS
            : mean * exchange.metadata.promptTokens * TIMEOUT_FACTOR + QUEUE_ALLOWANCE_MS;
    }

    private observeSpeed(service: string, candidate: dispatch.Candidate, msPerToken: number): void {
        const mean = this.msPerToken.get(service) ?? msPerToken;
        candidate.health.recordSlowness(msPerToken / mean);
        this.msPerToken.set(
            service,
            mean * (1 - SPEED_SMOOTHING_FACTOR) + Math.min(msPerToken, mean * 3) * SPEED_SMOOTHING_FACTOR,
        );
    }
}

/** Frees the memory of a prefill that no engine will fetch. */
export function releasePrefill(exchange: exchanges.Exchange, prefilled: PrefillResult): void {
    const call = exchange.context.wire.releasePrefill(prefilled.handle);
    reservations.releaseInBackground(
        exchange,
        prefilled.candidate,
        call.path,
        () => sends.callEngine(exchange, prefilled.candidate, call, RELEASE_TIMEOUT_MS, undefined),
    );
}
