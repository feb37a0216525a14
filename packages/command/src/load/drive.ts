import * as lifecycle from "@citronlead/lifecycle";
import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as mixes from "./mix.js";
import * as plans from "./plan.js";
import * as senders from "./send.js";

/** What a load is sent to, and how. */
export interface DriveOptions extends plans.ArrivalOptions {
    /** Base addresses of the routers' ports for callers, used in turn. */
    readonly routers: readonly string[];
    readonly keys: Readonly<Record<string, string>>;
    /** Requests that are due while so many are open are not sent, but counted. */
    readonly mostOpen: number;
    /** How long the last answers are waited for, in milliseconds. */
    readonly graceMs: number;
}

/** What came of a load. */
export interface DriveResult {
    readonly endings: readonly senders.Ending[];
    /** Requests that were due while too many were open. */
    readonly notSent: number;
    /** How late the latest request was sent: the load tool itself was too slow, in milliseconds. */
    readonly latestSendMs: number;
    readonly elapsedMs: number;
}

/** Sends a load: each request at its time, whatever became of the former ones. Stops by itself. */
export async function driveLoad(mix: mixes.Mix, options: DriveOptions): Promise<DriveResult> {
    const scope = new lifecycle.Lifecycle("load");
    const clock = lifecycle.monotonicClock;
    const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
    const control = new AbortController();
    const startedAt = clock();
    const open = new Set<Promise<void>>();
    const endings: senders.Ending[] = [];
    let [notSent, latestSendMs] = [0, 0];
    const sending = { agent, clock, keys: options.keys, signal: control.signal, loadId: crypto.randomUUID() };
    const send = (planned: plans.PlannedRequest) => {
        const router = options.routers[planned.number % options.routers.length] ?? "";
        const running = senders.sendPlanned(router, planned, sending).then((ending) => {
            endings.push(ending);
            open.delete(running);
        });
        open.add(running);
    };
    for (const planned of plans.planLoad(mix, options)) {
        await lifecycle.pause(scope, startedAt + planned.at - clock());
        latestSendMs = Math.max(latestSendMs, clock() - startedAt - planned.at);
        if (open.size < options.mostOpen) {
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
    return { endings, notSent, latestSendMs, elapsedMs: clock() - startedAt };
}
