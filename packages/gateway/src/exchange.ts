import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import type * as routing from "@citronlead/routing";
import type * as http from "node:http";
import type * as callrecords from "./callrecord.js";
import type * as contexts from "./context.js";
import * as evidences from "./evidence.js";
import * as envelopes from "./relay/envelope.js";
import type * as wires from "./wire.js";

/** Why a request ended as it did. */
export enum FinalReason {
    Served = "served",
    /** An upstream's error response was relayed, or replaced because it would have been a promise. */
    UpstreamFailure = "upstreamFailure",
    NotReady = "notReady",
    BadRequest = "badRequest",
    HeadersTooLong = "headersTooLong",
    BodyTooLong = "bodyTooLong",
    NoRoute = "noRoute",
    KeyDenied = "keyDenied",
    OverQuota = "overQuota",
    /** Requests that are identical, or that share a part of the prompt, crash upstreams. */
    ContentBarred = "contentBarred",
    NoUpstream = "noUpstream",
    /** Each upstream leaves, or wants nothing for longer than the request can wait. */
    UpstreamsAway = "upstreamsAway",
    /** Each upstream is in an availability zone that operators empty. */
    ZonesEmptied = "zonesEmptied",
    /** This host cannot reach any upstream of the service. */
    Unreachable = "unreachable",
    /** The software version that began a resumed stream is not known, or has no upstream. */
    NoVersion = "noVersion",
    NoCapacity = "noRoom",
    /** All permitted sends failed before any upstream ran the request. */
    NotRun = "notRun",
    /** The request may have run, but its response was lost. */
    ResponseLost = "answerLost",
    TimedOut = "timedOut",
    CallerDisconnected = "callerLeft",
    StreamBroken = "streamBroken",
    /** The host stops and has no time for the request. */
    HostStopping = "hostStopping",
    /** The host has ended before the response. */
    Stopped = "stopped",
}

/** A response that the gateway generates for a request that is not served. */
export interface Refusal {
    readonly status: number;
    readonly reason: FinalReason;
    readonly retryAfterMs?: decision.Milliseconds;
}

/** Margin before the caller's deadline, for the network delay to the caller and a timer that fires late. */
const RESPONSE_MARGIN_MS = 25;
/** Timers drop the fraction of a delay and of the clock that they start from, so that they fire up to this early. */
export const TIMER_RESOLUTION_MS = 2;

/** Number of priorities that a route can have. */
const PRIORITY_LEVELS = 10;

/** Retry-After for a request that crashes upstreams. */
const BARRED_RETRY_AFTER_MS = 60_000;

/** A request whose route, workspace and body are known, until its final response. */
export class Exchange {
    readonly startedAt: decision.Milliseconds;
    readonly deadlineAt: decision.Milliseconds;
    readonly latencyTargetAt: decision.Milliseconds;
    readonly callRecords: callrecords.CallRecord[] = [];
    private readonly abortController = new AbortController();
    private deadlineTimer: NodeJS.Timeout;
    readonly expectedOutput: dispatch.OutputLength;
    /** Whether another host has relayed it. */
    readonly isRelayed: boolean;
    /** The regions that its route and its workspace allow; see regions.ts. */
    readonly allowedRegions: dispatch.AllowedRegions;
    private finished = false;
    private callInFlight: callrecords.CallRecord | undefined;
    private sent = false;
    readonly evidence: evidences.EvidenceOfSends;
    private unsentCallback: (() => void) | undefined;
    /** Leave for each send that could run the request, and what is known of them. */
    readonly runs: dispatch.RunLedger;
    /** Number of reservations that engines refused for lack of capacity. */
    refusedReservations = 0;
    relayedEvents = 0;
    /** Incarnation of the upstream whose latest answer says that it leaves. */
    leavingUpstream: string | undefined;
    /** Leave for each send to an upstream, from the budget of its service. */
    readonly permits: dispatch.SendPermits;
    /** Whether an upstream responded to a call for it, such as a reservation. */
    hasContact = false;
    private countedAt: decision.Milliseconds | undefined;
    /** For how long its caller has held the response up, which does not count towards the deadline. */
    callerHeldMs: () => decision.Milliseconds = () => 0;
    /** Whether other hosts were asked to serve it. */
    wasOfferedToHosts = false;

    constructor(
        readonly context: contexts.GatewayContext,
        readonly request: http.IncomingMessage,
        readonly response: http.ServerResponse,
        readonly metadata: wires.RequestMetadata,
        readonly route: routing.Route,
        readonly service: string,
        readonly workspace: routing.Workspace | undefined,
        readonly body: Buffer | undefined,
        readonly fingerprints: dispatch.Fingerprints,
        /** Version of the configuration that its route and workspace are from. */
        readonly configuration: number,
        startedAt: decision.Milliseconds,
    ) {
        this.startedAt = startedAt;
        this.evidence = new evidences.EvidenceOfSends(route.kind, context.metrics);
        const relayed = envelopes.relayedRequestOf(request);
        this.allowedRegions = dispatch.intersectRegions(route.allowedRegions, workspace?.allowedRegions);
        this.isRelayed = relayed !== undefined;
        const callerTimeoutMs = (relayed?.timeLeftMs ?? metadata.timeoutMs ?? Infinity) - RESPONSE_MARGIN_MS;
        this.deadlineAt = startedAt + Math.min(route.timeoutMs, callerTimeoutMs);
        this.expectedOutput = context.outputForecast.forecast(route.name, this.outputBounds);
        this.latencyTargetAt = startedAt + route.latencyTargetMs;
        const { clock, retryBudget } = context;
        this.permits = new dispatch.SendPermits({
            remaining: () => retryBudget.remaining(service, this.hostCount, clock()),
            tryAcquire: (count) => retryBudget.tryAcquire(service, this.hostCount, clock(), count),
            use: () => retryBudget.use(service, clock()),
            release: () => retryBudget.release(service),
        });
        this.runs = new dispatch.RunLedger(dispatch.mayRepeat(route));
        this.deadlineTimer = setTimeout(() => this.onDeadline(), Math.max(0, this.deadlineAt - context.clock()));
        response.on("close", () => this.onCallerDisconnect());
        context.hostStop.add(this);
    }

    /** Aborted when the final response has been sent or the caller has disconnected. */
    get signal(): AbortSignal {
        return this.abortController.signal;
    }

    /** Whether the final response has been sent or the caller has disconnected. */
    get isOver(): boolean {
        return this.finished;
    }

    /** Time left until the deadline. */
    get remainingMs(): decision.Milliseconds {
        return this.deadlineAt - this.context.clock();
    }

    /** Priority among the requests of a service; 0 is the most urgent. */
    get priority(): number {
        return this.workspace?.priority ?? this.route.priority;
    }

    /** Urgency among the requests of a service, smaller first: by priority, and by the route's where that is equal. */
    get urgency(): number {
        return this.priority * PRIORITY_LEVELS + Math.min(this.route.priority, PRIORITY_LEVELS - 1);
    }

    /** What the request's metadata say about its output length. */
    get outputBounds(): dispatch.OutputBounds {
        const { maxOutputTokens, estimatedOutputTokens } = this.metadata;
        return { maxTokens: maxOutputTokens, estimatedTokens: estimatedOutputTokens };
    }

    /** Memory to reserve at an engine, in tokens of prompt and output. */
    get reservedTokens(): number {
        return this.metadata.promptTokens + this.expectedOutput.high;
    }

    /** Calls back when the request ends, at once if it has, unless it was sent to an upstream. */
    onEndedUnsent(callback: () => void): void {
        this.unsentCallback = callback;
        if (this.finished) {
            this.notifyUnsent();
        }
    }

    /** Counts the request towards the retries that its service may get. */
    countForRetries(): void {
        this.countedAt = this.context.clock();
        this.context.retryBudget.countRequest(this.service, this.countedAt);
    }

    /** Takes back what this host has charged for a request of which nothing has reached an upstream. */
    takeBackCharges(): void {
        this.unsentCallback?.();
        this.unsentCallback = undefined;
        if (this.countedAt !== undefined) {
            this.context.retryBudget.discountRequest(this.service, this.countedAt);
            this.countedAt = undefined;
        }
    }

    /** Number of retries that the budget has left, with those taken for this request. */
    get remainingRetries(): number {
        const { clock, retryBudget } = this.context;
        return this.permits.heldRetries + retryBudget.remaining(this.service, this.hostCount, clock());
    }

    /** Takes retries for the next sends, unless none has reached an upstream. Returns false if the budget has too few. */
    tryAcquireRetries(count = 1): boolean {
        return this.permits.tryHold(count);
    }

    /** Records the start of a call, so that it is logged if the request ends while the call is in flight. */
    beginCall(call: string, { id, softwareVersion }: routing.Upstream): void {
        this.sent = true;
        this.callInFlight = {
            call,
            upstream: id,
            softwareVersion,
            result: "under way",
            startedMs: this.elapsedMs(),
            tookMs: 0,
        };
    }

    /** Records how a call ended, for the log and the metrics. Returns the record, to which more may be added. */
    recordCall(
        call: string,
        { id, softwareVersion }: Pick<routing.Upstream, "id" | "softwareVersion">,
        result: string,
        startedAt: decision.Milliseconds,
        evidence?: evidences.SendEvidence,
    ): callrecords.CallRecord {
        const { clock, metrics } = this.context;
        metrics.sends.inc({ service: this.service, call, result });
        this.callInFlight = undefined;
        const record = {
            call,
            upstream: id,
            softwareVersion,
            result,
            startedMs: Math.round(startedAt - this.startedAt),
            tookMs: Math.round(clock() - startedAt),
            ...(this.finished ? {} : this.evidence.record(call, evidence)),
        };
        this.callRecords.push(record);
        return record;
    }

    /**
     * Sends the status and headers of an upstream's response to the caller. Without a length among them the body goes in chunks, so
     * that one that this host breaks off does not look complete. Returns false if the request is refused instead: the status would
     * promise that it has not run.
     */
    beginResponse(status: number, headers: readonly string[]): boolean {
        if (!this.runs.mayPassOn(status)) {
            this.refuse({ status, reason: FinalReason.UpstreamFailure });
            return false;
        }
        this.context.metrics.firstByte.observe(
            { service: this.service },
            (this.context.clock() - this.startedAt) / decision.SECOND_MS,
        );
        const relayHeaders = this.isRelayed && this.leavingUpstream !== undefined
            ? envelopes.leavingHeaders(this.leavingUpstream)
            : [];
        this.response.writeHead(status, [...headers, ...relayHeaders] as unknown as http.OutgoingHttpHeader[]);
        return true;
    }

    /** Ends a response that was relayed completely. */
    endResponse(reason: FinalReason, body?: Buffer): void {
        if (this.finished) {
            return;
        }
        this.response.end(body);
        this.finish(reason, this.response.statusCode);
    }

    /** Aborts a response that cannot be completed, so that the caller does not treat it as complete. */
    abortResponse(reason: FinalReason): void {
        if (this.finished) {
            return;
        }
        this.finish(reason, this.response.headersSent ? this.response.statusCode : 0);
        if (this.response.chunkedEncoding) {
            this.response.destroy();
        }
        else {
            // To callers without chunks, such as those of HTTP/1.0, a closed connection would end the response.
            this.response.socket?.resetAndDestroy();
        }
    }

    /**
     * Hands the request to another host if none of its sends has reached an upstream. Returns whether it is over; a request
     * that another host relayed is refused, so that the host asks a third.
     */
    async serveElsewhereIfUnreached(): Promise<boolean> {
        const isUnreached = this.callRecords.length > 0 && this.permits.arrivals === 0 && !this.hasContact
            && !this.permits.hasPrefill;
        if (this.finished || this.runs.mayHaveRun || this.response.headersSent || !isUnreached) {
            return this.finished;
        }
        this.takeBackCharges();
        if (this.refuseIfStopping()) {
            return true;
        }
        if (await this.context.relay.relay(this)) {
            return true;
        }
        if (this.isRelayed) {
            this.refuse({ status: 503, reason: FinalReason.Unreachable });
        }
        return this.finished;
    }

    /** Refuses the request if it is barred from upstreams by now. Returns whether it is over. */
    refuseIfBarred(): boolean {
        if (!this.finished && this.context.quarantine.isBarred(this.fingerprints)) {
            this.refuse({ status: 503, reason: FinalReason.ContentBarred, retryAfterMs: BARRED_RETRY_AFTER_MS });
        }
        return this.finished;
    }

    /** Refuses a request without a response if this host stops and has no time for it. Returns whether it is over. */
    refuseIfStopping(): boolean {
        this.context.hostStop.refuseUntimely(this);
        return this.finished;
    }

    /** Refuses the request, without a promise if it may have run, or aborts its response if a part has already been sent. */
    refuse(refusal: Refusal): void {
        if (this.finished) {
            return;
        }
        if (this.response.headersSent) {
            this.abortResponse(refusal.reason);
            return;
        }
        const status = this.runs.refusalStatus(refusal.status, refusal.reason === FinalReason.TimedOut);
        this.finish(refusal.reason, status);
        this.context.sendRefusal(this.response, this.metadata.requestId, { ...refusal, status });
    }

    /** Refuses a request that may have run and whose response is lost; one that has reached its deadline has timed out. */
    refuseAsLost(): void {
        if (this.remainingMs <= TIMER_RESOLUTION_MS) {
            this.onDeadline();
            return;
        }
        this.refuse({ status: 502, reason: FinalReason.ResponseLost });
    }

    /** Number of hosts that share the retry budget; 0 before they have been listed. */
    private get hostCount(): number {
        const { storeView } = this.context;
        return storeView.hasListedHosts() ? storeView.hosts().length : 0;
    }

    private elapsedMs(): number {
        return Math.round(this.context.clock() - this.startedAt);
    }

    private onDeadline(): void {
        // The margin is for a final response that has to reach its caller; a stream that has begun goes on to the end.
        if (this.response.headersSent && !this.finished) {
            const leftMs = this.deadlineAt + RESPONSE_MARGIN_MS + this.callerHeldMs() - this.context.clock();
            if (leftMs <= TIMER_RESOLUTION_MS) {
                this.abortResponse(FinalReason.TimedOut);
                return;
            }
            this.deadlineTimer = setTimeout(() => this.onDeadline(), Math.max(RESPONSE_MARGIN_MS, leftMs));
            return;
        }
        this.refuse({ status: 503, reason: FinalReason.TimedOut, retryAfterMs: 0 });
    }

    private onCallerDisconnect(): void {
        if (!this.finished) {
            this.finish(FinalReason.CallerDisconnected, 0);
        }
    }

    private notifyUnsent(): void {
        if (!this.sent) {
            this.unsentCallback?.();
            this.unsentCallback = undefined;
        }
    }

    private finish(reason: FinalReason, status: number): void {
        this.finished = true;
        this.context.hostStop.delete(this);
        if (this.callInFlight) {
            this.callRecords.push(this.callInFlight);
            this.evidence.record(this.callInFlight.call, { proof: undefined });
        }
        clearTimeout(this.deadlineTimer);
        this.permits.close();
        this.runs.close();
        this.abortController.abort();
        this.notifyUnsent();
        this.context.logOutcome(this, reason, status);
    }
}
