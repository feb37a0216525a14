import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as net from "node:net";
import type * as contexts from "./context.js";
import * as evidences from "./evidence.js";
import * as json from "./json.js";
import * as calls from "./upstream/call.js";
import * as notices from "./upstream/notices.js";
import type * as wires from "./wire.js";

/** The response to a control call: its status and parsed body. */
export type ControlOutcome = decision.Outcome<{ readonly status: number; readonly body: unknown; }>;

/** What a control call is for. */
export enum ControlPurpose {
    /** New work, such as a reservation; none is sent to an excluded upstream. */
    Work = "work",
    /** Concerns work that was sent before; sent unless the upstream wants nothing at all. */
    Aftercare = "aftercare",
}

/** How a control call is made. */
export interface ControlOptions {
    /** Name of the call in logs. */
    readonly name: string;
    readonly purpose: ControlPurpose;
    readonly timeoutMs: decision.Milliseconds;
    /** Pool of its connection; that of the incarnation if undefined. */
    readonly pool?: string;
    /** Called with the connection of the call. */
    readonly onConnection?: (socket: net.Socket) => void;
    /** What an answer grants, by an id that its upstream gives once; undefined if it grants nothing. */
    readonly grantOf?: (answer: { readonly status: number; readonly body: unknown; }) => string | undefined;
}

/** Starts a control call to an upstream, such as a reservation; its response belongs to no request. */
export async function startControlCall(
    context: contexts.GatewayContext,
    upstream: routing.Upstream,
    call: wires.EngineCall,
    { name, purpose, timeoutMs, pool, onConnection }: ControlOptions,
): Promise<calls.CallOutcome> {
    const startedAt = context.clock();
    const exclusion = context.pool.exclusionOf(upstream, startedAt);
    if (exclusion === dispatch.Exclusion.Waiting || (exclusion && purpose === ControlPurpose.Work)) {
        return {
            progress: calls.CallProgress.NotSent,
            failure: calls.CallFailure.Excluded,
            reason: `not sent: ${exclusion}`,
        };
    }
    const body = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
    const outcome = await calls.startCall(context.agent, {
        address: upstream.address,
        incarnation: pool ?? routing.incarnationOf(upstream),
        findMismatch: (headers) => {
            const { requestId } = context.wireFormat.parseResponse(headers);
            return requestId === undefined ? undefined : `response to request ${requestId}`;
        },
        method: call.method,
        path: call.path,
        headers: [
            "Host",
            upstream.address,
            ...context.wireFormat.engineCallHeaders(upstream.id),
            ...(body ? ["Content-Type", "application/json"] : []),
        ],
        body,
        headersTimeoutMs: timeoutMs,
        run: undefined,
        onConnection,
        signal: undefined,
    });
    context.reachability.record(upstream, outcome);
    context.observations.record(upstream, outcome, notices.isWrongUpstream(outcome), startedAt);
    evidences.reportForeignAnswer(context, upstream.id, name, undefined, outcome);
    evidences.followAnswer(context.metrics, name, outcome);
    const isSilent = outcome.progress !== calls.CallProgress.Responded
        && outcome.failure === calls.CallFailure.TimedOut;
    if (isSilent && upstream.stage !== undefined) {
        context.observations.recordSilent(upstream);
    }
    if (outcome.progress === calls.CallProgress.Responded) {
        const metadata = context.wireFormat.parseResponse(outcome.response.headers);
        context.notices.observe(upstream, outcome.response, metadata, { call: name, requestId: undefined });
    }
    return outcome;
}

/** Makes a control call to an engine, such as a reservation. */
export async function callEngine(
    context: contexts.GatewayContext,
    { upstream }: dispatch.Candidate,
    call: wires.EngineCall,
    options: ControlOptions,
): Promise<ControlOutcome> {
    const outcome = await startControlCall(context, upstream, call, options);
    if (outcome.progress !== calls.CallProgress.Responded) {
        return outcome.progress === calls.CallProgress.NotSent
            ? decision.noEffect(outcome.reason)
            : decision.unknownEffect(outcome.reason);
    }
    const { socket } = outcome.response;
    const bytes = await calls.readBody(outcome.answer, options.timeoutMs, calls.MAX_CONTROL_BODY_BYTES);
    if (!bytes) {
        return decision.unknownEffect("answer broken off");
    }
    const answer = { status: outcome.response.statusCode ?? 0, body: json.parseJson(bytes) };
    const grant = options.grantOf?.(answer);
    if (grant !== undefined && !context.agent.recordGrant(socket, grant)) {
        evidences.reportCopy(context, upstream.id, options.name, outcome);
        return decision.unknownEffect("copy of the answer to an earlier call");
    }
    return decision.knownEffect(answer);
}
