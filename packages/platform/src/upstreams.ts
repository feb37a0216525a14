import * as decision from "@citronlead/decision";
import * as http from "node:http";
import * as zod from "zod";
import * as jsonCall from "./http.js";
import * as keyvalue from "./keyvalue.js";

/** Whether a listed upstream accepts new work. */
export enum ListedUpstreamState {
    Live = "live",
    Departing = "departing",
}

/** An entry of the platform's list of upstreams (its "host list"). The list lags behind the actual state. */
export interface ListedUpstream {
    readonly name: string;
    /** The pool that the upstream belongs to. */
    readonly pool: string;
    /** The base address, such as http://127.0.0.11:7100. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: ListedUpstreamState;
}

const listSchema = zod.object({
    hosts: zod.array(zod.object({
        name: zod.string(),
        pool: zod.string(),
        address: zod.url(),
        availabilityZone: zod.string(),
        state: zod.enum(ListedUpstreamState),
    })),
});

/** Reads the platform's list of upstreams once. */
export async function readUpstreamList(
    address: string,
    timeoutMs: decision.Milliseconds,
    agent?: http.Agent,
): Promise<decision.Outcome<readonly ListedUpstream[]>> {
    return followUpstreamList(address, timeoutMs, agent)();
}

/**
 * Makes a reader of the platform's list of upstreams. It sends the ETag of the last list, so that an unchanged list is
 * not transferred again; the same array is returned then.
 */
export function followUpstreamList(
    address: string,
    timeoutMs: decision.Milliseconds,
    agent?: http.Agent,
): () => Promise<decision.Outcome<readonly ListedUpstream[]>> {
    let lastList: { readonly etag: string; readonly hosts: readonly ListedUpstream[]; } | undefined;
    return async () => {
        const headers: http.OutgoingHttpHeaders = lastList ? { "if-none-match": lastList.etag } : {};
        const outcome = await jsonCall.callJson({ url: `${address}/hosts`, timeoutMs, agent, headers });
        if (outcome.effect !== decision.Effect.Known) {
            return keyvalue.mapOutcome(outcome, () => []);
        }
        const { status, body, headers: responseHeaders } = outcome.value;
        if (status === STATUS_NOT_MODIFIED && lastList) {
            return decision.knownEffect(lastList.hosts);
        }
        const parsed = listSchema.safeParse(body);
        if (status !== 200 || !parsed.success) {
            return decision.noEffect("host list does not match the expected schema");
        }
        const { hosts } = parsed.data;
        lastList = responseHeaders.etag === undefined ? undefined : { etag: responseHeaders.etag, hosts };
        return decision.knownEffect(hosts);
    };
}

const STATUS_NOT_MODIFIED = 304;
