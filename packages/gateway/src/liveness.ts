import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import type * as contexts from "./context.js";
import * as controls from "./control.js";
import type * as answers from "./upstream/answer.js";
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
        const result = await sendProbe(context, upstream, known);
        running = result === dispatch.ProbeResult.Gone
            ? undefined
            : result === dispatch.ProbeResult.Responded
                || (result === dispatch.ProbeResult.Silent && known.silentIsRunning);
    }
    return running;
}

/** Watches the end of a response; polls are recorded only for upstreams that have ended responses with their connection. */
export function watchEnd(context: contexts.GatewayContext, upstream: routing.Upstream): answers.EndWatch {
    const { agent, clock, polls } = context;
    const incarnation = routing.incarnationOf(upstream);
    const isRecording = agent.endsWithConnections(incarnation);
    let openAt = -Infinity;
    let sight: dispatch.EndSight | undefined;
    return {
        begin: () => {
            if (isRecording) {
                polls.start();
            }
            // Without records, the connection was last known to be open as the request was sent.
            sight = new dispatch.EndSight(isRecording ? polls : { polledAt: clock() });
        },
        follow: (response) => {
            agent.recordEndWithConnection(incarnation);
            response.socket.prependOnceListener("end", () => openAt = sight?.openAt ?? -Infinity);
            response.on("pause", () => sight?.hold(clock()));
            response.on("resume", () => sight?.resume(clock()));
        },
        end: () => isRecording && polls.stop(),
        findProof: () => findProof(context, upstream, openAt),
    };
}

/** Probes the upstream that closed the connection of a response, which was known to be open at `openAt`. */
async function findProof(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
    openAt: decision.Milliseconds,
): Promise<dispatch.EndProof | undefined> {
    const { agent } = context;
    const known = probeOf(context, upstream);
    if (!known) {
        return dispatch.EndProof.Unasked;
    }
    const incarnation = routing.incarnationOf(upstream);
    let connection: net.Socket | undefined;
    const onConnection = (socket: net.Socket) => connection = socket;
    let result = dispatch.ProbeResult.Gone;
    for (let attempt = 0; result === dispatch.ProbeResult.Gone && attempt < ATTEMPTS; attempt++) {
        const pool = agent.probePoolOf(incarnation);
        result = await sendProbe(context, upstream, known, { pool, onConnection });
    }
    // The closing of other connections may have been found together with the response.
    await timers.setImmediate();
    const connectedAt = connection && agent.connectedAt(connection);
    const proof = dispatch.proofOfEnd({
        probe: result,
        silentIsRunning: known.silentIsRunning,
        isOlderOpen: agent.hasIdleSince(incarnation, openAt),
        openAt,
        connectedAt,
    });
    if (proof === undefined) {
        const unseenMs = connectedAt === undefined ? undefined : Math.round(connectedAt - openAt);
        context.log.decision("end of a response without framing not proved", {
            upstream: upstream.id,
            probe: result,
            unseenMs,
        });
    }
    return proof;
}

/** Undefined if the service has no way to tell. */
function probeOf({ storeView, wireFormat }: contexts.GatewayContext, { service }: routing.Upstream): Probe | undefined {
    const known = storeView.activeConfiguration()?.table.serviceByName.get(service);
    if (known?.engine) {
        return { path: wireFormat.engineStatePath, silentIsRunning: false };
    }
    return known?.healthPath === undefined ? undefined : { path: known.healthPath, silentIsRunning: true };
}

async function sendProbe(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
    { path }: Probe,
    connection: Pick<controls.ControlOptions, "pool" | "onConnection"> = {},
): Promise<dispatch.ProbeResult> {
    const call = { method: "GET", path, body: undefined };
    const outcome = await controls.startControlCall(context, upstream, call, {
        name: "probe",
        purpose: controls.ControlPurpose.Aftercare,
        timeoutMs: RESPONSE_TIMEOUT_MS,
        ...connection,
    });
    if (outcome.progress !== calls.CallProgress.Responded) {
        const isSilent = outcome.progress === calls.CallProgress.NoResponse
            && outcome.failure === calls.CallFailure.TimedOut;
        return isSilent ? dispatch.ProbeResult.Silent : dispatch.ProbeResult.Gone;
    }
    await calls.readBody(outcome.answer, RESPONSE_TIMEOUT_MS, calls.MAX_CONTROL_BODY_BYTES);
    return outcome.response.statusCode === notices.WRONG_UPSTREAM_STATUS
        ? dispatch.ProbeResult.Denied
        : dispatch.ProbeResult.Responded;
}
