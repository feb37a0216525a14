import * as dispatch from "@citronlead/dispatch";
import * as bodyrelays from "../bodyrelay.js";
import * as evidences from "../evidence.js";
import * as exchanges from "../exchange.js";
import * as headers from "../headers.js";
import * as regions from "../regions.js";
import * as sends from "../send.js";
import * as agents from "../upstream/agent.js";
import * as answers from "../upstream/answer.js";
import * as calls from "../upstream/call.js";
import * as envelopes from "./envelope.js";

/** Maximum number of hosts that are asked to serve one request. */
const MAX_HOSTS = 6;
/** Maximum size of the body of a refusal. */
const MAX_REFUSAL_BYTES = 4_096;
/** Time to read the body of a refusal. */
const REFUSAL_TIMEOUT_MS = 200;

/** How another host answered. */
enum RelayAnswer {
    /** The request has its final response. */
    Final = "final",
    /** That host cannot serve requests of this one; it has not run the request. */
    Unable = "unable",
}

/** Serves requests through other hosts while this one cannot reach their upstreams. */
export class RelayClient {
    private readonly relayHosts = new dispatch.RelayHosts();

    constructor(private readonly agent: agents.UpstreamAgent) {}

    /**
     * Hands a request of which nothing has run to another host, which treats it as its own: key, quota, retries and limits are
     * applied there, and only there. Returns whether the request is over.
     */
    async relay(exchange: exchanges.Exchange): Promise<boolean> {
        const { context } = exchange;
        if (exchange.isRelayed || exchange.wasOfferedToHosts) {
            return exchange.isOver;
        }
        exchange.wasOfferedToHosts = true;
        const { address, port } = context.settings.peers;
        const others = context.storeView.hosts()
            .filter((host) => host !== `${address}:${port}` && regions.mayReachHost(exchange, host));
        const ranked = this.relayHosts.rank(others, context.clock(), context.random).slice(0, MAX_HOSTS);
        for (const host of ranked) {
            const run = exchange.runs.tryEnter();
            if (!run) {
                return exchange.isOver;
            }
            if (await this.relayTo(exchange, host, run) === RelayAnswer.Final) {
                return true;
            }
            this.relayHosts.recordUnable(host, context.clock());
        }
        return exchange.isOver;
    }

    private async relayTo(
        exchange: exchanges.Exchange,
        host: string,
        run: dispatch.RunEntry,
    ): Promise<RelayAnswer> {
        const { context, request, metadata } = exchange;
        const startedAt = context.clock();
        const close = this.relayHosts.open(host);
        const record = (result: string, proof: dispatch.NotRunProof | undefined, outcome: calls.CallOutcome) => {
            const other = { id: host, softwareVersion: "" };
            const relayed = exchange.recordCall("relay", other, result, startedAt, { proof, outcome });
            evidences.followAnswer(context.metrics, "relay", outcome, relayed);
        };
        try {
            const outcome = await calls.startCall(this.agent, {
                address: host,
                incarnation: host,
                findMismatch: (received) => {
                    const { requestId } = context.wireFormat.parseResponse(received);
                    return sends.isSameId(requestId, metadata.requestId)
                        ? undefined
                        : `response to request ${requestId ?? "without an id"}`;
                },
                method: request.method ?? "GET",
                path: request.url ?? "/",
                headers: [
                    ...headers.endToEndHeaders(request.rawHeaders, envelopes.RELAY_HEADERS),
                    ...envelopes.relayHeaders({
                        timeLeftMs: Math.max(1, Math.floor(exchange.remainingMs)),
                        configuration: exchange.configuration,
                    }),
                ],
                body: exchange.body,
                headersTimeoutMs: exchange.remainingMs,
                run,
                signal: exchange.signal,
            });
            if (outcome.progress !== calls.CallProgress.Responded) {
                const proof = outcome.progress === calls.CallProgress.NotSent
                    ? dispatch.NotRunProof.NotConnected
                    : undefined;
                record(`${outcome.progress}: ${outcome.reason}`, proof, outcome);
                if (proof !== undefined) {
                    run.prove(proof);
                    return RelayAnswer.Unable;
                }
                exchange.refuseAsLost();
                return RelayAnswer.Final;
            }
            const { response } = outcome;
            const leaving = envelopes.parseLeaving(response.headers);
            if (leaving !== undefined) {
                const { requestId } = metadata;
                context.notices.observeRelayed(leaving, { call: `relay by ${host}`, requestId });
            }
            const refusal = envelopes.parseRefusal(response.headers);
            const status = response.statusCode ?? 502;
            const isNotRun = refusal !== undefined && dispatch.isPromise(status);
            const proof = isNotRun ? dispatch.NotRunProof.HostRefusal : undefined;
            record(`${status} ${refusal?.reason ?? ""}`.trimEnd(), proof, outcome);
            if (!UNABLE_REASONS.has(refusal?.reason ?? "")) {
                this.relayHosts.recordAble(host);
            }
            // Hosts frame what they send each other, so that without framing the head is not whole.
            if (refusal === undefined && outcome.answer.framing === answers.Framing.Close) {
                response.destroy();
                exchange.refuseAsLost();
                return RelayAnswer.Final;
            }
            if (refusal === undefined) {
                await bodyrelays.relayBody(exchange, { answer: outcome.answer });
                return RelayAnswer.Final;
            }
            if (proof !== undefined) {
                run.prove(proof);
            }
            await calls.readBody(outcome.answer, REFUSAL_TIMEOUT_MS, MAX_REFUSAL_BYTES);
            if (UNABLE_REASONS.has(refusal.reason) && proof !== undefined) {
                return RelayAnswer.Unable;
            }
            const reason = Object.values(exchanges.FinalReason).find((known) => known === refusal.reason);
            exchange.refuse({
                status,
                reason: reason ?? exchanges.FinalReason.NotRun,
                retryAfterMs: refusal.retryAfterMs,
            });
            return RelayAnswer.Final;
        }
        finally {
            close();
        }
    }
}

/** Refusals after which another host may serve the request. */
const UNABLE_REASONS: ReadonlySet<string> = new Set([
    exchanges.FinalReason.Unreachable,
    exchanges.FinalReason.NotReady,
    exchanges.FinalReason.HostStopping,
]);
