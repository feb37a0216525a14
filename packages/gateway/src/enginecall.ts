import * as decision from "@citronlead/decision";
import * as routing from "@citronlead/routing";
import type * as contexts from "./context.js";
import * as calls from "./upstreamcall.js";
import type * as wires from "./wire.js";

/** Makes a call to an engine beside requests, such as a reservation. The outcome's value is the parsed body. */
export async function callEngine(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
    call: wires.EngineCall,
    timeoutMs: decision.Milliseconds,
): Promise<decision.Outcome<{ readonly status: number; readonly body: unknown; }>> {
    const body = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
    const head = await calls.openCall(context.agent, {
        upstream,
        incarnation: routing.incarnationOf(upstream),
        method: call.method,
        path: call.path,
        headers: [
            "Host",
            upstream.address,
            ...context.wire.callHeaders(upstream.id),
            ...(body ? ["Content-Type", "application/json"] : []),
        ],
        body,
        headTimeoutMs: timeoutMs,
        signal: undefined,
    });
    if (head.progress !== calls.CallProgress.Head) {
        return head.progress === calls.CallProgress.NotSent
            ? decision.noEffect(head.reason)
            : decision.unknownEffect(head.reason);
    }
    const bytes = await calls.readWhole(head.response, timeoutMs);
    if (!bytes) {
        return decision.unknownEffect("answer broken off");
    }
    return decision.known({ status: head.response.statusCode ?? 0, body: parseJson(bytes) });
}

/** Parses JSON; undefined if it is none. */
export function parseJson(bytes: Buffer): unknown {
    try {
        return JSON.parse(bytes.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
