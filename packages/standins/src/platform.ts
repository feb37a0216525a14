import * as lifecycle from "@citronlead/lifecycle";
import * as exchange from "./exchange.js";
import * as store from "./keyvaluestore.js";

/** How the platform misbehaves; set with PUT /standin/faults, each field on its own. */
export interface PlatformFaults {
    /** The key-value service answers nothing and breaks every connection and watch. */
    outage: boolean;
    /** Each answer of the key-value service waits this long, in milliseconds. */
    delayMs: number;
    /** So many answers to writes are dropped after the write took effect. */
    dropWriteAnswers: number;
    /** Watches stay open and tell nothing. */
    silentWatches: boolean;
    /** Changes of the host list show after this time, in milliseconds. */
    hostListLagMs: number;
}

/** A host as the list shows it. */
interface HostRow {
    name: string;
    pool: string;
    address: string;
    availabilityZone: string;
    state: string;
}

/** Where the platform listens. */
export interface PlatformOptions {
    readonly address: string;
    readonly port: number;
    /** The rate of the weight store, in bytes a second. */
    readonly weightRateBytesPerSecond: number;
}

const EXPIRY_PERIOD_MS = 50;
const PROGRESS_PERIOD_MS = 1_000;
const WEIGHT_BYTES = 20e9;

/** Calls of the key-value service so far, by path; GET /standin/counts shows them. */
type Counts = Map<string, number>;

/** Starts the platform's stand-in. */
export async function startPlatform(
    scope: lifecycle.Lifecycle,
    options: PlatformOptions,
): Promise<exchange.Listening> {
    const state = new store.KeyValueStore();
    const faults: PlatformFaults = {
        outage: false,
        delayMs: 0,
        dropWriteAnswers: 0,
        silentWatches: false,
        hostListLagMs: 0,
    };
    const counts: Counts = new Map();
    const hosts = makeHostList(scope, faults);
    lifecycle.every(scope, EXPIRY_PERIOD_MS, () => state.expire(lifecycle.monotonicClock()));
    return exchange.serve(scope, options, async (call) => {
        if (call.path.startsWith("/v3/")) {
            counts.set(call.path, (counts.get(call.path) ?? 0) + 1);
            await answerKeyValue(scope, state, faults, call);
        }
        else if (call.path === "/hosts") {
            answerHosts(hosts, call);
        }
        else if (call.path.startsWith("/weights/")) {
            answerWeights(options, call);
        }
        else if (call.path === "/standin/faults") {
            Object.assign(faults, exchange.readJson<Partial<PlatformFaults>>(call));
            exchange.sendJson(call, 200, faults);
        }
        else if (call.path === "/standin/counts") {
            exchange.sendJson(call, 200, Object.fromEntries(counts));
        }
        else {
            exchange.sendJson(call, 404, {});
        }
    });
}

interface HostList {
    readonly shown: () => readonly HostRow[];
    readonly version: () => number;
    readonly put: (row: HostRow) => void;
    readonly remove: (name: string) => void;
}

function makeHostList(scope: lifecycle.Lifecycle, faults: PlatformFaults): HostList {
    const rows = new Map<string, HostRow>();
    let version = 0;
    const later = (change: () => void) =>
        lifecycle.after(scope, faults.hostListLagMs, () => {
            change();
            version++;
        });
    return {
        shown: () => [...rows.values()],
        version: () => version,
        put: (row) => void later(() => rows.set(row.name, row)),
        remove: (name) => void later(() => rows.delete(name)),
    };
}

function answerHosts(hosts: HostList, call: exchange.Exchange): void {
    if (call.method === "PUT") {
        hosts.put(exchange.readJson<HostRow>(call));
        exchange.sendJson(call, 200, {});
        return;
    }
    if (call.method === "DELETE") {
        hosts.remove(call.query.get("name") ?? "");
        exchange.sendJson(call, 200, {});
        return;
    }
    const tag = `"${hosts.version()}"`;
    if (call.headers["if-none-match"] === tag) {
        call.response.writeHead(304, { etag: tag });
        call.response.end();
        return;
    }
    exchange.sendJson(call, 200, { hosts: hosts.shown() }, { etag: tag });
}

function answerWeights(options: PlatformOptions, call: exchange.Exchange): void {
    const [model = "", version = ""] = call.path.split("/").slice(2).map(decodeURIComponent);
    exchange.sendJson(call, 200, {
        model,
        version,
        sizeBytes: WEIGHT_BYTES,
        rateBytesPerSecond: options.weightRateBytesPerSecond,
    });
}

async function answerKeyValue(
    scope: lifecycle.Lifecycle,
    state: store.KeyValueStore,
    faults: PlatformFaults,
    call: exchange.Exchange,
): Promise<void> {
    if (faults.outage) {
        exchange.dropAnswer(call);
        return;
    }
    if (call.path === "/v3/watch") {
        answerWatch(scope, state, faults, call);
        return;
    }
    if (faults.delayMs > 0) {
        await lifecycle.pause(scope, faults.delayMs);
    }
    const answer = carryOut(state, call);
    if (answer.wrote && faults.dropWriteAnswers > 0) {
        faults.dropWriteAnswers--;
        exchange.dropAnswer(call);
        return;
    }
    exchange.sendJson(call, answer.status, answer.body);
}

interface Answer {
    readonly status: number;
    readonly body: unknown;
    readonly wrote: boolean;
}

function carryOut(state: store.KeyValueStore, call: exchange.Exchange): Answer {
    const now = lifecycle.monotonicClock();
    const header = () => ({ revision: String(state.revision) });
    switch (call.path) {
        case "/v3/kv/range": {
            const body = exchange.readJson<{ key: string; range_end?: string; }>(call);
            const kvs = state.range(body.key, body.range_end);
            return { status: 200, body: { header: header(), kvs, count: String(kvs.length) }, wrote: false };
        }
        case "/v3/kv/txn": {
            return transact(state, call);
        }
        case "/v3/lease/grant": {
            const body = exchange.readJson<{ TTL: string; }>(call);
            const id = state.grant(Number(body.TTL) * 1_000, now);
            return { status: 200, body: { header: header(), ID: id, TTL: body.TTL }, wrote: true };
        }
        case "/v3/lease/keepalive": {
            const body = exchange.readJson<{ ID: string; }>(call);
            const seconds = state.keepAlive(body.ID, now) / 1_000;
            return {
                status: 200,
                body: { result: { header: header(), ID: body.ID, TTL: String(seconds) } },
                wrote: true,
            };
        }
        case "/v3/lease/revoke": {
            state.revoke(exchange.readJson<{ ID: string; }>(call).ID);
            return { status: 200, body: { header: header() }, wrote: true };
        }
        default:
            return { status: 404, body: {}, wrote: false };
    }
}

function transact(state: store.KeyValueStore, call: exchange.Exchange): Answer {
    const body = exchange.readJson<{
        compare?: store.StoreComparison[];
        success?: store.StoreOperation[];
        failure?: store.StoreOperation[];
    }>(call);
    const lost = (body.success ?? []).some((operation) => {
        const lease = operation.request_put?.lease ?? "0";
        return lease !== "0" && !state.hasLease(lease);
    });
    if (lost) {
        return { status: 400, body: { code: 5, message: "requested lease not found" }, wrote: false };
    }
    const result = state.transact(body.compare ?? [], body.success ?? [], body.failure ?? []);
    return { status: 200, body: { header: { revision: String(state.revision) }, ...result }, wrote: true };
}

function answerWatch(
    scope: lifecycle.Lifecycle,
    state: store.KeyValueStore,
    faults: PlatformFaults,
    call: exchange.Exchange,
): void {
    const { create_request: wanted } = exchange.readJson<{
        create_request: { key: string; range_end?: string; start_revision?: string; };
    }>(call);
    const watchScope = scope.child("watch");
    const low = Buffer.from(wanted.key, "base64");
    const high = wanted.range_end ? Buffer.from(wanted.range_end, "base64") : Buffer.concat([low, Buffer.from([0])]);
    const concerns = (event: store.StoreEvent) => {
        const key = Buffer.from(event.kv.key, "base64");
        return key.compare(low) >= 0 && key.compare(high) < 0;
    };
    const write = (frame: object) => {
        if (!faults.silentWatches) {
            const header = { revision: String(state.revision) };
            call.response.write(`${JSON.stringify({ result: { header, ...frame } })}\n`);
        }
    };
    const tell = (events: readonly store.StoreEvent[]) => {
        const concerning = events.filter(concerns).map(({ type, kv }) => ({ type, kv }));
        if (concerning.length > 0) {
            write({ events: concerning });
        }
    };
    call.response.writeHead(200, { "content-type": "application/json" });
    write({ created: true });
    const start = Number(wanted.start_revision ?? "0");
    if (start > 0) {
        tell(state.since(start));
    }
    watchScope.own(state.listen(tell));
    lifecycle.every(watchScope, PROGRESS_PERIOD_MS, () => {
        if (faults.outage) {
            call.response.destroy();
        }
        else {
            write({});
        }
    });
    call.response.once("close", () => void watchScope.close());
}
