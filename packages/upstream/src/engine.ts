import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import * as http from "node:http";
import * as zod from "zod";
import * as contract from "./contract.js";

/** How a call to an upstream ended. */
export enum CallResult {
    /** It did what it was asked to. */
    Done = "done",
    /** It refused and says that nothing ran. */
    Refused = "refused",
    /** It could not be reached; nothing ran. */
    Unreachable = "unreachable",
    /** The connection broke or the answer made no sense: it may have run. */
    Broken = "broken",
}

/** The outcome of a call to an upstream. */
export type CallOutcome<Value> =
    | { readonly result: CallResult.Done; readonly value: Value; }
    | {
        readonly result: CallResult.Refused;
        readonly refusal: contract.UpstreamRefusal;
        readonly retryAfterMs: decision.Milliseconds;
    }
    | { readonly result: CallResult.Unreachable | CallResult.Broken; readonly reason: string; };

/** How an engine is called. */
export interface EngineTarget {
    /** The base address, such as http://127.0.0.11:7100. */
    readonly address: string;
    readonly agent?: http.Agent;
    readonly timeoutMs: decision.Milliseconds;
    /** Ends the call early. Whether it ran is then unknown. */
    readonly signal?: AbortSignal;
}

/** Asks a prefill engine for the prefill of a prompt. */
export function prefill(
    target: EngineTarget,
    request: contract.PrefillRequest,
): Promise<CallOutcome<contract.PrefillResult>> {
    return call(target, "/engine/prefill", request, contract.prefillResultSchema);
}

/** Asks a decode engine to take a slot and import a prefill's result. */
export function importCache(target: EngineTarget, request: contract.ImportRequest): Promise<CallOutcome<unknown>> {
    return call(target, "/engine/import", request, zod.unknown());
}

/** Tells an engine to let go of every attempt of a request up to the named one, and to refuse them if they come late. */
export function cancel(target: EngineTarget, attempt: contract.Attempt): Promise<CallOutcome<unknown>> {
    return call(target, "/engine/cancel", attempt, zod.unknown());
}

/** Tells an engine to let go of everything that the named router processes answer for. */
export function release(target: EngineTarget, holders: readonly string[]): Promise<CallOutcome<unknown>> {
    return call(target, "/engine/release", { holders }, zod.unknown());
}

/** Reads an engine's load report. */
export function readLoad(target: EngineTarget): Promise<CallOutcome<contract.LoadReport>> {
    return call(target, "/engine/load", undefined, contract.loadReportSchema);
}

/** Lists the memory that an engine holds. */
export function readHeld(target: EngineTarget): Promise<CallOutcome<contract.Held>> {
    return call(target, "/engine/held", undefined, contract.heldSchema);
}

/** Gives an engine an order. */
export function order(target: EngineTarget, wanted: contract.Order): Promise<CallOutcome<unknown>> {
    return call(target, "/engine/orders", wanted, zod.unknown());
}

async function call<Shape extends zod.ZodType>(
    target: EngineTarget,
    path: string,
    body: unknown,
    shape: Shape,
): Promise<CallOutcome<zod.output<Shape>>> {
    const outcome = await platform.callJson({
        url: target.address + path,
        body,
        timeoutMs: target.timeoutMs,
        agent: target.agent,
        signal: target.signal,
    });
    if (outcome.effect !== decision.Effect.Known) {
        const result = outcome.effect === decision.Effect.None ? CallResult.Unreachable : CallResult.Broken;
        return { result, reason: outcome.reason };
    }
    return readAnswer(outcome.value, shape);
}

function readAnswer<Shape extends zod.ZodType>(
    answer: platform.JsonResponse,
    shape: Shape,
): CallOutcome<zod.output<Shape>> {
    if (answer.status === 200) {
        const parsed = shape.safeParse(answer.body);
        return parsed.success
            ? { result: CallResult.Done, value: parsed.data }
            : { result: CallResult.Broken, reason: "answer has an unknown shape" };
    }
    const refused = contract.refusalSchema.safeParse(answer.body);
    return refused.success
        ? { result: CallResult.Refused, ...refused.data }
        : { result: CallResult.Broken, reason: `status ${answer.status}` };
}
