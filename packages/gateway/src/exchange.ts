import * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";
import type * as http from "node:http";
import type * as contexts from "./context.js";
import type * as wires from "./wire.js";

/** Why a request got its final answer. */
export enum FinalReason {
    Served = "served",
    /** An upstream's own failure was passed on. */
    UpstreamFailure = "upstreamFailure",
    NotReady = "notReady",
    BadRequest = "badRequest",
    HeadersTooLong = "headersTooLong",
    BodyTooLong = "bodyTooLong",
    NoRoute = "noRoute",
    KeyDenied = "keyDenied",
    OverQuota = "overQuota",
    ContentBarred = "contentBarred",
    NoUpstream = "noUpstream",
    NoCapacity = "noRoom",
    /** Every send that was allowed failed before the request ran. */
    NotRun = "notRun",
    /** The request may have run and no answer can be had. */
    ResponseLost = "answerLost",
    TimedOut = "timedOut",
    CallerDisconnected = "callerLeft",
    StreamBroken = "streamBroken",
}

/** One send to an upstream, for the log. */
export interface CallRecord {
    readonly call: string;
    readonly upstream: string;
    readonly result: string;
    readonly startedMs: number;
    readonly tookMs: number;
}

/** A refusal or failure that the gateway answers by itself. */
export interface Refusal {
    readonly status: number;
    readonly reason: FinalReason;
    readonly retryAfterMs?: decision.Milliseconds;
}

/** Time by which the final answer goes out before the caller's deadline: a way to the caller and a late timer. */
const RESPONSE_MARGIN_MS = 25;

/** A request whose route, workspace and body are known, until its final answer. */
export class Exchange {
    readonly startedAt: decision.Milliseconds;
    readonly deadlineAt: decision.Milliseconds;
    readonly latencyTargetAt: decision.Milliseconds;
    readonly callRecords: CallRecord[] = [];
    private readonly abortController = new AbortController();
    private readonly deadlineTimer: NodeJS.Timeout;
    /** Output that is expected, in tokens. */
    readonly expectedOutputTokens: number;
    private finished = false;
    private callInFlight: CallRecord | undefined;
    /** Whether an upstream may have run the request. */
    mayHaveRun = false;
    /** Engines that had no room when they were asked. */
    refusedReservations = 0;
    /** Pieces of a stream that were passed on. */
    relayedChunks = 0;

    constructor(
        readonly context: contexts.GatewayContext,
        readonly request: http.IncomingMessage,
        readonly response: http.ServerResponse,
        readonly metadata: wires.RequestMetadata,
        readonly route: routing.Route,
        readonly service: string,
        readonly workspace: routing.Workspace | undefined,
        readonly body: Buffer | undefined,
        readonly contentHash: string,
        startedAt: decision.Milliseconds,
    ) {
        this.startedAt = startedAt;
        const callerTimeoutMs = (metadata.patienceMs ?? Infinity) - RESPONSE_MARGIN_MS;
        this.deadlineAt = startedAt + Math.min(route.timeoutMs, callerTimeoutMs);
        this.expectedOutputTokens = context.outputForecast.forecastTokens(service, {
            maxTokens: metadata.outputTokens,
            estimatedTokens: metadata.estimatedOutputTokens,
        });
        this.latencyTargetAt = startedAt + route.latencyTargetMs;
        this.deadlineTimer = setTimeout(() => this.onDeadline(), Math.max(0, this.deadlineAt - context.clock()));
        response.on("close", () => this.onCallerDisconnect());
    }

    /** Aborted when the request has its final answer or its caller has left. */
    get signal(): AbortSignal {
        return this.abortController.signal;
    }

    /** Whether the final answer is out or the caller has left. */
    get isOver(): boolean {
        return this.finished;
    }

    /** Time left until the deadline. */
    get remainingMs(): decision.Milliseconds {
        return this.deadlineAt - this.context.clock();
    }

    /** Urgency among the requests of a service, 0 first. */
    get priority(): number {
        return this.workspace?.priority ?? this.route.priority;
    }

    /** Memory that the request is expected to need at an engine, in tokens. */
    get expectedTokens(): number {
        return this.metadata.promptTokens + this.expectedOutputTokens;
    }

    /** Notes that a send begins, so that a request that ends meanwhile names it. */
    beginCall(call: string, upstream: string): void {
        this.callInFlight = { call, upstream, result: "under way", startedMs: this.elapsedMs(), tookMs: 0 };
    }

    /** Notes how a send ended, for the log and the metrics. */
    recordCall(call: string, upstream: string, result: string, startedAt: decision.Milliseconds): void {
        const { clock, metrics } = this.context;
        metrics.sends.inc({ service: this.service, call, result });
        this.callInFlight = undefined;
        this.callRecords.push({
            call,
            upstream,
            result,
            startedMs: Math.round(startedAt - this.startedAt),
            tookMs: Math.round(clock() - startedAt),
        });
    }

    /**
     * Passes on the head of an upstream's answer. An answer without a length ends with its connection here too: given a
     * length, one that its upstream broke off would look complete.
     */
    beginResponse(status: number, headers: readonly string[], framed: boolean): void {
        this.context.metrics.firstByte.observe(
            { service: this.service },
            (this.context.clock() - this.startedAt) / decision.SECOND_MS,
        );
        if (!framed) {
            this.response.useChunkedEncodingByDefault = false;
            this.response.shouldKeepAlive = false;
        }
        this.response.writeHead(status, headers as unknown as http.OutgoingHttpHeader[]);
    }

    /** Ends an answer that was passed on whole. */
    endResponse(reason: FinalReason, body?: Buffer): void {
        if (this.finished) {
            return;
        }
        this.response.end(body);
        this.finish(reason, this.response.statusCode);
    }

    /** Breaks off an answer that cannot be completed, so that the caller does not take it for whole. */
    abortResponse(reason: FinalReason): void {
        if (this.finished) {
            return;
        }
        this.finish(reason, this.response.statusCode);
        this.response.destroy();
    }

    /** Refuses the request, or fails it if a part of its answer is out. */
    refuse(refusal: Refusal): void {
        if (this.finished) {
            return;
        }
        if (this.response.headersSent) {
            this.abortResponse(refusal.reason);
            return;
        }
        this.finish(refusal.reason, refusal.status);
        this.context.sendRefusal(this.response, this.metadata.requestId, refusal);
    }

    private elapsedMs(): number {
        return Math.round(this.context.clock() - this.startedAt);
    }

    private onDeadline(): void {
        this.refuse({ status: this.mayHaveRun ? 504 : 503, reason: FinalReason.TimedOut, retryAfterMs: 0 });
    }

    private onCallerDisconnect(): void {
        if (!this.finished) {
            this.finish(FinalReason.CallerDisconnected, 0);
        }
    }

    private finish(reason: FinalReason, status: number): void {
        this.finished = true;
        if (this.callInFlight) {
            this.callRecords.push(this.callInFlight);
        }
        clearTimeout(this.deadlineTimer);
        this.abortController.abort();
        this.context.logOutcome(this, reason, status);
    }
}
