// Stand-in for the platform's store, by the page on the protocol: one revision counter, leases, watches, transactions.
import http from "node:http";

const LEASE_CHECK_MS = 50;

export class Store {
    revision = 1;
    items = new Map();
    leases = new Map();
    events = [];
    lastLease = 100;
    watchers = new Set();
    /** Called with each call before it is carried out; may return a promise of an answer that replaces the usual one. */
    intercept = undefined;

    constructor(record) {
        this.record = record;
    }

    async listen(address, port) {
        this.server = http.createServer((request, response) => {
            const parts = [];
            request.on("data", (part) => parts.push(part));
            request.on("end", () => {
                const text = Buffer.concat(parts).toString();
                const call = {
                    name: `${request.method} ${request.url.split("?")[0]}`,
                    url: new URL(request.url, "http://store"),
                    body: text === "" ? undefined : JSON.parse(text),
                    from: request.socket.remoteAddress,
                };
                const respond = (status, value = {}) => {
                    if (!response.destroyed) {
                        response.writeHead(status, { "Content-Type": "application/json" });
                        response.end(JSON.stringify(value));
                    }
                };
                const drop = () => request.socket.destroy();
                const carryOut = (answer = respond) => this.serve(call, answer);
                if (this.intercept?.({ call, carryOut, respond, drop }) !== true) {
                    carryOut();
                }
            });
        });
        await new Promise((resolve) => this.server.listen(port, address, resolve));
        this.timer = setInterval(() => this.expireLeases(), LEASE_CHECK_MS);
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Writes a key as the operator and the engines do. */
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
        [...this.watchers].forEach((notify) => notify());
    }

    expireLeases() {
        for (const [id, lease] of this.leases) {
            if (performance.now() > lease.endsAt) {
                this.endLease(id);
            }
        }
    }

    endLease(id) {
        this.leases.delete(id);
        [...this.items.values()].filter(({ lease }) => lease === id).forEach(({ key }) => this.remove(key));
    }

    serve({ name, url, body }, respond) {
        const id = Number(url.pathname.split("/").at(-1));
        switch (name.replace(/\/\d+$/, "")) {
            case "GET /-/kv-key": {
                const item = this.items.get(url.searchParams.get("key"));
                return respond(item ? 200 : 404, { ...item, at: this.revision });
            }
            case "GET /-/kv-range": {
                const prefix = url.searchParams.get("prefix") ?? "";
                const after = url.searchParams.get("after") ?? "";
                const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
                    .sort((one, other) => one.key < other.key ? -1 : 1);
                return respond(200, { items: items.slice(0, 500), has_more: items.length > 500, at: this.revision });
            }
            case "GET /-/kv-watch":
                return this.watch(url.searchParams, respond);
            case "POST /-/kv-txn": {
                const { expected = [], puts = [], remove = [] } = body;
                if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
                    return respond(412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) });
                }
                if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
                    return respond(404);
                }
                puts.forEach(({ key, value, lease = 0 }) => this.write(key, value, lease));
                remove.forEach((key) => this.remove(key));
                return respond(200, { revision: this.revision });
            }
            case "POST /-/kv-lease":
                this.leases.set(++this.lastLease, { ttlMs: body.ttl_ms, endsAt: performance.now() + body.ttl_ms });
                return respond(200, { lease: this.lastLease, ttl_ms: body.ttl_ms });
            case "POST /-/kv-keep": {
                const lease = this.leases.get(id);
                if (lease) {
                    lease.endsAt = performance.now() + lease.ttlMs;
                }
                return respond(lease ? 200 : 404, { ttl_ms: lease?.ttlMs });
            }
            case "DELETE /-/kv-lease-end":
                this.endLease(id);
                return respond(200);
            default:
                return respond(400);
        }
    }

    watch(query, respond) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const found = () => this.events.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
        const finish = () => {
            clearTimeout(timer);
            this.watchers.delete(check);
            respond(200, { events: found(), at: this.revision });
        };
        const check = () => found().length > 0 && finish();
        const timer = setTimeout(finish, Number(query.get("wait_ms") ?? 0));
        this.watchers.add(check);
        check();
    }
}
