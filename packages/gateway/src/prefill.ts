import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as exchanges from "./exchange.js";
import * as room from "./reservation.js";
import * as sends from "./send.js";
import * as calls from "./upstreamcall.js";

/** Engines that are asked for one prefill. */
const ENGINES_A_PREFILL = 2;
/** Time for a prefill whose speed is not known yet. */
const FIRST_TIMEOUT_MS = 1_500;
/** A prefill that takes this many times the mean is taken for lost, with the time to queue on top. */
const TIMEOUT_FACTOR = 4;
const QUEUE_ALLOWANCE_MS = 500;
/** Weight of the newest prefill in the mean time for a token. */
const SPEED_WEIGHT = 0.1;
/** Sends in flight that another availability zone must save: moving memory between zones takes twice as long. */
const ZONE_PENALTY = 0.5;
/** Time for the engine to free a handle. */
const RELEASE_TIMEOUT_MS = 300;

/** A prompt that an engine has read. */
export interface Prefilled {
    readonly candidate: dispatch.Candidate;
    readonly handle: string;
    readonly source: string;
}

/** Has prompts read, and learns how long it takes. */
export class Prefills {
    /** Mean time for a token by service. */
    private readonly msPerToken = new Map<string, number>();

    /** Has the prompt of an exchange read. Undefined if no engine did. */
    async prefill(exchange: exchanges.Exchange, decoder: routing.Upstream): Promise<Prefilled | undefined> {
        const { context, service } = exchange;
        const engines = context.pool.candidates(service)
            .filter(({ upstream }) => upstream.stage === routing.EngineStage.Prefill);
        const terms = {
            availabilityZone: decoder.availabilityZone,
            zonePenalty: ZONE_PENALTY,
            random: context.random,
        };
        const ranked = dispatch.rank(engines, terms, context.clock());
        for (const [index, candidate] of ranked.slice(0, ENGINES_A_PREFILL).entries()) {
            const hosts = context.knowledge.hosts().length;
            if (exchange.over || (index > 0 && !context.retries.take(service, hosts, context.clock()))) {
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
    ): Promise<Prefilled | undefined> {
        const { context, facts } = exchange;
        const startedAt = context.clock();
        candidate.health.inFlight++;
        try {
            const sent = await sends.send(exchange, candidate, {
                call: "prefill",
                headTimeoutMs: this.timeoutMs(exchange),
                prefillOnly: true,
            });
            if (sent.kind !== sends.SendKind.Answer) {
                return undefined;
            }
            const body = await calls.readWhole(sent.response, Math.min(exchange.leftMs, QUEUE_ALLOWANCE_MS));
            const handle = body && sent.response.statusCode === 200
                ? context.wire.readPrefill(sends.parseJson(body))
                : undefined;
            if (handle === undefined) {
                exchange.step("prefill", candidate.upstream.id, "answer without a handle", startedAt);
                candidate.health.record(dispatch.SendResult.Failed, context.clock());
                return undefined;
            }
            this.learn(exchange.service, candidate, (context.clock() - startedAt) / Math.max(1, facts.promptTokens));
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
            ? FIRST_TIMEOUT_MS
            : mean * exchange.facts.promptTokens * TIMEOUT_FACTOR + QUEUE_ALLOWANCE_MS;
    }

    private learn(service: string, candidate: dispatch.Candidate, msPerToken: number): void {
        const mean = this.msPerToken.get(service) ?? msPerToken;
        candidate.health.recordSlowness(msPerToken / mean);
        this.msPerToken.set(service, mean * (1 - SPEED_WEIGHT) + Math.min(msPerToken, mean * 3) * SPEED_WEIGHT);
    }
}

/** Frees the memory of a prefill that no engine will fetch. */
export function releasePrefill(exchange: exchanges.Exchange, prefilled: Prefilled): void {
    const call = exchange.context.wire.releasePrefill(prefilled.handle);
    room.release(
        exchange,
        prefilled.candidate,
        call.path,
        () => sends.callEngine(exchange, prefilled.candidate, call, RELEASE_TIMEOUT_MS, undefined),
    );
}
