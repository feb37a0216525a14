import * as lifecycle from "@citronlead/lifecycle";
import * as exchange from "./exchange.js";

/** How a service misbehaves; set with PUT /standin/faults, each field on its own. */
export interface ServiceFaults {
    /** Each answer waits this long, in milliseconds. */
    delayMs: number;
    /** So many calls run and get no answer. */
    dropAnswers: number;
    /** Takes no new work. */
    departing: boolean;
    /** Calls whose body contains this text stop the process; empty for none. */
    crashMark: string;
}

/** Where a service listens. */
export interface ServiceOptions {
    readonly address: string;
    readonly port: number;
    readonly name: string;
    /** Stops the process, as a crash does. */
    readonly crash: () => void;
}

/** A call that ran. */
interface Run {
    readonly method: string;
    readonly path: string;
    readonly idempotencyKey: string;
    /** The headers and body as they arrived, for tests that look for what must not be there. */
    readonly headers: object;
    readonly body: string;
}

/** Starts a plain service's stand-in. It runs each call, counts it and lists all under GET /standin/runs. */
export async function startService(scope: lifecycle.Lifecycle, options: ServiceOptions): Promise<exchange.Listening> {
    const faults: ServiceFaults = { delayMs: 0, dropAnswers: 0, departing: false, crashMark: "" };
    const runs: Run[] = [];
    return exchange.serve(scope, options, async (call) => {
        if (call.path === "/standin/faults") {
            Object.assign(faults, exchange.readJson<Partial<ServiceFaults>>(call));
            exchange.sendJson(call, 200, faults);
        }
        else if (call.path === "/standin/runs") {
            exchange.sendJson(call, 200, { runs });
        }
        else if (faults.departing) {
            exchange.sendJson(call, 503, {}, { "x-not-run": "departing", "retry-after": "1" });
        }
        else {
            await runCall(scope, options, faults, runs, call);
        }
    });
}

async function runCall(
    scope: lifecycle.Lifecycle,
    options: ServiceOptions,
    faults: ServiceFaults,
    runs: Run[],
    call: exchange.Exchange,
): Promise<void> {
    const body = call.body.toString("utf8");
    if (faults.crashMark !== "" && body.includes(faults.crashMark)) {
        options.crash();
    }
    const query = call.query.toString();
    runs.push({
        method: call.method,
        path: call.path + (query === "" ? "" : `?${query}`),
        idempotencyKey: String(call.headers["idempotency-key"] ?? ""),
        headers: call.headers,
        body,
    });
    const number = runs.length;
    await lifecycle.pause(scope, faults.delayMs);
    if (faults.dropAnswers > 0) {
        faults.dropAnswers--;
        exchange.dropAnswer(call);
        return;
    }
    exchange.sendJson(call, 200, { ranAt: options.name, number, method: call.method, path: call.path });
}
