import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import * as callerRequests from "../callers/request.js";
import type * as components from "../components.js";
import * as quarantines from "../quarantine/shell.js";
import * as refusals from "../refusal.js";
import * as schedulings from "../scheduling/shell.js";
import * as engineMemory from "./memory.js";
import * as prefillOverdue from "./overdue.js";

/** The generation parameters and placement inputs of a completion request. */
export interface ModelRequest {
    readonly pool: string;
    readonly workspace: string;
    readonly priority: number;
    readonly prompt: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Hash of the content, under which quarantine tracks crashes. */
    readonly fingerprint: string;
    readonly prefixHashes: readonly string[];
    readonly firstTokenTargetMs: decision.Milliseconds;
}

/** Receives the text of each token once, in order. A returned promise applies backpressure until it resolves. */
export type OnText = (text: string) => void | Promise<void>;

/** How a model request ended. */
export type ModelOutcome =
    | {
        readonly completed: true;
        readonly finishReason: upstream.FinishReason;
        readonly promptTokens: number;
        readonly outputTokens: number;
    }
    | {
        readonly completed: false;
        readonly refusal: refusals.Refusal;
        /** The number of tokens passed on to the caller before the failure. */
        readonly outputTokens: number;
    };

const CALL_TIMEOUT_MS = 30_000;
const STREAM_IDLE_TIMEOUT_MS = 10_000;
const MAX_PLACEMENTS = 3;
/** Decode calls at one engine, including those that resume a broken stream. */
const MAX_DECODE_CALLS = 3;
/** Delay before an import is retried at an engine that has no free slot. */
const SLOT_RETRY_DELAY_MS = 20;
/** The mean time between tokens is reported once, after this many pieces of a stream. */
const TOKEN_INTERVAL_SAMPLES = 8;

/** The state of one model request across all of its placements. */
interface ModelRun {
    readonly router: components.RouterComponents;
    readonly request: callerRequests.CallerRequest;
    readonly modelRequest: ModelRequest;
    readonly memory: engineMemory.EngineMemoryTracker;
    readonly onText: OnText;
    /** Engines that failed; excluded from later placements. */
    readonly avoid: string[];
    /** Checks whether broken connections were engine crashes; all must finish before the request is placed again. */
    readonly crashChecks: Promise<void>[];
    assembly: upstream.Assembly;
    finishReason: upstream.FinishReason | undefined;
    promptTokens: number;
}

/** How a request ended at one placement. */
enum RunOutcome {
    Completed = "whole",
    /** The engines did not start the request or failed while running it; another placement may serve it. */
    Retry = "again",
    Aborted = "aborted",
}

/** Places, prefills and decodes one model request. Places it again, a limited number of times, when an engine fails. */
export async function serveModel(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    modelRequest: ModelRequest,
    onText: OnText,
): Promise<ModelOutcome> {
    const run: ModelRun = {
        router,
        request,
        modelRequest,
        memory: engineMemory.trackEngineMemory(router.context, router.context.scope, request.requestId),
        onText,
        avoid: [],
        crashChecks: [],
        assembly: upstream.emptyAssembly,
        finishReason: undefined,
        promptTokens: modelRequest.promptTokens,
    };
    try {
        return await runWithRetries(run);
    }
    finally {
        run.memory.cancelAll();
    }
}

async function runWithRetries(run: ModelRun): Promise<ModelOutcome> {
    for (let attempt = 0; attempt < MAX_PLACEMENTS; attempt++) {
        const verdict = run.router.quarantine.verdict(run.modelRequest.fingerprint);
        if (verdict.standing === quarantines.Standing.Quarantined) {
            return refusedOutcome(run, quarantineRefusal(run, verdict));
        }
        const placed = await run.router.scheduling.place(makePlacementRequest(run, attempt > 0));
        if (!placed.placed) {
            return refusedOutcome(run, placementRefusal(run, placed));
        }
        const { placement } = placed;
        run.request.addTraceStep("scheduling", "placed", {
            prefill: placement.prefill.name,
            decode: placement.decode.name,
            attempt,
        });
        const failed: string[] = [];
        const runOutcome = await runPlacement(run, placement, failed);
        placement.end({ outputTokens: run.assembly.next, failed, whole: runOutcome === RunOutcome.Completed });
        run.memory.cancelAll();
        run.avoid.push(...failed);
        if (runOutcome === RunOutcome.Completed && verdict.standing === quarantines.Standing.Suspect) {
            run.router.quarantine.reportCompletion(run.modelRequest.fingerprint);
        }
        if (runOutcome === RunOutcome.Completed && run.finishReason !== undefined) {
            return {
                completed: true,
                finishReason: run.finishReason,
                promptTokens: run.promptTokens,
                outputTokens: run.assembly.next,
            };
        }
        if (runOutcome === RunOutcome.Aborted) {
            return refusedOutcome(run, abortRefusal(run.request));
        }
        await Promise.all(run.crashChecks.splice(0));
    }
    const message = "every engine that was tried failed";
    return refusedOutcome(run, refusals.mayHaveRun(refusals.Reason.UpstreamFailed, message, decision.SECOND_MS));
}

function refusedOutcome(run: ModelRun, refusal: refusals.Refusal): ModelOutcome {
    return { completed: false, refusal, outputTokens: run.assembly.next };
}

/** The refusal of a request whose signal was aborted. */
export function abortRefusal(request: callerRequests.CallerRequest): refusals.Refusal {
    switch (callerRequests.abortReason(request.signal)) {
        case callerRequests.AbortReason.DeadlinePassed:
            return refusals.mayHaveRun(refusals.Reason.DeadlinePassed, "the deadline passed", decision.SECOND_MS);
        case callerRequests.AbortReason.KeyWithdrawn:
            return refusals.mayHaveRun(refusals.Reason.Unauthenticated, "the key was withdrawn");
        default:
            return refusals.mayHaveRun(refusals.Reason.CallerGone, "the caller went away");
    }
}

function makePlacementRequest(run: ModelRun, retry: boolean): schedulings.PlacementRequest {
    const { modelRequest, request } = run;
    return {
        requestId: request.requestId,
        pool: modelRequest.pool,
        workspace: modelRequest.workspace,
        priority: modelRequest.priority,
        promptTokens: modelRequest.promptTokens + run.assembly.next,
        outputTokens: modelRequest.outputTokens - run.assembly.next,
        firstTokenDeadline: request.arrivedAt + modelRequest.firstTokenTargetMs,
        deadline: request.deadline,
        suspect: run.router.quarantine.verdict(modelRequest.fingerprint).standing === quarantines.Standing.Suspect,
        prefixHashes: modelRequest.prefixHashes,
        avoid: [...run.avoid],
        retry,
        signal: request.signal,
    };
}

function quarantineRefusal(run: ModelRun, verdict: quarantines.Verdict): refusals.Refusal {
    const makeRefusal = run.avoid.length > 0 ? refusals.mayHaveRun : refusals.notRun;
    return makeRefusal(refusals.Reason.Quarantined, "this request made upstreams crash", verdict.remainingMs);
}

function placementRefusal(
    run: ModelRun,
    outcome: Extract<schedulings.PlacementOutcome, { placed: false; }>,
): refusals.Refusal {
    const retryAfterMs = outcome.retryAfterMs;
    const makeRefusal = run.assembly.next > 0 || run.avoid.length > 0 ? refusals.mayHaveRun : refusals.notRun;
    switch (outcome.refusal) {
        case schedulings.PlacementRefusal.Shed:
            return makeRefusal(refusals.Reason.Overloaded, "no engine can serve this in time", retryAfterMs);
        case schedulings.PlacementRefusal.Aborted:
            return { ...abortRefusal(run.request), ran: makeRefusal(refusals.Reason.CallerGone, "").ran };
    }
}

async function runPlacement(run: ModelRun, placement: schedulings.Placement, failed: string[]): Promise<RunOutcome> {
    const { context } = run.router;
    if (placement.startAfterMs > 0) {
        await pauseUnlessAborted(context.scope, placement.startAfterMs, run.request.signal);
    }
    const prefilled = await prefill(run, placement, failed);
    if (!prefilled) {
        return outcomeAfterFailure(run);
    }
    const attempt = run.memory.newAttempt(placement.decode.address);
    const imported = await importWithRetry(run, placement, attempt, prefilled);
    recordCall(run, placement.decode.name, "import", imported, failed);
    if (imported.result !== upstream.CallResult.Done) {
        return outcomeAfterFailure(run);
    }
    return decodeStream(run, placement, attempt, failed);
}

/** Imports the prefill result into the decode engine. Retries while no slot is free, until the result expires. */
async function importWithRetry(
    run: ModelRun,
    placement: schedulings.Placement,
    attempt: upstream.Attempt,
    prefilled: upstream.PrefillResult,
): Promise<upstream.CallOutcome<unknown>> {
    const { context } = run.router;
    const expiresAt = context.clock() + prefilled.survivalMs;
    for (;;) {
        const startedAt = context.clock();
        const outcome = await upstream.importCache(targetOf(run, placement.decode.address), {
            ...attempt,
            source: placement.prefill.address,
            handle: prefilled.handle,
        });
        const refusal = outcome.result === upstream.CallResult.Refused ? outcome.refusal : undefined;
        const busy = refusal === upstream.UpstreamRefusal.Busy && context.clock() + SLOT_RETRY_DELAY_MS < expiresAt;
        if (!busy || run.request.signal.aborted) {
            if (outcome.result === upstream.CallResult.Done || refusal === upstream.UpstreamRefusal.Expired) {
                placement.reportProgress?.({ transferMs: context.clock() - startedAt });
            }
            return outcome;
        }
        await pauseUnlessAborted(context.scope, SLOT_RETRY_DELAY_MS, run.request.signal);
    }
}

function outcomeAfterFailure(run: ModelRun): RunOutcome {
    return run.request.signal.aborted ? RunOutcome.Aborted : RunOutcome.Retry;
}

async function prefill(
    run: ModelRun,
    placement: schedulings.Placement,
    failed: string[],
): Promise<upstream.PrefillResult | undefined> {
    const { context } = run.router;
    const startedAt = context.clock();
    const cancelReport = prefillOverdue.reportOverduePrefill(context, placement);
    const outcome = await upstream.prefill(targetOf(run, placement.prefill.address), {
        ...run.memory.newAttempt(placement.prefill.address),
        prompt: run.modelRequest.prompt,
        priority: run.modelRequest.priority,
    });
    cancelReport();
    recordCall(run, placement.prefill.name, "prefill", outcome, failed);
    if (outcome.result !== upstream.CallResult.Done) {
        return undefined;
    }
    run.promptTokens = outcome.value.promptTokens;
    const { cachedTokens } = outcome.value;
    placement.reportProgress?.({ prefillMs: context.clock() - startedAt, prefillDone: true, cachedTokens });
    return outcome.value;
}

function targetOf(run: ModelRun, address: string): upstream.EngineTarget {
    return {
        address,
        agent: run.router.context.agent,
        timeoutMs: Math.max(1, Math.min(CALL_TIMEOUT_MS, run.request.deadline - run.router.context.clock())),
        signal: run.request.signal,
    };
}

/** Records the result of an engine call and adds an engine that failed to the list. */
function recordCall(
    run: ModelRun,
    engineName: string,
    call: string,
    outcome: upstream.CallOutcome<unknown>,
    failed: string[],
): void {
    const { context, upstreams } = run.router;
    context.metrics.upstreamCalls.inc({ call, result: outcome.result });
    run.request.addTraceStep(engineName, `${call} ${outcome.result}`);
    if (outcome.result === upstream.CallResult.Refused && outcome.refusal === upstream.UpstreamRefusal.Departing) {
        upstreams.markDeparting(engineName);
    }
    const down = outcome.result === upstream.CallResult.Unreachable || outcome.result === upstream.CallResult.Broken;
    if (down && !run.request.signal.aborted) {
        failed.push(engineName);
    }
    if (outcome.result === upstream.CallResult.Broken && !run.request.signal.aborted) {
        startCrashCheck(run, engineName);
    }
}

async function decodeStream(
    run: ModelRun,
    placement: schedulings.Placement,
    attempt: upstream.Attempt,
    failed: string[],
): Promise<RunOutcome> {
    const countPiece = makeTokenIntervalReporter(run, placement);
    let connectionBroke = false;
    for (let calls = 0; calls < MAX_DECODE_CALLS; calls++) {
        const outcome = await upstream.decode(targetOf(run, placement.decode.address), {
            ...attempt,
            offset: run.assembly.next,
            outputTokens: run.modelRequest.outputTokens,
            priority: run.modelRequest.priority,
        }, {
            idleTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
            onEvent: (piece) => {
                countPiece();
                return assemblePiece(run, piece);
            },
        });
        run.router.context.metrics.upstreamCalls.inc({ call: "decode", result: outcome.end });
        run.request.addTraceStep(placement.decode.name, `decode ${outcome.end}`, { next: run.assembly.next });
        if (run.request.signal.aborted) {
            return RunOutcome.Aborted;
        }
        if (run.assembly.finished) {
            return RunOutcome.Completed;
        }
        if (outcome.end === upstream.StreamEnd.Refused || outcome.end === upstream.StreamEnd.Unreachable) {
            break;
        }
        connectionBroke ||= outcome.end === upstream.StreamEnd.Cut || outcome.end === upstream.StreamEnd.Invalid;
    }
    failed.push(placement.decode.name);
    if (run.assembly.next >= run.modelRequest.outputTokens) {
        // Only the final piece was lost: all requested tokens have arrived.
        run.finishReason = upstream.FinishReason.Length;
        return RunOutcome.Completed;
    }
    if (connectionBroke) {
        startCrashCheck(run, placement.decode.name);
    }
    return RunOutcome.Retry;
}

function startCrashCheck(run: ModelRun, engineName: string): void {
    const { router: router, modelRequest, request } = run;
    run.crashChecks.push(router.quarantine.reportDisconnect(modelRequest.fingerprint, engineName, request.requestId));
}

/** Returns a function to call for each piece, which reports the mean time between tokens to the shard owner once. */
function makeTokenIntervalReporter(run: ModelRun, placement: schedulings.Placement): () => void {
    const { clock } = run.router.context;
    const startedAt = clock();
    let pieceCount = 0;
    return () => {
        pieceCount++;
        if (pieceCount === TOKEN_INTERVAL_SAMPLES) {
            placement.reportProgress?.({ tokenMs: (clock() - startedAt) / TOKEN_INTERVAL_SAMPLES });
        }
    };
}

async function assemblePiece(run: ModelRun, piece: upstream.StreamEvent): Promise<upstream.Continue> {
    const { state, actions } = upstream.assemble(run.assembly, piece);
    run.assembly = state;
    for (const action of actions) {
        switch (action.kind) {
            case upstream.AssemblyActionKind.Pass:
                await run.onText(action.text);
                break;
            case upstream.AssemblyActionKind.Finish:
                run.finishReason = action.reason;
                return upstream.Continue.No;
            case upstream.AssemblyActionKind.Resume:
                return upstream.Continue.No;
        }
    }
    return upstream.Continue.Yes;
}

async function pauseUnlessAborted(
    scope: lifecycle.Scope,
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
