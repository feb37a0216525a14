import * as decision from "@citronlead/decision";
import * as http from "node:http";
import * as zod from "zod";
import * as jsonCall from "./http.js";
import * as keyvalue from "./keyvalue.js";

/** Whether a listed host takes new work. */
export enum ListedState {
    Live = "live",
    Departing = "departing",
}

/** One entry of the platform's list of upstream hosts. The list lags behind what is so. */
export interface ListedHost {
    /** The upstream's name. */
    readonly name: string;
    /** The pool that the upstream belongs to. */
    readonly pool: string;
    /** The base address, such as http://127.0.0.11:7100. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: ListedState;
}

const listSchema = zod.object({
    hosts: zod.array(zod.object({
        name: zod.string(),
        pool: zod.string(),
        address: zod.url(),
        availabilityZone: zod.string(),
        state: zod.enum(ListedState),
    })),
});

/** Reads the platform's list of upstream hosts. */
export async function readHosts(
    address: string,
    timeoutMs: decision.Milliseconds,
    agent?: http.Agent,
): Promise<decision.Outcome<readonly ListedHost[]>> {
    return followHosts(address, timeoutMs, agent)();
}

/** Makes a reader of the list that has it sent again only when it has changed since its last reading. */
export function followHosts(
    address: string,
    timeoutMs: decision.Milliseconds,
    agent?: http.Agent,
): () => Promise<decision.Outcome<readonly ListedHost[]>> {
    let last: { readonly tag: string; readonly hosts: readonly ListedHost[]; } | undefined;
    return async () => {
        const headers: http.OutgoingHttpHeaders = last ? { "if-none-match": last.tag } : {};
        const outcome = await jsonCall.callJson({ url: `${address}/hosts`, timeoutMs, agent, headers });
        if (outcome.effect !== decision.Effect.Known) {
            return keyvalue.map(outcome, () => []);
        }
        const { status, body, headers: answered } = outcome.value;
        if (status === NOT_MODIFIED && last) {
            return decision.known(last.hosts);
        }
        const parsed = listSchema.safeParse(body);
        if (status !== 200 || !parsed.success) {
            return decision.noEffect("the host list has an unknown shape");
        }
        const { hosts } = parsed.data;
        last = answered.etag === undefined ? undefined : { tag: answered.etag, hosts };
        return decision.known(hosts);
    };
}

const NOT_MODIFIED = 304;
