import * as decision from "@citronlead/decision";
import type * as http from "node:http";
import * as zod from "zod";
import * as jsonText from "../json.js";

/** From the host that relays a request; see `RelayedRequest`. */
const REQUEST_HEADER = "citronlead-relay-request";
/** From the host that serves a relayed request: why it refused it, and Retry-After. Absent from responses of upstreams. */
const REFUSAL_HEADER = "citronlead-relay-refusal";

/** From the host that serves a relayed request: incarnation of the upstream whose answer says that it leaves. */
const LEAVING_HEADER = "citronlead-relay-leaving";

/** Headers that only hosts may set on what they send each other. */
export const RELAY_HEADERS: ReadonlySet<string> = new Set([REQUEST_HEADER, REFUSAL_HEADER, LEAVING_HEADER]);

/** Why the serving host refused a relayed request. */
export interface RelayedRefusal {
    readonly reason: string;
    readonly retryAfterMs: decision.Milliseconds | undefined;
}

/** What the host that relays a request says of it. */
export interface RelayedRequest {
    /** Time left until its final response is due. */
    readonly timeLeftMs: decision.Milliseconds;
    /** Version of the configuration that the host applies; one with an older version must not serve the request. */
    readonly configuration: number;
}

const durationMs = zod.number().min(0).max(decision.MAX_TIMER_MS);
const requestSchema = zod.object({ timeLeftMs: durationMs, configuration: zod.number() });

/** The relayed requests that have arrived. */
const relayedRequests = new WeakMap<http.IncomingMessage, RelayedRequest>();

/** Headers that a host adds to a request that it relays. They concern one connection, so that they are not forwarded. */
export function relayHeaders(relayed: RelayedRequest): string[] {
    return ["Connection", `close, ${REQUEST_HEADER}`, REQUEST_HEADER, JSON.stringify(relayed)];
}

/** Marks a request that has arrived at the port for hosts; no host serves one that it cannot read. */
export function markRelayed(request: http.IncomingMessage): void {
    const relayed = requestSchema.safeParse(parseJson(request.headers[REQUEST_HEADER])).data;
    relayedRequests.set(request, relayed ?? { timeLeftMs: 0, configuration: Infinity });
}

/** What the relaying host says of a request; undefined if it came from its caller. */
export function relayedRequestOf(request: http.IncomingMessage): RelayedRequest | undefined {
    return relayedRequests.get(request);
}

/** Headers that tell the host that relayed a request why it is refused; none for a caller. */
export function refusalHeaders(request: http.IncomingMessage, { reason, retryAfterMs }: RelayedRefusal): string[] {
    return relayedRequests.has(request) ? [REFUSAL_HEADER, JSON.stringify({ reason, retryAfterMs })] : [];
}

/** Headers that tell the host that relayed a request that the upstream leaves. They concern one connection. */
export function leavingHeaders(incarnation: string): string[] {
    return ["Connection", `close, ${LEAVING_HEADER}`, LEAVING_HEADER, incarnation];
}

/** Incarnation of the upstream that leaves, by the host that served a relayed request. */
export function parseLeaving(headers: http.IncomingHttpHeaders): string | undefined {
    const value = headers[LEAVING_HEADER];
    return typeof value === "string" ? value : undefined;
}

const refusalSchema = zod.object({ reason: zod.string(), retryAfterMs: durationMs.optional() });

/** Why the serving host refused a relayed request; undefined if the response is an upstream's. */
export function parseRefusal(headers: http.IncomingHttpHeaders): RelayedRefusal | undefined {
    const value = headers[REFUSAL_HEADER];
    if (value === undefined) {
        return undefined;
    }
    // A host of another build may write more; its status says the rest.
    const { reason = "unknown", retryAfterMs } = refusalSchema.safeParse(parseJson(value)).data ?? {};
    return { reason, retryAfterMs };
}

function parseJson(value: string | string[] | undefined): unknown {
    return typeof value === "string" ? jsonText.parseJson(Buffer.from(value)) : undefined;
}
