import * as lifecycle from "@citronlead/lifecycle";
import * as exchange from "./exchange.js";

/** Faults that a service simulates. PUT /standin/faults sets the fields that its body contains. */
export interface ServiceFaults {
    /** Delay of each answer. */
    delayMs: number;
    /** Number of calls that run but get no answer; counts down. */
    dropAnswers: number;
    /** Refuses new calls as not run. */
    departing: boolean;
    /** A call whose body contains this text stops the process; empty to disable. */
    crashMark: string;
}

/** Configuration of a service stand-in. */
export interface ServiceOptions {
    readonly address: string;
    readonly port: number;
    readonly name: string;
    /** Ends the process, simulating a crash. */
    readonly crash: () => void;
}

/** A call that ran. */
interface RecordedCall {
    readonly method: string;
    readonly path: string;
    readonly idempotencyKey: string;
    /** The headers and body as received, so that tests can check that certain content was not forwarded. */
    readonly headers: object;
    readonly body: string;
}

/** Starts a plain service stand-in. It records every call that it runs; GET /standin/runs returns them. */
export async function startService(scope: lifecycle.Scope, options: ServiceOptions): Promise<exchange.ListeningServer> {
    const faults: ServiceFaults = { delayMs: 0, dropAnswers: 0, departing: false, crashMark: "" };
    const runs: RecordedCall[] = [];
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
    scope: lifecycle.Scope,
    options: ServiceOptions,
    faults: ServiceFaults,
    runs: RecordedCall[],
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
        exchange.dropConnection(call);
        return;
    }
    exchange.sendJson(call, 200, { ranAt: options.name, number, method: call.method, path: call.path });
}
