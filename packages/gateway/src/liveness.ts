import type * as decision from "@citronlead/decision";
import * as routing from "@citronlead/routing";
import type * as contexts from "./context.js";
import * as calls from "./upstream/call.js";

/** Time to wait for a health response. An upstream that takes longer is busy: one that crashed refuses connections. */
const HEALTH_TIMEOUT_MS = 300;
/** Attempts before an upstream counts as gone: the first may use a connection that was closed while idle. */
const HEALTH_ATTEMPTS = 2;

/**
 * Whether the upstream that ended a response with its connection still runs. One that crashed has closed its connections
 * too, and what it sent last may be a part of the response only.
 */
export async function isStillRunning(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
): Promise<boolean> {
    const path = context.storeView.activeConfiguration()?.table.serviceByName.get(upstream.service)?.healthPath;
    if (path === undefined) {
        return true;
    }
    for (let attempt = 0; attempt < HEALTH_ATTEMPTS; attempt++) {
        const running = await askHealth(context, upstream, path, HEALTH_TIMEOUT_MS);
        if (running !== undefined) {
            return running;
        }
    }
    context.log.decision("upstream gone after a response without framing", { upstream: upstream.id });
    return false;
}

/** Whether this incarnation responds; undefined if its connection was refused or closed. */
async function askHealth(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
    path: string,
    timeoutMs: decision.Milliseconds,
): Promise<boolean | undefined> {
    const outcome = await calls.startCall(context.agent, {
        upstream,
        incarnation: routing.incarnationOf(upstream),
        method: "GET",
        path,
        headers: ["Host", upstream.address, ...context.wireFormat.engineCallHeaders(upstream.id)],
        body: undefined,
        headersTimeoutMs: timeoutMs,
        signal: undefined,
    });
    if (outcome.progress !== calls.CallProgress.Responded) {
        return outcome.progress === calls.CallProgress.NoResponse && !outcome.broken ? true : undefined;
    }
    await calls.readBody(outcome.response, timeoutMs, calls.MAX_CONTROL_BODY_BYTES);
    return outcome.response.statusCode !== 421;
}
