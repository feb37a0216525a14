import * as lifecycle from "@citronlead/lifecycle";
import * as exchange from "./exchange.js";
import * as store from "./keyvaluestore.js";

/** Faults that the platform simulates. PUT /standin/faults sets the fields that its body contains. */
export interface PlatformFaults {
    /** The key-value service closes every connection without a response and breaks every watch. */
    outage: boolean;
    /** Delay of each answer of the key-value service, except watches. */
    delayMs: number;
    /** Number of writes that take effect but get no answer; counts down. */
    dropWriteAnswers: number;
    /** Watches stay open but send nothing. */
    silentWatches: boolean;
    /** Delay until a change of the host list is visible. */
    hostListLagMs: number;
}

/** An entry of the host list. */
interface HostEntry {
    name: string;
    pool: string;
    address: string;
    availabilityZone: string;
    state: string;
}

/** Configuration of the platform stand-in. */
export interface PlatformOptions {
    readonly address: string;
    readonly port: number;
    /** The bandwidth that the weight store reports. */
    readonly weightRateBytesPerSecond: number;
}

const EXPIRY_PERIOD_MS = 50;
/** How often every watch reports the current revision, with or without changes. */
const PROGRESS_PERIOD_MS = 1_000;
const WEIGHT_BYTES = 20e9;

/** Number of calls to the key-value service by path; GET /standin/counts returns it. */
type Counts = Map<string, number>;

/** Starts the platform stand-in. */
export async function startPlatform(
    scope: lifecycle.Scope,
    options: PlatformOptions,
): Promise<exchange.ListeningServer> {
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
    lifecycle.every(scope, EXPIRY_PERIOD_MS, () => state.expireLeases(lifecycle.monotonicClock()));
    return exchange.serve(scope, options, async (call) => {
        if (call.path.startsWith("/v3/")) {
            counts.set(call.path, (counts.get(call.path) ?? 0) + 1);
            await handleKeyValue(scope, state, faults, call);
        }
        else if (call.path === "/hosts") {
            handleHosts(hosts, call);
        }
        else if (call.path.startsWith("/weights/")) {
            handleWeights(options, call);
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
    readonly entries: () => readonly HostEntry[];
    readonly version: () => number;
    readonly put: (entry: HostEntry) => void;
    readonly remove: (name: string) => void;
}

function makeHostList(scope: lifecycle.Scope, faults: PlatformFaults): HostList {
    const hosts = new Map<string, HostEntry>();
    let version = 0;
    const afterLag = (change: () => void) =>
        lifecycle.after(scope, faults.hostListLagMs, () => {
            change();
            version++;
        });
    return {
        entries: () => [...hosts.values()],
        version: () => version,
        put: (entry) => void afterLag(() => hosts.set(entry.name, entry)),
        remove: (name) => void afterLag(() => hosts.delete(name)),
    };
}

function handleHosts(hosts: HostList, call: exchange.Exchange): void {
    if (call.method === "PUT") {
        hosts.put(exchange.readJson<HostEntry>(call));
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
    exchange.sendJson(call, 200, { hosts: hosts.entries() }, { etag: tag });
}

function handleWeights(options: PlatformOptions, call: exchange.Exchange): void {
    const [model = "", version = ""] = call.path.split("/").slice(2).map(decodeURIComponent);
    exchange.sendJson(call, 200, {
        model,
        version,
        sizeBytes: WEIGHT_BYTES,
        rateBytesPerSecond: options.weightRateBytesPerSecond,
    });
}

async function handleKeyValue(
    scope: lifecycle.Scope,
    state: store.KeyValueStore,
    faults: PlatformFaults,
    call: exchange.Exchange,
): Promise<void> {
    if (faults.outage) {
        exchange.dropConnection(call);
        return;
    }
    if (call.path === "/v3/watch") {
        handleWatch(scope, state, faults, call);
        return;
    }
    if (faults.delayMs > 0) {
        await lifecycle.pause(scope, faults.delayMs);
    }
    const reply = handleUnaryCall(state, call);
    if (reply.wrote && faults.dropWriteAnswers > 0) {
        faults.dropWriteAnswers--;
        exchange.dropConnection(call);
        return;
    }
    exchange.sendJson(call, reply.status, reply.body);
}

interface KeyValueResponse {
    readonly status: number;
    readonly body: unknown;
    readonly wrote: boolean;
}

function handleUnaryCall(state: store.KeyValueStore, call: exchange.Exchange): KeyValueResponse {
    const now = lifecycle.monotonicClock();
    const header = () => ({ revision: String(state.revision) });
    switch (call.path) {
        case "/v3/kv/range": {
            const body = exchange.readJson<{ key: string; range_end?: string; }>(call);
            const kvs = state.range(body.key, body.range_end);
            return { status: 200, body: { header: header(), kvs, count: String(kvs.length) }, wrote: false };
        }
        case "/v3/kv/txn": {
            return handleTransaction(state, call);
        }
        case "/v3/lease/grant": {
            const body = exchange.readJson<{ TTL: string; }>(call);
            const id = state.grantLease(Number(body.TTL) * 1_000, now);
            return { status: 200, body: { header: header(), ID: id, TTL: body.TTL }, wrote: true };
        }
        case "/v3/lease/keepalive": {
            const body = exchange.readJson<{ ID: string; }>(call);
            const seconds = state.renewLease(body.ID, now) / 1_000;
            return {
                status: 200,
                body: { result: { header: header(), ID: body.ID, TTL: String(seconds) } },
                wrote: true,
            };
        }
        case "/v3/lease/revoke": {
            state.revokeLease(exchange.readJson<{ ID: string; }>(call).ID);
            return { status: 200, body: { header: header() }, wrote: true };
        }
        default:
            return { status: 404, body: {}, wrote: false };
    }
}

function handleTransaction(state: store.KeyValueStore, call: exchange.Exchange): KeyValueResponse {
    const body = exchange.readJson<{
        compare?: store.StoreComparison[];
        success?: store.StoreOperation[];
        failure?: store.StoreOperation[];
    }>(call);
    const leaseMissing = (body.success ?? []).some((operation) => {
        const lease = operation.request_put?.lease ?? "0";
        return lease !== "0" && !state.hasLease(lease);
    });
    if (leaseMissing) {
        return { status: 400, body: { code: 5, message: "requested lease not found" }, wrote: false };
    }
    const result = state.transact(body.compare ?? [], body.success ?? [], body.failure ?? []);
    return { status: 200, body: { header: { revision: String(state.revision) }, ...result }, wrote: true };
}

function handleWatch(
    scope: lifecycle.Scope,
    state: store.KeyValueStore,
    faults: PlatformFaults,
    call: exchange.Exchange,
): void {
    const { create_request: request } = exchange.readJson<{
        create_request: { key: string; range_end?: string; start_revision?: string; };
    }>(call);
    const watchScope = scope.child("watch");
    const low = Buffer.from(request.key, "base64");
    const high = request.range_end ? Buffer.from(request.range_end, "base64") : Buffer.concat([low, Buffer.from([0])]);
    const isWatched = (event: store.StoreEvent) => {
        const key = Buffer.from(event.kv.key, "base64");
        return key.compare(low) >= 0 && key.compare(high) < 0;
    };
    const writeFrame = (frame: object) => {
        if (!faults.silentWatches) {
            const header = { revision: String(state.revision) };
            call.response.write(`${JSON.stringify({ result: { header, ...frame } })}\n`);
        }
    };
    const sendEvents = (events: readonly store.StoreEvent[]) => {
        const watched = events.filter(isWatched).map(({ type, kv }) => ({ type, kv }));
        if (watched.length > 0) {
            writeFrame({ events: watched });
        }
    };
    call.response.writeHead(200, { "content-type": "application/json" });
    writeFrame({ created: true });
    const start = Number(request.start_revision ?? "0");
    if (start > 0) {
        sendEvents(state.eventsSince(start));
    }
    watchScope.defer(state.subscribe(sendEvents));
    lifecycle.every(watchScope, PROGRESS_PERIOD_MS, () => {
        if (faults.outage) {
            call.response.destroy();
        }
        else {
            writeFrame({});
        }
    });
    call.response.once("close", () => void watchScope.close());
}
