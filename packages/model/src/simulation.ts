import type * as decision from "@citronlead/decision";
import type * as scheduling from "@citronlead/scheduling";
import type * as clocks from "./clock.js";
import * as engineModels from "./engines.js";
import type * as fleets from "./fleet.js";
import type * as policies from "./policies.js";
import type * as workloads from "./workload.js";

/** State shared by all request simulations of a run. */
export interface SimulationContext {
    readonly clock: clocks.SimulationClock;
    readonly fleet: fleets.SimulatedFleet;
    readonly policy: policies.Policy;
    readonly speeds: engineModels.EngineSpeeds;
    readonly firstTokenTargetMs: decision.Milliseconds;
    readonly deadlineMs: decision.Milliseconds;
    readonly priority: number;
}

/** Outcome of a request. */
export enum RequestOutcome {
    Completed = "whole",
    Refused = "refused",
    DeadlineExceeded = "late",
    Cancelled = "cancelled",
}

/** Outcome and timing of a request. */
export interface RequestResult {
    readonly request: workloads.WorkloadRequest;
    readonly outcome: RequestOutcome;
    readonly firstTokenMs: decision.Milliseconds;
    readonly betweenTokensMs: decision.Milliseconds;
    readonly endedAt: decision.Milliseconds;
    /** Prefill work of all attempts, and the part of it other than the prefill that led to the first token. */
    readonly prefillMs: decision.Milliseconds;
    readonly wastedMs: decision.Milliseconds;
}

const ATTEMPT_LIMIT = 3;
/** A prefill still running after the predicted time multiplied by this factor, plus the margin, is reported as overdue. */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MS = 20;

/** Simulates a request from its arrival to its outcome, with retries after failures of decode engines and transfers. */
export class RequestSimulation {
    private attempt = 0;
    private receivedTokens = 0;
    private prefillMs = 0;
    private usefulPrefillMs = 0;
    private firstTokenAt = Infinity;
    private ended = false;
    private releaseResources: () => void = () => undefined;
    private readonly avoidedEngines: string[] = [];

    constructor(
        private readonly context: SimulationContext,
        private readonly request: workloads.WorkloadRequest,
        private readonly onResult: (result: RequestResult) => void,
    ) {}

    /** Starts the request. Must be called at its arrival time. */
    start(): void {
        const { clock, deadlineMs } = this.context;
        clock.runAt(this.request.arrivesAt + deadlineMs, () => this.finish(RequestOutcome.DeadlineExceeded, []));
        if (this.request.cancelsAt < Infinity) {
            clock.runAt(this.request.cancelsAt, () => this.finish(RequestOutcome.Cancelled, []));
        }
        this.requestPlacement();
    }

    private requestPlacement(): void {
        const ask = this.makePlacementRequest();
        this.context.policy.place(ask, (placement) => {
            if (this.ended) {
                this.context.policy.end({ id: ask.id, outputTokens: 0, whole: false, failed: [] });
            }
            else if (placement) {
                this.context.clock.runAt(placement.startAt, () => this.prefill(ask, placement));
            }
            else {
                this.finish(RequestOutcome.Refused, []);
            }
        });
    }

    private makePlacementRequest(): scheduling.ReservationRequest {
        const { request } = this;
        return {
            id: `${request.id}#${this.attempt}`,
            holder: "host",
            workspace: request.workspace,
            priority: this.context.priority,
            promptTokens: request.promptTokens + this.receivedTokens,
            outputTokens: request.maxOutputTokens - this.receivedTokens,
            firstTokenDeadline: request.arrivesAt + this.context.firstTokenTargetMs,
            deadline: request.arrivesAt + this.context.deadlineMs,
            suspect: false,
            prefixHashes: request.prefixHashes,
            avoid: [...this.avoidedEngines],
            retry: this.attempt > 0,
        };
    }

    private prefill(ask: scheduling.ReservationRequest, placement: policies.SimulatedPlacement): void {
        const { clock, fleet, policy } = this.context;
        const engine = fleet.prefill.get(placement.prefill);
        if (this.ended || !engine) {
            return;
        }
        const startedAt = clock.now;
        const attempt = this.attempt;
        const isCurrent = () => !this.ended && this.attempt === attempt;
        let prefillDone = false;
        if (placement.prefillMs < Infinity) {
            const overdueMs = placement.prefillMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
            clock.runAt(startedAt + overdueMs, () => {
                if (isCurrent() && !prefillDone) {
                    policy.progress({ id: ask.id, prefillMs: overdueMs, prefillDone: false });
                }
            });
        }
        engine.prefill(ask.promptTokens, ask.prefixHashes, isCurrent, (cachedTokens, workMs) => {
            prefillDone = true;
            this.prefillMs += workMs;
            if (isCurrent()) {
                const prefillMs = clock.now - startedAt;
                policy.progress({ id: ask.id, prefillMs, prefillDone: true, cachedTokens });
                this.importCache(ask, placement.decode ?? policy.chooseDecodeEngine(ask), engine, workMs);
            }
        });
    }

    private importCache(
        ask: scheduling.ReservationRequest,
        decodeName: string,
        from: engineModels.SimulatedPrefillEngine,
        workMs: decision.Milliseconds,
    ): void {
        const { clock, fleet, speeds } = this.context;
        const decode = fleet.decode.get(decodeName);
        const attempt = this.attempt;
        const isCurrent = () => !this.ended && this.attempt === attempt;
        if (!decode || decode.down) {
            this.retry([decodeName]);
            return;
        }
        const expiresAt = clock.now + speeds.survivalMs;
        const memoryTokens = ask.promptTokens + this.request.outputTokens - this.receivedTokens;
        let transferStarted = false;
        clock.runAt(expiresAt, () => {
            if (isCurrent() && !transferStarted) {
                this.context.policy.progress({ id: ask.id, transferMs: speeds.survivalMs });
                this.retry([]);
            }
        });
        decode.requestSlot(memoryTokens, () => {
            if (!isCurrent() || clock.now >= expiresAt) {
                return false;
            }
            const bytes = ask.promptTokens * speeds.cacheBytesPerToken;
            const transferStartedAt = clock.now;
            const transferEndsAt = engineModels.transfer(clock.now, from.link, decode.link, bytes);
            transferStarted = transferEndsAt <= expiresAt;
            if (transferStarted) {
                const slot = this.trackSlot(decode, memoryTokens);
                clock.runAt(transferEndsAt, () => {
                    if (isCurrent() && slot.isHeld()) {
                        this.context.policy.progress({ id: ask.id, transferMs: clock.now - transferStartedAt });
                        this.startStream(ask, decode, workMs, slot.release);
                    }
                });
            }
            return transferStarted;
        });
    }

    private trackSlot(
        decode: engineModels.SimulatedDecodeEngine,
        memoryTokens: number,
    ): { isHeld: () => boolean; release: () => void; } {
        const { incarnation } = decode;
        let released = false;
        const isHeld = () => !released && decode.incarnation === incarnation;
        const release = () => {
            if (isHeld()) {
                released = true;
                decode.releaseSlot(memoryTokens);
            }
        };
        this.releaseResources = release;
        return { isHeld, release };
    }

    private startStream(
        ask: scheduling.ReservationRequest,
        decode: engineModels.SimulatedDecodeEngine,
        workMs: decision.Milliseconds,
        releaseSlot: () => void,
    ): void {
        const receivedBefore = this.receivedTokens;
        const stop = decode.start({
            tokens: this.request.outputTokens - receivedBefore,
            memoryTokens: ask.promptTokens,
            onFirstToken: (at) => {
                this.usefulPrefillMs = this.usefulPrefillMs || workMs;
                this.firstTokenAt = Math.min(this.firstTokenAt, at);
            },
            onTokenInterval: (tokenMs) => this.context.policy.progress({ id: ask.id, tokenMs }),
            onEnd: () => {
                this.receivedTokens = this.request.outputTokens;
                this.releaseResources = () => undefined;
                releaseSlot();
                this.finish(RequestOutcome.Completed, []);
            },
            onCrash: (tokens) => {
                this.receivedTokens = receivedBefore + tokens;
                this.retry([decode.name]);
            },
        });
        this.releaseResources = () => {
            stop();
            releaseSlot();
        };
    }

    private retry(failed: readonly string[]): void {
        if (this.ended) {
            return;
        }
        this.endAttempt(false, failed);
        this.avoidedEngines.push(...failed);
        this.attempt++;
        if (this.attempt < ATTEMPT_LIMIT) {
            this.requestPlacement();
        }
        else {
            this.reportResult(RequestOutcome.Refused);
        }
    }

    private endAttempt(whole: boolean, failed: readonly string[]): void {
        this.releaseResources();
        this.releaseResources = () => undefined;
        const id = `${this.request.id}#${this.attempt}`;
        this.context.policy.end({ id, outputTokens: this.receivedTokens, whole, failed });
    }

    private finish(outcome: RequestOutcome, failed: readonly string[]): void {
        if (!this.ended) {
            this.ended = true;
            this.endAttempt(outcome === RequestOutcome.Completed, failed);
            this.reportResult(outcome);
        }
    }

    private reportResult(outcome: RequestOutcome): void {
        this.ended = true;
        const { request, firstTokenAt } = this;
        const endedAt = this.context.clock.now;
        this.onResult({
            request,
            outcome,
            endedAt,
            firstTokenMs: firstTokenAt - request.arrivesAt,
            betweenTokensMs: (endedAt - firstTokenAt) / Math.max(1, request.outputTokens - 1),
            prefillMs: this.prefillMs,
            wastedMs: this.prefillMs - this.usefulPrefillMs,
        });
    }
}
