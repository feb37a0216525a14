import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as contexts from "./context.js";
import * as exchanges from "./exchange.js";
import * as headers from "./headers.js";
import * as prefills from "./prefill.js";
import * as room from "./reservation.js";
import * as roomqueues from "./roomqueue.js";
import * as sends from "./send.js";
import * as relays from "./streamrelay.js";
import * as calls from "./upstreamcall.js";

/** Rounds of reserving, prefill and decode for one request. */
const ROUNDS_LIMIT = 3;
/** Shortest silence after which a stream is taken for dead; callers wait at least two seconds for an event. */
const LEAST_SILENCE_MS = 1_900;
/** Callers give a stream up after this many latency targets without an event. */
const TARGETS_OF_SILENCE = 4;
/** Callers give a stream up after this many pause targets without an event. */
const PAUSES_OF_SILENCE = 8;
/** Part of the callers' patience that is used, so that a failure reaches them before they leave. */
const SILENCE_SHARE = 0.92;
/** Retry-After when no engine is there: crashed engines are back within seconds. */
const NO_ENGINE_RETURN_MS = 1_500;
/** Least time left for another round to be of use: a prefill and a few events. */
const LEAST_LEFT_MS = 400;

/** Serves requests that run on model engines. */
export class ModelPath {
    private readonly prefills = new prefills.Prefills();
    private readonly queues = new Map<string, roomqueues.RoomQueue>();

    constructor(private readonly context: contexts.GatewayContext) {}

    /** Serves one request: room at a decode engine, prefill, decode; again elsewhere as far as route and budget allow. */
    async serve(exchange: exchanges.Exchange): Promise<void> {
        const progress: relays.StreamProgress = { lastEventId: exchange.facts.lastEventId };
        let runs = 0;
        let whole = false;
        for (let round = 0; round < ROUNDS_LIMIT && !exchange.over; round++) {
            const hosts = this.context.knowledge.hosts().length;
            if (round > 0 && !this.context.retries.take(exchange.service, hosts, this.context.clock())) {
                break;
            }
            const reservation = await room.findRoom(exchange, this.queueOf(exchange.service));
            if (typeof reservation === "string") {
                this.refuseForRoom(exchange, reservation);
                return;
            }
            const effect = await this.runAt(exchange, reservation, progress, whole);
            this.queueOf(exchange.service).freed();
            if (effect === undefined || exchange.over) {
                return;
            }
            runs += effect === dispatch.SendEffect.NotRun ? 0 : 1;
            // A handle that could not be fetched would likely be lost again; the engine can read the prompt itself.
            whole = effect === dispatch.SendEffect.NotRun;
            const again = dispatch.maySendAgain({
                route: exchange.route,
                effect,
                runs,
                answering: exchange.response.headersSent,
                timeLeft: exchange.leftMs > LEAST_LEFT_MS,
            });
            if (!again) {
                break;
            }
        }
        this.fail(exchange);
    }

    private queueOf(service: string): roomqueues.RoomQueue {
        const queue = this.queues.get(service) ?? new roomqueues.RoomQueue(this.context.scope, this.context.clock);
        this.queues.set(service, queue);
        return queue;
    }

    /** One round at an engine with room. Undefined if the request has its final answer. */
    private async runAt(
        exchange: exchanges.Exchange,
        reservation: room.Reservation,
        progress: relays.StreamProgress,
        whole: boolean,
    ): Promise<dispatch.SendEffect | undefined> {
        const { candidate } = reservation;
        candidate.health.inFlight++;
        try {
            const split = !whole && candidate.upstream.stage === routing.EngineStage.Decode;
            const prefilled = split ? await this.prefills.prefill(exchange, candidate.upstream) : undefined;
            if (exchange.over) {
                room.releaseReservation(exchange, reservation);
                if (prefilled) {
                    prefills.releasePrefill(exchange, prefilled);
                }
                return undefined;
            }
            if (!this.context.pool.takesWork(candidate.upstream)) {
                return this.abandon(exchange, reservation, prefilled);
            }
            return await this.decode(exchange, reservation, prefilled, progress);
        }
        finally {
            candidate.health.inFlight--;
        }
    }

    /** Gives up an engine that began to drain while the prompt was read elsewhere. */
    private abandon(
        exchange: exchanges.Exchange,
        reservation: room.Reservation,
        prefilled: prefills.Prefilled | undefined,
    ): dispatch.SendEffect {
        exchange.step("decode", reservation.candidate.upstream.id, "not sent: draining", this.context.clock());
        room.releaseReservation(exchange, reservation);
        if (prefilled) {
            prefills.releasePrefill(exchange, prefilled);
        }
        return dispatch.SendEffect.NotRun;
    }

    private async decode(
        exchange: exchanges.Exchange,
        reservation: room.Reservation,
        prefilled: prefills.Prefilled | undefined,
        progress: relays.StreamProgress,
    ): Promise<dispatch.SendEffect | undefined> {
        const mayHaveRun = exchange.mayHaveRun;
        exchange.mayHaveRun = true;
        const silenceMs = silenceLimitMs(exchange.route);
        const sent = await sends.send(exchange, reservation.candidate, {
            call: "decode",
            headTimeoutMs: silenceMs,
            prefillSource: prefilled?.source,
            reservation: reservation.id,
            resumeAfter: progress.lastEventId,
        });
        if (sent.kind === sends.SendKind.NotRun) {
            exchange.mayHaveRun = mayHaveRun;
            room.releaseReservation(exchange, reservation);
            if (prefilled) {
                prefilled.candidate.health.record(dispatch.SendResult.Failed, this.context.clock());
                prefills.releasePrefill(exchange, prefilled);
            }
            return dispatch.SendEffect.NotRun;
        }
        if (sent.kind === sends.SendKind.Lost) {
            return dispatch.SendEffect.MayHaveRun;
        }
        return this.relay(exchange, sent, reservation, progress, silenceMs);
    }

    private async relay(
        exchange: exchanges.Exchange,
        sent: Extract<sends.Sent, { kind: sends.SendKind.Answer; }>,
        reservation: room.Reservation,
        progress: relays.StreamProgress,
        silenceMs: decision.Milliseconds,
    ): Promise<dispatch.SendEffect | undefined> {
        const { response, facts } = sent;
        const status = response.statusCode ?? 502;
        if (status !== 200) {
            return this.relayFailure(exchange, response, status);
        }
        if (!facts.signed || response.headers["content-encoding"] !== undefined) {
            response.destroy();
            return dispatch.SendEffect.MayHaveRun;
        }
        const end = await relays.relayEvents(exchange, response, progress, silenceMs);
        if (end === relays.RelayEnd.Complete) {
            this.context.suspects.clear(exchange.content);
            this.learnOutput(exchange);
        }
        if (end !== relays.RelayEnd.Broken) {
            return undefined;
        }
        reservation.candidate.health.record(dispatch.SendResult.Unreachable, this.context.clock());
        exchange.step("events", reservation.candidate.upstream.id, "broken off", this.context.clock());
        sends.reportCrash(exchange, reservation.candidate.upstream);
        return dispatch.SendEffect.MayHaveRun;
    }

    private learnOutput({ service, passedEvents }: exchanges.Exchange): void {
        const engine = this.context.knowledge.inForce()?.table.serviceByName.get(service)?.engine;
        this.context.outputs.learn(service, passedEvents * (engine?.tokensAnEvent ?? 1));
    }

    /** Passes an engine's own failure on, unless a repeat is allowed. */
    private async relayFailure(
        exchange: exchanges.Exchange,
        response: Extract<sends.Sent, { kind: sends.SendKind.Answer; }>["response"],
        status: number,
    ): Promise<dispatch.SendEffect | undefined> {
        const body = await calls.readWhole(response, exchange.leftMs);
        if (exchange.over) {
            return undefined;
        }
        if (!body || exchange.response.headersSent || (status >= 200 && status < 300)) {
            return dispatch.SendEffect.MayHaveRun;
        }
        if (exchange.route.resumable && exchange.route.attempts > 1 && status >= 500) {
            return dispatch.SendEffect.RanAndFailed;
        }
        const framed = calls.isFramed(response);
        const passed = headers.answerHeaders(response.rawHeaders, framed ? body.length : undefined);
        exchange.beginAnswer(status, passed, framed);
        exchange.endAnswer(exchanges.FinalReason.UpstreamFailure, body);
        return undefined;
    }

    private refuseForRoom(exchange: exchanges.Exchange, why: room.NoRoom): void {
        const retryAfterMs = why === room.NoRoom.NoEngine
            ? NO_ENGINE_RETURN_MS * (0.5 + this.context.random())
            : this.queueOf(exchange.service).returnAfterMs(this.context.random());
        exchange.refuse({
            status: exchange.mayHaveRun ? 502 : 503,
            reason: why === room.NoRoom.NoEngine ? exchanges.FinalReason.NoUpstream : exchanges.FinalReason.NoRoom,
            retryAfterMs,
        });
    }

    private fail(exchange: exchanges.Exchange): void {
        if (exchange.mayHaveRun) {
            exchange.refuse({ status: 502, reason: exchanges.FinalReason.AnswerLost });
            return;
        }
        exchange.refuse({
            status: 503,
            reason: exchanges.FinalReason.NotRun,
            retryAfterMs: this.queueOf(exchange.service).returnAfterMs(this.context.random()),
        });
    }
}

/** Silence after which a stream is taken for dead: just before its caller would give it up. */
function silenceLimitMs(route: routing.Route): decision.Milliseconds {
    const patienceMs = Math.max(
        LEAST_SILENCE_MS,
        TARGETS_OF_SILENCE * route.latencyTargetMs,
        PAUSES_OF_SILENCE * (route.pauseTargetMs ?? 0),
    );
    return route.resumable ? LEAST_SILENCE_MS : patienceMs * SILENCE_SHARE;
}
