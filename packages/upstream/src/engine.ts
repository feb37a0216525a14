import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import * as http from "node:http";
import * as zod from "zod";
import * as contract from "./contract.js";

/** Result of a call to an upstream. */
export enum CallResult {
    /** The upstream executed the call. */
    Done = "done",
    /** The upstream refused the call and reports that nothing ran. */
    Refused = "refused",
    /** The upstream could not be reached; nothing ran. */
    Unreachable = "unreachable",
    /** The connection broke or the response was invalid; the call may have run. */
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

/** Address and options for calls to an engine. */
export interface EngineTarget {
    /** Base URL, such as http://127.0.0.11:7100. */
    readonly address: string;
    readonly agent?: http.Agent;
    readonly timeoutMs: decision.Milliseconds;
    /** Aborts the call. It is then unknown whether it ran. */
    readonly signal?: AbortSignal;
}

/** Requests the prefill of a prompt from a prefill engine. */
export function prefill(
    target: EngineTarget,
    request: contract.PrefillRequest,
): Promise<CallOutcome<contract.PrefillResult>> {
    return call(target, "/engine/prefill", request, contract.prefillResultSchema);
}

/** Asks a decode engine to allocate a slot and import the KV cache of a prefill result. */
export function importCache(target: EngineTarget, request: contract.ImportRequest): Promise<CallOutcome<unknown>> {
    return call(target, "/engine/import", request, zod.unknown());
}

/** Cancels a request's attempts up to the given one: the engine frees their memory and refuses late ones. */
export function cancel(target: EngineTarget, attempt: contract.Attempt): Promise<CallOutcome<unknown>> {
    return call(target, "/engine/cancel", attempt, zod.unknown());
}

/** Frees all memory for which the given router processes are responsible. */
export function release(target: EngineTarget, holders: readonly string[]): Promise<CallOutcome<unknown>> {
    return call(target, "/engine/release", { holders }, zod.unknown());
}

/** Reads an engine's load report. */
export function readLoad(target: EngineTarget): Promise<CallOutcome<contract.LoadReport>> {
    return call(target, "/engine/load", undefined, contract.loadReportSchema);
}

/** Reads the memory that an engine holds, by attempt. */
export function readHeldMemory(target: EngineTarget): Promise<CallOutcome<contract.HeldMemory>> {
    return call(target, "/engine/held", undefined, contract.heldMemorySchema);
}

/** Sends an order to an engine. */
export function sendOrder(target: EngineTarget, request: contract.Order): Promise<CallOutcome<unknown>> {
    return call(target, "/engine/orders", request, zod.unknown());
}

async function call<Schema extends zod.ZodType>(
    target: EngineTarget,
    path: string,
    body: unknown,
    schema: Schema,
): Promise<CallOutcome<zod.output<Schema>>> {
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
    return decodeResponse(outcome.value, schema);
}

function decodeResponse<Schema extends zod.ZodType>(
    response: platform.JsonResponse,
    schema: Schema,
): CallOutcome<zod.output<Schema>> {
    if (response.status === 200) {
        const parsed = schema.safeParse(response.body);
        return parsed.success
            ? { result: CallResult.Done, value: parsed.data }
            : { result: CallResult.Broken, reason: "response does not match the expected schema" };
    }
    const refused = contract.refusalSchema.safeParse(response.body);
    return refused.success
        ? { result: CallResult.Refused, ...refused.data }
        : { result: CallResult.Broken, reason: `status ${response.status}` };
}
