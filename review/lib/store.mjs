// Stand-in for the platform's store. It listens on one port for each host of the gateway, so that a case can turn single
// hosts away, as `platform_down` with `nodes` does.
import * as http from "node:http";

const LEASE_CHECK_MS = 50;

export class Store {
    era = 1;
    revision = 1;
    lastLease = 0;
    items = new Map();
    leases = new Map();
    events = [];
    watchers = new Set();
    servers = [];
    /** Hosts that get a 503 for each call. */
    turnedAway = new Set();
    /** Says of a host's transaction how late it is carried out, without an answer; undefined if it is answered. */
    loseTransaction = () => undefined;

    constructor() {
        this.timer = setInterval(() => this.expire(), LEASE_CHECK_MS);
    }

    /** Listens for one host; returns the address. */
    async listenFor(host) {
        const server = http.createServer((request, response) => {
            const chunks = [];
            request.on("data", (chunk) => chunks.push(chunk));
            request.on("end", () => this.serve(host, request, Buffer.concat(chunks).toString("utf8"), response));
            request.on("error", () => undefined);
        });
        await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
        this.servers.push(server);
        return `127.0.0.1:${server.address().port}`;
    }

    close() {
        clearInterval(this.timer);
        this.servers.forEach((server) => {
            server.close();
            server.closeAllConnections();
        });
    }

    /** Writes a key as the operator and the servers do. */
    put(key, value) {
        this.write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
    }

    remove(key) {
        if (this.items.delete(key)) {
            this.publish({ key, revision: ++this.revision, deleted: true });
        }
    }

    write(key, value, lease) {
        const revision = ++this.revision;
        const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease };
        this.items.set(key, item);
        this.publish(item);
    }

    publish(event) {
        this.events.push(event);
        if (this.events.length > 2_000) {
            this.events.splice(0, 1_000);
        }
        this.watchers.forEach((notify) => notify());
    }

    expire() {
        for (const [id, lease] of this.leases) {
            if (performance.now() > lease.endsAt) {
                this.endLease(id);
            }
        }
    }

    endLease(id) {
        this.leases.delete(id);
        [...this.items.values()].filter((item) => item.lease === id).forEach(({ key }) => this.remove(key));
    }

    serve(host, request, body, response) {
        const respond = (status, value = {}) => {
            if (response.destroyed || response.headersSent) {
                return;
            }
            response.writeHead(status, { "Content-Type": "application/json", "Store-Era": String(this.era) });
            response.end(JSON.stringify(value));
        };
        if (this.turnedAway.has(host)) {
            respond(503);
            return;
        }
        const url = new URL(request.url ?? "/", "http://store");
        const lease = Number(url.pathname.split("/").at(-1));
        switch (`${request.method} ${url.pathname.replace(/\/\d+$/, "")}`) {
            case "GET /-/kv-key": {
                const item = this.items.get(url.searchParams.get("key") ?? "");
                respond(item ? 200 : 404, { ...item, at: this.revision });
                return;
            }
            case "GET /-/kv-range": {
                const prefix = url.searchParams.get("prefix") ?? "";
                const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix))
                    .sort((one, other) => one.key < other.key ? -1 : 1);
                respond(200, { items, has_more: false, at: this.revision });
                return;
            }
            case "GET /-/kv-watch": {
                const prefix = url.searchParams.get("prefix") ?? "";
                const after = Number(url.searchParams.get("after"));
                if (after > this.revision) {
                    respond(410);
                    return;
                }
                const found = () =>
                    this.events.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
                const finish = () => {
                    clearTimeout(timer);
                    this.watchers.delete(check);
                    respond(200, { events: found(), at: this.revision });
                };
                const check = () => found().length > 0 && finish();
                const timer = setTimeout(finish, Number(url.searchParams.get("wait_ms")));
                this.watchers.add(check);
                response.on("close", () => {
                    clearTimeout(timer);
                    this.watchers.delete(check);
                });
                check();
                return;
            }
            case "POST /-/kv-txn": {
                const { expected = [], puts = [], remove = [] } = JSON.parse(body);
                const lateMs = this.loseTransaction(host, puts);
                if (lateMs !== undefined) {
                    // A connection on which an answer is lost returns nothing further.
                    setTimeout(() => this.transact(expected, puts, remove, () => undefined), lateMs);
                    return;
                }
                this.transact(expected, puts, remove, respond);
                return;
            }
            case "POST /-/kv-lease": {
                const ttlMs = JSON.parse(body).ttl_ms;
                this.leases.set(++this.lastLease, { ttlMs, endsAt: performance.now() + ttlMs });
                respond(200, { lease: this.lastLease, ttl_ms: ttlMs });
                return;
            }
            case "POST /-/kv-keep": {
                const known = this.leases.get(lease);
                if (known) {
                    known.endsAt = performance.now() + known.ttlMs;
                }
                respond(known ? 200 : 404, known ? { ttl_ms: known.ttlMs } : {});
                return;
            }
            case "DELETE /-/kv-lease-end":
                this.endLease(lease);
                respond(200);
                return;
            default:
                respond(400);
        }
    }

    /** Makes all changes, if the expected keys are at their revisions; 0 means that a key does not exist. */
    transact(expected, puts, remove, respond) {
        if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
            respond(412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) });
            return;
        }
        if (puts.some((put) => put.lease && !this.leases.has(put.lease))) {
            respond(404);
            return;
        }
        puts.forEach((put) => this.write(put.key, put.value, put.lease ?? 0));
        remove.forEach((key) => this.remove(key));
        respond(200, { revision: this.revision });
    }
}
