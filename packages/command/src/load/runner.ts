import * as lifecycle from "@citronlead/lifecycle";
import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as mixes from "./mix.js";
import * as plans from "./plan.js";
import * as senders from "./send.js";

/** Where to send a load, and how. */
export interface LoadRunOptions extends plans.ArrivalOptions {
    /** Base addresses that callers connect to, used round-robin. */
    readonly routers: readonly string[];
    /** Keys by workspace. */
    readonly keys: Readonly<Record<string, string>>;
    /** Requests that are due while this many are open are counted but not sent. */
    readonly maxOpenRequests: number;
    /** How long to wait for responses after the last request is sent. */
    readonly graceMs: number;
}

/** The outcome of a load. */
export interface LoadRunResult {
    readonly requests: readonly senders.RequestResult[];
    /** Requests that were due while too many were open. */
    readonly notSent: number;
    /** The longest delay between the planned and the actual sending of a request, caused by the load tool itself. */
    readonly latestSendMs: number;
    readonly elapsedMs: number;
}

/** Sends an open-loop load: each request at its planned time, whether or not earlier ones have ended. */
export async function runLoad(mix: mixes.Mix, options: LoadRunOptions): Promise<LoadRunResult> {
    const scope = new lifecycle.Scope("load");
    const clock = lifecycle.monotonicClock;
    const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
    const control = new AbortController();
    const startedAt = clock();
    const open = new Set<Promise<void>>();
    const requests: senders.RequestResult[] = [];
    let [notSent, latestSendMs] = [0, 0];
    const sendOptions = { agent, clock, keys: options.keys, signal: control.signal, loadId: crypto.randomUUID() };
    const send = (planned: plans.PlannedRequest) => {
        const router = options.routers[planned.number % options.routers.length] ?? "";
        const running = senders.sendRequest(router, planned, sendOptions).then((result) => {
            requests.push(result);
            open.delete(running);
        });
        open.add(running);
    };
    for (const planned of plans.planLoad(mix, options)) {
        await lifecycle.pause(scope, startedAt + planned.sendAtMs - clock());
        latestSendMs = Math.max(latestSendMs, clock() - startedAt - planned.sendAtMs);
        if (open.size < options.maxOpenRequests) {
            send(planned);
        }
        else {
            notSent++;
        }
    }
    const giveUp = setTimeout(() => control.abort(), options.graceMs);
    await Promise.all(open);
    clearTimeout(giveUp);
    agent.destroy();
    await scope.close();
    return { requests, notSent, latestSendMs, elapsedMs: clock() - startedAt };
}
