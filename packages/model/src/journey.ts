import type * as decision from "@citronlead/decision";
import type * as scheduling from "@citronlead/scheduling";
import type * as clocks from "./clock.js";
import * as engineModels from "./engines.js";
import type * as fleets from "./fleet.js";
import type * as policies from "./policies.js";
import type * as workloads from "./workload.js";

/** What the journeys of one run share. */
export interface Surroundings {
    readonly clock: clocks.ModelClock;
    readonly fleet: fleets.ModelFleet;
    readonly policy: policies.Policy;
    readonly speeds: engineModels.EngineSpeeds;
    readonly firstTokenTargetMs: decision.Milliseconds;
    readonly deadlineMs: decision.Milliseconds;
    readonly priority: number;
}

/** How a request ended. */
export enum Ending {
    Whole = "whole",
    Refused = "refused",
    /** Cut off by its deadline. */
    Late = "late",
    Cancelled = "cancelled",
}

/** What became of a request. */
export interface JourneyResult {
    readonly request: workloads.ModelRequest;
    readonly ending: Ending;
    readonly firstTokenMs: decision.Milliseconds;
    readonly betweenTokensMs: decision.Milliseconds;
    readonly endedAt: decision.Milliseconds;
    /** Work of all its prefills, and of those that came to nothing. */
    readonly prefillMs: decision.Milliseconds;
    readonly wastedMs: decision.Milliseconds;
}

const ATTEMPT_LIMIT = 3;
/** A prefill that takes this much longer than predicted is reported before it is done. */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MS = 20;

/** One request on its way through the model's engines. */
export class Journey {
    private attempt = 0;
    private tokens = 0;
    private prefillMs = 0;
    private usefulMs = 0;
    private firstAt = Infinity;
    private over = false;
    private leave: () => void = () => undefined;
    private readonly avoid: string[] = [];

    constructor(
        private readonly around: Surroundings,
        private readonly request: workloads.ModelRequest,
        private readonly done: (result: JourneyResult) => void,
    ) {}

    /** Starts the request; it is the time of its arrival. */
    start(): void {
        const { clock, deadlineMs } = this.around;
        clock.at(this.request.arrivesAt + deadlineMs, () => this.finish(Ending.Late, []));
        if (this.request.cancelsAt < Infinity) {
            clock.at(this.request.cancelsAt, () => this.finish(Ending.Cancelled, []));
        }
        this.ask();
    }

    private ask(): void {
        const ask = this.makeAsk();
        this.around.policy.place(ask, (placement) => {
            if (this.over) {
                this.around.policy.end({ id: ask.id, outputTokens: 0, whole: false, failed: [] });
            }
            else if (placement) {
                this.around.clock.at(placement.startAt, () => this.prefill(ask, placement));
            }
            else {
                this.finish(Ending.Refused, []);
            }
        });
    }

    private makeAsk(): scheduling.Ask {
        const { request } = this;
        return {
            id: `${request.id}#${this.attempt}`,
            holder: "host",
            workspace: request.workspace,
            priority: this.around.priority,
            promptTokens: request.promptTokens + this.tokens,
            outputTokens: request.boundTokens - this.tokens,
            firstTokenDeadline: request.arrivesAt + this.around.firstTokenTargetMs,
            deadline: request.arrivesAt + this.around.deadlineMs,
            suspect: false,
            prefixHashes: request.prefixHashes,
            avoid: [...this.avoid],
            retry: this.attempt > 0,
        };
    }

    private prefill(ask: scheduling.Ask, placement: policies.ModelPlacement): void {
        const { clock, fleet, policy } = this.around;
        const engine = fleet.prefill.get(placement.prefill);
        if (this.over || !engine) {
            return;
        }
        const startedAt = clock.now;
        const attempt = this.attempt;
        const wanted = () => !this.over && this.attempt === attempt;
        let ready = false;
        if (placement.prefillMs < Infinity) {
            const overdueMs = placement.prefillMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
            clock.at(startedAt + overdueMs, () => {
                if (wanted() && !ready) {
                    policy.progress({ id: ask.id, prefillMs: overdueMs, prefillDone: false });
                }
            });
        }
        engine.prefill(ask.promptTokens, ask.prefixHashes, wanted, (cachedTokens, workMs) => {
            ready = true;
            this.prefillMs += workMs;
            if (wanted()) {
                const prefillMs = clock.now - startedAt;
                policy.progress({ id: ask.id, prefillMs, prefillDone: true, cachedTokens });
                this.importInto(ask, placement.decode ?? policy.decodeFor(ask), engine, workMs);
            }
        });
    }

    private importInto(
        ask: scheduling.Ask,
        decodeName: string,
        from: engineModels.PrefillModel,
        workMs: decision.Milliseconds,
    ): void {
        const { clock, fleet, speeds } = this.around;
        const decode = fleet.decode.get(decodeName);
        const attempt = this.attempt;
        const current = () => !this.over && this.attempt === attempt;
        if (!decode || decode.down) {
            this.again([decodeName]);
            return;
        }
        const expiresAt = clock.now + speeds.survivalMs;
        const memoryTokens = ask.promptTokens + this.request.answerTokens - this.tokens;
        let moving = false;
        clock.at(expiresAt, () => {
            if (current() && !moving) {
                this.around.policy.progress({ id: ask.id, transferMs: speeds.survivalMs });
                this.again([]);
            }
        });
        decode.takeSlot(memoryTokens, () => {
            if (!current() || clock.now >= expiresAt) {
                return false;
            }
            const bytes = ask.promptTokens * speeds.cacheBytesPerToken;
            const takenAt = clock.now;
            const arrivesAt = engineModels.transfer(clock.now, from.link, decode.link, bytes);
            moving = arrivesAt <= expiresAt;
            if (moving) {
                const slot = this.holdSlot(decode, memoryTokens);
                clock.at(arrivesAt, () => {
                    if (current() && slot.held()) {
                        this.around.policy.progress({ id: ask.id, transferMs: clock.now - takenAt });
                        this.stream(ask, decode, workMs, slot.give);
                    }
                });
            }
            return moving;
        });
    }

    private holdSlot(
        decode: engineModels.DecodeModel,
        memoryTokens: number,
    ): { held: () => boolean; give: () => void; } {
        const { incarnation } = decode;
        let given = false;
        const held = () => !given && decode.incarnation === incarnation;
        const give = () => {
            if (held()) {
                given = true;
                decode.giveSlot(memoryTokens);
            }
        };
        this.leave = give;
        return { held, give };
    }

    private stream(
        ask: scheduling.Ask,
        decode: engineModels.DecodeModel,
        workMs: decision.Milliseconds,
        giveSlot: () => void,
    ): void {
        const already = this.tokens;
        const stop = decode.start({
            tokens: this.request.answerTokens - already,
            memoryTokens: ask.promptTokens,
            onFirst: (at) => {
                this.usefulMs = this.usefulMs || workMs;
                this.firstAt = Math.min(this.firstAt, at);
            },
            onPace: (tokenMs) => this.around.policy.progress({ id: ask.id, tokenMs }),
            onEnd: () => {
                this.tokens = this.request.answerTokens;
                this.leave = () => undefined;
                giveSlot();
                this.finish(Ending.Whole, []);
            },
            onCrash: (tokens) => {
                this.tokens = already + tokens;
                this.again([decode.name]);
            },
        });
        this.leave = () => {
            stop();
            giveSlot();
        };
    }

    private again(failed: readonly string[]): void {
        if (this.over) {
            return;
        }
        this.endAttempt(false, failed);
        this.avoid.push(...failed);
        this.attempt++;
        if (this.attempt < ATTEMPT_LIMIT) {
            this.ask();
        }
        else {
            this.conclude(Ending.Refused);
        }
    }

    private endAttempt(whole: boolean, failed: readonly string[]): void {
        this.leave();
        this.leave = () => undefined;
        const id = `${this.request.id}#${this.attempt}`;
        this.around.policy.end({ id, outputTokens: this.tokens, whole, failed });
    }

    private finish(ending: Ending, failed: readonly string[]): void {
        if (!this.over) {
            this.over = true;
            this.endAttempt(ending === Ending.Whole, failed);
            this.conclude(ending);
        }
    }

    private conclude(ending: Ending): void {
        this.over = true;
        const { request, firstAt } = this;
        const endedAt = this.around.clock.now;
        this.done({
            request,
            ending,
            endedAt,
            firstTokenMs: firstAt - request.arrivesAt,
            betweenTokensMs: (endedAt - firstAt) / Math.max(1, request.answerTokens - 1),
            prefillMs: this.prefillMs,
            wastedMs: this.prefillMs - this.usefulMs,
        });
    }
}
