import type * as routing from "@citronlead/routing";
import type * as contexts from "./context.js";
import * as controls from "./control.js";
import * as calls from "./upstream/call.js";
import * as notices from "./upstream/notices.js";

/** Time to wait for a response. Sound engines may be silent for a second; callers wait at least two for an event. */
const RESPONSE_TIMEOUT_MS = 1_600;
/** Attempts before an upstream counts as gone: the first may use a connection that was closed while idle. */
const ATTEMPTS = 2;

/** How a running upstream of a service is recognised. */
interface Probe {
    readonly path: string;
    /** Whether one that does not respond in time runs: the health check of a plain service waits for a slot. */
    readonly silentIsRunning: boolean;
}

/** Calls an upstream until an attempt tells whether this incarnation runs; undefined if none does. */
export async function probe(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
): Promise<boolean | undefined> {
    const known = probeOf(context, upstream);
    let running: boolean | undefined;
    for (let attempt = 0; known && running === undefined && attempt < ATTEMPTS; attempt++) {
        running = await sendProbe(context, upstream, known);
    }
    return running;
}

/**
 * Whether the upstream that ended a response with its connection still runs. One that crashed has closed its connections
 * too, and what it sent last may be a part of the response only.
 */
export async function isStillRunning(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
): Promise<boolean> {
    if (!probeOf(context, upstream)) {
        return true;
    }
    const running = await probe(context, upstream);
    if (!running) {
        context.log.decision("upstream gone after a response without framing", { upstream: upstream.id });
    }
    return running ?? false;
}

/** Undefined if the service has no way to tell. */
function probeOf({ storeView, wireFormat }: contexts.GatewayContext, { service }: routing.Upstream): Probe | undefined {
    const known = storeView.activeConfiguration()?.table.serviceByName.get(service);
    if (known?.engine) {
        return { path: wireFormat.engineStatePath, silentIsRunning: false };
    }
    return known?.healthPath === undefined ? undefined : { path: known.healthPath, silentIsRunning: true };
}

/** Whether this incarnation runs; undefined if its connection was refused or closed. */
async function sendProbe(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
    { path, silentIsRunning }: Probe,
): Promise<boolean | undefined> {
    const call = { method: "GET", path, body: undefined };
    const outcome = await controls.startControlCall(context, upstream, call, {
        name: "probe",
        purpose: controls.ControlPurpose.Aftercare,
        timeoutMs: RESPONSE_TIMEOUT_MS,
    });
    if (outcome.progress !== calls.CallProgress.Responded) {
        const isSilent = outcome.progress === calls.CallProgress.NoResponse
            && outcome.failure === calls.CallFailure.TimedOut;
        return isSilent ? silentIsRunning : undefined;
    }
    await calls.readBody(outcome.answer, RESPONSE_TIMEOUT_MS, calls.MAX_CONTROL_BODY_BYTES);
    return outcome.response.statusCode !== notices.WRONG_UPSTREAM_STATUS;
}
