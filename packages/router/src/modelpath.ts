import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import * as callerRequests from "./callerrequest.js";
import * as enginememory from "./enginememory.js";
import * as overdue from "./modelpathoverdue.js";
import type * as parts from "./parts.js";
import * as quarantines from "./quarantineshell.js";
import * as refusals from "./refusal.js";
import * as schedulings from "./schedulingshell.js";

/** What the model path needs to know of a request beyond the request itself. */
export interface ModelWish {
    readonly pool: string;
    readonly workspace: string;
    readonly priority: number;
    readonly prompt: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly fingerprint: string;
    readonly prefixHashes: readonly string[];
    readonly firstTokenTargetMs: decision.Milliseconds;
}

/** Takes the text of the answer, in order, each token once. A promise holds the stream back. */
export type TakeText = (text: string) => void | Promise<void>;

/** How a model request ended. */
export type ModelOutcome =
    | {
        readonly whole: true;
        readonly finishReason: upstream.FinishReason;
        readonly promptTokens: number;
        readonly outputTokens: number;
    }
    | {
        readonly whole: false;
        readonly refusal: refusals.Refusal;
        /** Tokens that the caller got already. */
        readonly outputTokens: number;
    };

const CALL_TIMEOUT_MS = 30_000;
const SILENCE_MS = 10_000;
const ATTEMPT_LIMIT = 3;
const RESUME_LIMIT = 3;
/** A slot that is not free yet is asked for again after this pause. */
const SLOT_PAUSE_MS = 20;
const PACE_PIECES = 8;

/** The state of one request on its way through prefill and decode. */
interface Journey {
    readonly parts: parts.Parts;
    readonly request: callerRequests.CallerRequest;
    readonly wish: ModelWish;
    readonly memory: enginememory.EngineMemory;
    readonly take: TakeText;
    readonly avoid: string[];
    /** Looks into breaks that may have been crashes; the request runs nowhere else before they are done. */
    readonly looks: Promise<void>[];
    assembly: upstream.Assembly;
    finish: upstream.FinishReason | undefined;
    promptTokens: number;
}

/** How one placement of a request ended. */
enum Leg {
    Whole = "whole",
    /** The engines did not start it, or it broke off: another placement may serve it. */
    Again = "again",
    Aborted = "aborted",
}

/** Serves one model request: places it, prefills, transfers, decodes, and places it again where an engine fails. */
export async function serveModel(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    wish: ModelWish,
    take: TakeText,
): Promise<ModelOutcome> {
    const journey: Journey = {
        parts: served,
        request,
        wish,
        memory: enginememory.trackEngineMemory(served.context, served.context.scope, request.requestId),
        take,
        avoid: [],
        looks: [],
        assembly: upstream.emptyAssembly,
        finish: undefined,
        promptTokens: wish.promptTokens,
    };
    try {
        return await travel(journey);
    }
    finally {
        journey.memory.letGo();
    }
}

async function travel(journey: Journey): Promise<ModelOutcome> {
    for (let attempt = 0; attempt < ATTEMPT_LIMIT; attempt++) {
        const verdict = journey.parts.quarantine.verdict(journey.wish.fingerprint);
        if (verdict.standing === quarantines.Standing.Quarantined) {
            return refused(journey, quarantineRefusal(journey, verdict));
        }
        const placed = await journey.parts.scheduling.place(placementWish(journey, attempt > 0));
        if (!placed.placed) {
            return refused(journey, placementRefusal(journey, placed));
        }
        const { placement } = placed;
        journey.request.note("scheduling", "placed", {
            prefill: placement.prefill.name,
            decode: placement.decode.name,
            attempt,
        });
        const failed: string[] = [];
        const leg = await runPlacement(journey, placement, failed);
        placement.end({ outputTokens: journey.assembly.next, failed, whole: leg === Leg.Whole });
        journey.memory.letGo();
        journey.avoid.push(...failed);
        if (leg === Leg.Whole && verdict.standing === quarantines.Standing.Suspect) {
            journey.parts.quarantine.noteWhole(journey.wish.fingerprint);
        }
        if (leg === Leg.Whole && journey.finish !== undefined) {
            return {
                whole: true,
                finishReason: journey.finish,
                promptTokens: journey.promptTokens,
                outputTokens: journey.assembly.next,
            };
        }
        if (leg === Leg.Aborted) {
            return refused(journey, abortRefusal(journey.request));
        }
        await Promise.all(journey.looks.splice(0));
    }
    const message = "every engine that was tried failed";
    return refused(journey, refusals.mayHaveRun(refusals.Reason.UpstreamFailed, message, decision.SECOND_MS));
}

function refused(journey: Journey, refusal: refusals.Refusal): ModelOutcome {
    return { whole: false, refusal, outputTokens: journey.assembly.next };
}

/** The refusal of a request whose signal was aborted. */
export function abortRefusal(request: callerRequests.CallerRequest): refusals.Refusal {
    switch (callerRequests.abortCause(request.signal)) {
        case callerRequests.AbortCause.DeadlinePassed:
            return refusals.mayHaveRun(refusals.Reason.DeadlinePassed, "the deadline passed", decision.SECOND_MS);
        case callerRequests.AbortCause.KeyWithdrawn:
            return refusals.mayHaveRun(refusals.Reason.Unauthenticated, "the key was withdrawn");
        default:
            return refusals.mayHaveRun(refusals.Reason.CallerGone, "the caller went away");
    }
}

function placementWish(journey: Journey, retry: boolean): schedulings.PlacementWish {
    const { wish, request } = journey;
    return {
        requestId: request.requestId,
        pool: wish.pool,
        workspace: wish.workspace,
        priority: wish.priority,
        promptTokens: wish.promptTokens + journey.assembly.next,
        outputTokens: wish.outputTokens - journey.assembly.next,
        firstTokenDeadline: request.arrivedAt + wish.firstTokenTargetMs,
        deadline: request.deadline,
        suspect: journey.parts.quarantine.verdict(wish.fingerprint).standing === quarantines.Standing.Suspect,
        prefixHashes: wish.prefixHashes,
        avoid: [...journey.avoid],
        retry,
        signal: request.signal,
    };
}

function quarantineRefusal(journey: Journey, verdict: quarantines.Verdict): refusals.Refusal {
    const make = journey.avoid.length > 0 ? refusals.mayHaveRun : refusals.notRun;
    return make(refusals.Reason.Quarantined, "this request made upstreams crash", verdict.remainingMs);
}

function placementRefusal(
    journey: Journey,
    outcome: Extract<schedulings.PlacementOutcome, { placed: false; }>,
): refusals.Refusal {
    const retry = outcome.retryAfterMs;
    const make = journey.assembly.next > 0 || journey.avoid.length > 0 ? refusals.mayHaveRun : refusals.notRun;
    switch (outcome.refusal) {
        case schedulings.PlacementRefusal.Shed:
            return make(refusals.Reason.Overloaded, "no engine can serve this in time", retry);
        case schedulings.PlacementRefusal.Aborted:
            return { ...abortRefusal(journey.request), ran: make(refusals.Reason.CallerGone, "").ran };
    }
}

async function runPlacement(journey: Journey, placement: schedulings.Placement, failed: string[]): Promise<Leg> {
    const { context } = journey.parts;
    if (placement.startAfterMs > 0) {
        await pauseUnlessAborted(context.scope, placement.startAfterMs, journey.request.signal);
    }
    const prefilled = await prefill(journey, placement, failed);
    if (!prefilled) {
        return legAfterFailure(journey);
    }
    const attempt = journey.memory.attemptAt(placement.decode.address);
    const imported = await importUntilFree(journey, placement, attempt, prefilled);
    noteCall(journey, placement.decode.name, "import", imported, failed);
    if (imported.result !== upstream.CallResult.Done) {
        return legAfterFailure(journey);
    }
    return stream(journey, placement, attempt, failed);
}

/** Imports the prefill's result. A slot that is taken still is tried for as long as the result lives. */
async function importUntilFree(
    journey: Journey,
    placement: schedulings.Placement,
    attempt: upstream.Attempt,
    prefilled: upstream.PrefillResult,
): Promise<upstream.CallOutcome<unknown>> {
    const { context } = journey.parts;
    const expiresAt = context.clock() + prefilled.survivalMs;
    for (;;) {
        const startedAt = context.clock();
        const outcome = await upstream.importCache(targetOf(journey, placement.decode.address), {
            ...attempt,
            source: placement.prefill.address,
            handle: prefilled.handle,
        });
        const refusal = outcome.result === upstream.CallResult.Refused ? outcome.refusal : undefined;
        const busy = refusal === upstream.UpstreamRefusal.Busy && context.clock() + SLOT_PAUSE_MS < expiresAt;
        if (!busy || journey.request.signal.aborted) {
            if (outcome.result === upstream.CallResult.Done || refusal === upstream.UpstreamRefusal.Expired) {
                placement.progress?.({ transferMs: context.clock() - startedAt });
            }
            return outcome;
        }
        await pauseUnlessAborted(context.scope, SLOT_PAUSE_MS, journey.request.signal);
    }
}

function legAfterFailure(journey: Journey): Leg {
    return journey.request.signal.aborted ? Leg.Aborted : Leg.Again;
}

async function prefill(
    journey: Journey,
    placement: schedulings.Placement,
    failed: string[],
): Promise<upstream.PrefillResult | undefined> {
    const { context } = journey.parts;
    const startedAt = context.clock();
    const cancelOverdue = overdue.watchOverdue(context, placement);
    const outcome = await upstream.prefill(targetOf(journey, placement.prefill.address), {
        ...journey.memory.attemptAt(placement.prefill.address),
        prompt: journey.wish.prompt,
        priority: journey.wish.priority,
    });
    cancelOverdue();
    noteCall(journey, placement.prefill.name, "prefill", outcome, failed);
    if (outcome.result !== upstream.CallResult.Done) {
        return undefined;
    }
    journey.promptTokens = outcome.value.promptTokens;
    const { cachedTokens } = outcome.value;
    placement.progress?.({ prefillMs: context.clock() - startedAt, prefillDone: true, cachedTokens });
    return outcome.value;
}

function targetOf(journey: Journey, address: string): upstream.EngineTarget {
    return {
        address,
        agent: journey.parts.context.agent,
        timeoutMs: Math.max(1, Math.min(CALL_TIMEOUT_MS, journey.request.deadline - journey.parts.context.clock())),
        signal: journey.request.signal,
    };
}

/** Writes down how a call to an engine ended, and which engines not to use again for this request. */
function noteCall(
    journey: Journey,
    engineName: string,
    call: string,
    outcome: upstream.CallOutcome<unknown>,
    failed: string[],
): void {
    const { context, upstreams } = journey.parts;
    context.metrics.upstreamCalls.inc({ call, result: outcome.result });
    journey.request.note(engineName, `${call} ${outcome.result}`);
    if (outcome.result === upstream.CallResult.Refused && outcome.refusal === upstream.UpstreamRefusal.Departing) {
        upstreams.noteDeparting(engineName);
    }
    const down = outcome.result === upstream.CallResult.Unreachable || outcome.result === upstream.CallResult.Broken;
    if (down && !journey.request.signal.aborted) {
        failed.push(engineName);
    }
    if (outcome.result === upstream.CallResult.Broken && !journey.request.signal.aborted) {
        noteBreak(journey, engineName);
    }
}

async function stream(
    journey: Journey,
    placement: schedulings.Placement,
    attempt: upstream.Attempt,
    failed: string[],
): Promise<Leg> {
    const pace = watchPace(journey, placement);
    let broke = false;
    for (let resumption = 0; resumption < RESUME_LIMIT; resumption++) {
        const outcome = await upstream.decode(targetOf(journey, placement.decode.address), {
            ...attempt,
            offset: journey.assembly.next,
            outputTokens: journey.wish.outputTokens,
            priority: journey.wish.priority,
        }, {
            silenceMs: SILENCE_MS,
            take: (piece) => {
                pace();
                return takePiece(journey, piece);
            },
        });
        journey.parts.context.metrics.upstreamCalls.inc({ call: "decode", result: outcome.end });
        journey.request.note(placement.decode.name, `decode ${outcome.end}`, { next: journey.assembly.next });
        if (journey.request.signal.aborted) {
            return Leg.Aborted;
        }
        if (journey.assembly.finished) {
            return Leg.Whole;
        }
        if (outcome.end === upstream.StreamEnd.Refused || outcome.end === upstream.StreamEnd.Unreachable) {
            break;
        }
        broke ||= outcome.end === upstream.StreamEnd.Cut || outcome.end === upstream.StreamEnd.Garbage;
    }
    failed.push(placement.decode.name);
    if (journey.assembly.next >= journey.wish.outputTokens) {
        // Only the end was lost: the answer is as long as it may be.
        journey.finish = upstream.FinishReason.Length;
        return Leg.Whole;
    }
    if (broke) {
        noteBreak(journey, placement.decode.name);
    }
    return Leg.Again;
}

function noteBreak(journey: Journey, engineName: string): void {
    const { parts: served, wish, request } = journey;
    journey.looks.push(served.quarantine.noteBreak(wish.fingerprint, engineName, request.requestId));
}

/** Tells the owner the time between tokens once a few have come. */
function watchPace(journey: Journey, placement: schedulings.Placement): () => void {
    const { clock } = journey.parts.context;
    const startedAt = clock();
    let pieces = 0;
    return () => {
        pieces++;
        if (pieces === PACE_PIECES) {
            placement.progress?.({ tokenMs: (clock() - startedAt) / PACE_PIECES });
        }
    };
}

async function takePiece(journey: Journey, piece: upstream.Piece): Promise<upstream.Continue> {
    const { state, actions } = upstream.assemble(journey.assembly, piece);
    journey.assembly = state;
    for (const action of actions) {
        switch (action.kind) {
            case upstream.AssemblyActionKind.Pass:
                await journey.take(action.text);
                break;
            case upstream.AssemblyActionKind.Finish:
                journey.finish = action.reason;
                return upstream.Continue.No;
            case upstream.AssemblyActionKind.Resume:
                return upstream.Continue.No;
        }
    }
    return upstream.Continue.Yes;
}

async function pauseUnlessAborted(
    scope: lifecycle.Lifecycle,
    delayMs: decision.Milliseconds,
    signal: AbortSignal,
): Promise<void> {
    const waiting = scope.child("pause");
    const stop = () => void waiting.close();
    signal.addEventListener("abort", stop, { once: true });
    await lifecycle.pause(waiting, delayMs);
    signal.removeEventListener("abort", stop);
    await waiting.close();
}
