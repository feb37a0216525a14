import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import * as away from "../away.js";
import * as connections from "../connections.js";
import type * as contexts from "../context.js";
import * as exchanges from "../exchange.js";
import * as headers from "../headers.js";
import * as sends from "../send.js";
import * as answers from "../upstream/answer.js";
import * as calls from "../upstream/call.js";
import * as continuations from "./continuation.js";
import * as prefills from "./prefill.js";
import * as queues from "./queue.js";
import * as relays from "./relay.js";
import * as reservations from "./reservation.js";
import * as silences from "./silence.js";
import * as stages from "./stages.js";

/** Maximum number of rounds of reservation, prefill and decode for one request. */
const MAX_ROUNDS = 3;
/** Mean Retry-After when no engine is available: crashed engines restart within seconds. */
const NO_ENGINE_RETRY_AFTER_MS = 1_500;
/** How long a decode waits for its turn at an engine that warms up, which holds its memory meanwhile. */
const DECODE_TURN_WAIT_MS = 600;
/** Lowest status with which an engine reports a failure of its own. */
const MIN_FAILURE_STATUS = 500;

/** Serves requests that run on model engines. */
export class ModelRequestHandler {
    private readonly prefillClient = new prefills.PrefillClient();
    private readonly queues = new Map<string, queues.CapacityQueue>();

    private readonly stageKeeper: stages.StageKeeper;
    private readonly continuation: continuations.StreamContinuation;
    private readonly silence: silences.SilencePolicy;

    constructor(private readonly context: contexts.GatewayContext) {
        this.stageKeeper = new stages.StageKeeper(context);
        this.continuation = new continuations.StreamContinuation(context, () => this.noEngineRetryAfterMs());
        this.silence = new silences.SilencePolicy(context, this.continuation);
    }

    /**
     * Serves a request: reserves capacity at a decode engine, runs the prefill, then decodes. Retries at other engines
     * as far as the route and the retry budget allow.
     */
    async handle(exchange: exchanges.Exchange): Promise<void> {
        const progress = await this.continuation.startProgress(exchange);
        if (!progress) {
            return;
        }
        let runs = 0;
        let skipPrefill = false;
        for (let round = 0; round < MAX_ROUNDS && !exchange.isOver; round++) {
            // A round sends a decode, after a prefill that counts unless it is the first that an engine accepts.
            if (round > 0 && !exchange.tryAcquireRetries(skipPrefill || !exchange.permits.hasPrefill ? 1 : 2)) {
                break;
            }
            const goesOn = round > 0 && progress.softwareVersion !== undefined;
            if (goesOn && !await this.continuation.confirmUpstreams(exchange)) {
                break;
            }
            const refusedBefore = exchange.refusedReservations;
            const reservation = await reservations.reserveCapacity(
                exchange,
                this.queueOf(exchange.service),
                (upstream) => this.continuation.mayProduce(exchange, progress, upstream),
            );
            for (let refused = refusedBefore; refused < exchange.refusedReservations; refused++) {
                this.stageKeeper.balanceOf(exchange.service).observeRefusal(this.context.clock());
            }
            if (typeof reservation === "string") {
                if (!await exchange.serveElsewhereIfUnreached()) {
                    this.refuseForCapacity(exchange, reservation);
                }
                return;
            }
            if ("returnInMs" in reservation) {
                this.refuseForCapacity(exchange, reservation);
                return;
            }
            if (exchange.refuseIfBarred() || exchange.refuseIfStopping()) {
                reservations.releaseReservation(exchange, reservation);
                return;
            }
            const effect = await this.runRound(exchange, reservation, progress, skipPrefill, runs);
            this.queueOf(exchange.service).onCapacityFreed();
            if (effect === undefined || exchange.isOver) {
                return;
            }
            runs += effect === dispatch.SendEffect.NotRun ? 0 : 1;
            // A prefill result that could not be fetched would probably be lost again, so the engine runs the prefill.
            skipPrefill = effect === dispatch.SendEffect.NotRun;
            const mayRetry = dispatch.mayRetry({
                route: exchange.route,
                effect,
                runs,
                responseStarted: exchange.response.headersSent,
                hasTimeLeft: exchange.remainingMs > silences.MIN_REMAINING_MS,
            });
            if (!mayRetry) {
                break;
            }
        }
        if (!await exchange.serveElsewhereIfUnreached()) {
            this.refuseUnserved(exchange);
        }
    }

    private queueOf(service: string): queues.CapacityQueue {
        const queue = this.queues.get(service) ?? new queues.CapacityQueue(this.context.scope, this.context.clock);
        this.queues.set(service, queue);
        return queue;
    }

    /** Runs one round at an engine with reserved capacity. Undefined if the request has its final response. */
    private async runRound(
        exchange: exchanges.Exchange,
        reservation: reservations.Reservation,
        progress: relays.StreamProgress,
        skipPrefill: boolean,
        previousRuns: number,
    ): Promise<dispatch.SendEffect | undefined> {
        const { candidate } = reservation;
        candidate.health.inFlight++;
        try {
            const startedAt = this.context.clock();
            const usePrefillEngine = !skipPrefill && candidate.upstream.stage === routing.EngineStage.Decode;
            const prefill = usePrefillEngine
                ? await this.prefillClient.prefill(exchange, candidate.upstream)
                : undefined;
            if (prefill) {
                this.stageKeeper.balanceOf(exchange.service)
                    .observePrefill(exchange.metadata.promptTokens, this.context.clock() - startedAt);
            }
            if (exchange.refuseIfBarred() || exchange.refuseIfStopping()) {
                reservations.releaseReservation(exchange, reservation);
                if (prefill) {
                    prefills.releasePrefill(exchange, prefill);
                }
                return undefined;
            }
            if (!this.context.pool.acceptsWork(candidate.upstream, this.context.clock())) {
                return this.abandonDrainingEngine(exchange, reservation, prefill);
            }
            return await this.decode(exchange, reservation, prefill, progress, previousRuns);
        }
        finally {
            candidate.health.inFlight--;
            reservations.endRun(exchange, reservation);
        }
    }

    /** Releases an engine that began to drain while another ran the prefill. */
    private abandonDrainingEngine(
        exchange: exchanges.Exchange,
        reservation: reservations.Reservation,
        prefill: prefills.PrefillResult | undefined,
    ): dispatch.SendEffect {
        const now = this.context.clock();
        const reason = this.context.pool.exclusionOf(reservation.candidate.upstream, now) ?? "draining";
        exchange.recordCall("decode", reservation.candidate.upstream, `not sent: ${reason}`, now);
        reservations.releaseReservation(exchange, reservation);
        if (prefill) {
            prefills.releasePrefill(exchange, prefill);
        }
        return dispatch.SendEffect.NotRun;
    }

    private async decode(
        exchange: exchanges.Exchange,
        reservation: reservations.Reservation,
        prefill: prefills.PrefillResult | undefined,
        progress: relays.StreamProgress,
        previousRuns: number,
    ): Promise<dispatch.SendEffect | undefined> {
        const silence = this.silence.limitsOf(exchange, progress, reservation.candidate, previousRuns + 1);
        const timer = setTimeout(silence.onSuspected, silence.suspectedMs);
        const sent = await sends.sendRequest(exchange, reservation.candidate, {
            call: "decode",
            headersTimeoutMs: silence.canTakeOver() ? silence.takeoverMs : silence.abandonedMs,
            turnWaitMs: DECODE_TURN_WAIT_MS,
            prefillSource: prefill?.source,
            reservation: reservation.id,
            resumeAfterEventId: progress.sequence.lastEventId ?? exchange.metadata.lastEventId,
        });
        clearTimeout(timer);
        if (sent.kind === sends.SendKind.NotRun) {
            reservations.releaseReservation(exchange, reservation);
            if (prefill) {
                prefill.candidate.health.record(dispatch.SendResult.Failed, this.context.clock());
                prefills.releasePrefill(exchange, prefill);
            }
            return dispatch.SendEffect.NotRun;
        }
        if (sent.kind === sends.SendKind.Lost) {
            return dispatch.SendEffect.MayHaveRun;
        }
        return this.relayResponse(exchange, sent, reservation, progress, silence);
    }

    private async relayResponse(
        exchange: exchanges.Exchange,
        sent: Extract<sends.SendOutcome, { kind: sends.SendKind.Response; }>,
        reservation: reservations.Reservation,
        progress: relays.StreamProgress,
        silence: relays.SilenceLimits,
    ): Promise<dispatch.SendEffect | undefined> {
        const { response, metadata } = sent;
        const { sequence } = progress;
        const status = response.statusCode ?? 502;
        if (sequence.lastEventId !== undefined) {
            this.context.log.decision("answer to go on in a stream", {
                requestId: exchange.metadata.requestId,
                service: exchange.service,
                upstream: reservation.candidate.upstream.id,
                lastEventId: sequence.lastEventId,
                passedEvents: exchange.relayedEvents,
                status,
                contentType: response.headers["content-type"],
                contentLength: response.headers["content-length"],
            });
        }
        const problem = sequence.beginAnswer({
            status,
            signed: metadata.signed,
            contentEncoding: response.headers["content-encoding"],
            contentType: response.headers["content-type"],
            responseStarted: exchange.response.headersSent,
        });
        if (problem === dispatch.StreamProblem.Status) {
            return this.relayFailure(exchange, reservation, sequence, sent.answer);
        }
        if (problem !== undefined) {
            response.destroy();
            return this.rejectAnswer(exchange, reservation, sequence);
        }
        const startedAt = this.context.clock();
        const relayedBefore = exchange.relayedEvents;
        const { upstream } = reservation.candidate;
        let first: { readonly at: decision.Milliseconds; readonly events: number; } | undefined;
        const end = await relays.relayEvents(
            exchange,
            sent.answer,
            progress,
            silence,
            () => {
                first ??= { at: this.context.clock(), events: exchange.relayedEvents };
                if (progress.softwareVersion === undefined && exchange.route.resumable) {
                    progress.softwareVersion = upstream.softwareVersion;
                    this.context.streamVersions.onBegun(exchange, upstream.softwareVersion);
                }
            },
        );
        if (end === relays.RelayEnd.Complete) {
            this.context.streamVersions.onComplete(exchange);
            this.context.quarantine.recordServed(exchange);
            this.observeOutput(exchange);
            const runMs = this.context.clock() - startedAt;
            if (first) {
                const events = exchange.relayedEvents - first.events;
                this.context.speeds.recordEvents(upstream, this.context.clock() - first.at, events);
            }
            this.stageKeeper.balanceOf(exchange.service).observeRun(runMs, exchange.reservedTokens);
        }
        if (end === relays.RelayEnd.OutOfBounds) {
            reservation.candidate.health.record(dispatch.SendResult.Failed, this.context.clock());
            exchange.recordCall("events", upstream, "beyond the accepted size or rate", this.context.clock());
            return this.endUnlessContinuable(exchange, sequence);
        }
        if (end === relays.RelayEnd.Rejected) {
            return this.rejectAnswer(exchange, reservation, sequence);
        }
        if (end !== relays.RelayEnd.Broken) {
            return undefined;
        }
        reservation.candidate.health.record(dispatch.SendResult.Unreachable, this.context.clock());
        this.context.observations.recordBroken(upstream);
        exchange.recordCall("events", upstream, "broken off", this.context.clock());
        this.context.quarantine.reportCrash(exchange, {
            upstream,
            startedAt,
            decoding: true,
            events: exchange.relayedEvents - relayedBefore,
        });
        return this.endUnlessContinuable(exchange, sequence);
    }

    /** Counts an answer that has no place in the stream as a failure of its engine, unless its status was counted as one. */
    private rejectAnswer(
        exchange: exchanges.Exchange,
        { candidate }: reservations.Reservation,
        sequence: dispatch.StreamSequence,
        isCounted = false,
    ): dispatch.SendEffect | undefined {
        const { clock, log } = this.context;
        const { problem } = sequence;
        if (!isCounted) {
            candidate.health.record(dispatch.SendResult.Failed, clock());
        }
        exchange.recordCall("events", candidate.upstream, `rejected: ${problem}`, clock());
        log.decision("answer has no place in a stream", {
            requestId: exchange.metadata.requestId,
            service: exchange.service,
            upstream: candidate.upstream.id,
            lastEventId: sequence.lastEventId,
            passedEvents: exchange.relayedEvents,
            reason: problem,
        });
        return this.endUnlessContinuable(exchange, sequence);
    }

    /** Ends a response that no other engine can go on with. Undefined if it is over. */
    private endUnlessContinuable(
        exchange: exchanges.Exchange,
        sequence: dispatch.StreamSequence,
    ): dispatch.SendEffect | undefined {
        if (exchange.response.headersSent && !sequence.mayGoOn) {
            exchange.refuseAsLost();
            return undefined;
        }
        return dispatch.SendEffect.MayHaveRun;
    }

    private observeOutput({ service, route, metadata, relayedEvents, outputBounds }: exchanges.Exchange): void {
        if (metadata.lastEventId !== undefined) {
            return;
        }
        const engine = this.context.storeView.activeConfiguration()?.table.serviceByName.get(service)?.engine;
        this.context.outputForecast.observe(route.name, relayedEvents * (engine?.tokensPerEvent ?? 1), outputBounds);
    }

    /** Relays an engine's error response, unless a retry is allowed or a stream has begun. */
    private async relayFailure(
        exchange: exchanges.Exchange,
        reservation: reservations.Reservation,
        sequence: dispatch.StreamSequence,
        answer: answers.Answer,
    ): Promise<dispatch.SendEffect | undefined> {
        const { response } = answer;
        const status = response.statusCode ?? 502;
        const body = await calls.readBody(
            answer,
            exchange.remainingMs,
            undefined,
            connections.memoryOf(exchange.request),
        );
        if (exchange.isOver) {
            return undefined;
        }
        if (exchange.response.headersSent) {
            return this.rejectAnswer(exchange, reservation, sequence, status >= MIN_FAILURE_STATUS);
        }
        if (!body || (status >= 200 && status < 300)) {
            return dispatch.SendEffect.MayHaveRun;
        }
        if (exchange.route.resumable && exchange.route.maxAttempts > 1 && status >= MIN_FAILURE_STATUS) {
            return dispatch.SendEffect.RanAndFailed;
        }
        exchange.beginResponse(status, headers.responseHeaders(response.rawHeaders, body.length));
        exchange.endResponse(exchanges.FinalReason.UpstreamFailure, body);
        return undefined;
    }

    private refuseForCapacity(
        exchange: exchanges.Exchange,
        failure: reservations.ReservationFailure | reservations.EarlyRefusal,
    ): void {
        if (failure === reservations.ReservationFailure.Away) {
            away.refuseWhileAway(exchange, this.noEngineRetryAfterMs());
            return;
        }
        const retryAfterMs = typeof failure !== "string"
            ? failure.returnInMs
            : failure === reservations.ReservationFailure.NoEngine
            ? this.noEngineRetryAfterMs()
            : this.queueOf(exchange.service).retryAfterMs(this.context.random());
        exchange.refuse({
            status: 503,
            reason: failure === reservations.ReservationFailure.NoEngine
                ? exchanges.FinalReason.NoUpstream
                : exchanges.FinalReason.NoCapacity,
            retryAfterMs,
        });
    }

    private noEngineRetryAfterMs(): decision.Milliseconds {
        return NO_ENGINE_RETRY_AFTER_MS * (0.5 + this.context.random());
    }

    private refuseUnserved(exchange: exchanges.Exchange): void {
        if (exchange.runs.mayHaveRun) {
            exchange.refuseAsLost();
            return;
        }
        exchange.refuse({
            status: 503,
            reason: exchanges.FinalReason.NotRun,
            retryAfterMs: this.queueOf(exchange.service).retryAfterMs(this.context.random()),
        });
    }
}
