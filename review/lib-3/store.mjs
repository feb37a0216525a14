// The platform's metadata store, as PROTOCOL.md describes it: items, ranges, watches, transactions and leases.
import * as http from "node:http";

export class Store {
    revision = 10;
    items = new Map();
    leases = new Map();
    nextLease = 1000;
    changes = [];
    waiting = new Set();
    /** Called with each transaction and its machine before it runs: "run", "lose" (runs, no answer) or { lateMs } (no answer, runs later). */
    onWrite = () => "run";
    /** Called with each call; true if it is turned away with a 503. */
    isTurnedAway = () => false;
    onCall = () => undefined;

    constructor(log = () => undefined) {
        this.log = log;
        this.servers = [];
        this.timer = setInterval(() => this.endLeases(), 20);
    }

    async listen() {
        this.address = await this.listenFor("");
    }

    /** Listens at an address of its own for one machine, so that the store knows whose calls come there. */
    async listenFor(machine) {
        const server = http.createServer((request, response) => {
            this.handle(request, response, machine).catch((error) => {
                this.log("store error", { error: String(error) });
                response.destroy();
            });
        });
        server.on("clientError", (_, socket) => socket.destroy());
        this.servers.push(server);
        await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${server.address().port}`;
    }

    close() {
        clearInterval(this.timer);
        for (const server of this.servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    put(key, value, lease = 0) {
        this.revision++;
        const created = this.items.get(key)?.created ?? this.revision;
        const item = { key, value: Buffer.from(value).toString("base64"), revision: this.revision, created, lease };
        this.items.set(key, item);
        this.changes.push(item);
        this.notify();
    }

    remove(key) {
        if (this.items.delete(key)) {
            this.revision++;
            this.changes.push({ key, revision: this.revision, deleted: true });
            this.notify();
        }
    }

    endLeases() {
        const now = performance.now();
        for (const [id, { endsAt }] of this.leases) {
            if (now >= endsAt) {
                this.endLease(id);
            }
        }
    }

    endLease(id) {
        this.leases.delete(id);
        for (const item of [...this.items.values()]) {
            if (item.lease === id) {
                this.log("lease ended", { lease: id, key: item.key });
                this.remove(item.key);
            }
        }
    }

    notify() {
        [...this.waiting].forEach((wake) => wake());
    }

    async handle(request, response, machine) {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const text = Buffer.concat(chunks).toString();
        const body = text === "" ? {} : JSON.parse(text);
        await new Promise((resolve) => setTimeout(resolve, 4));
        const answer = (status, value) => {
            response.writeHead(status, { "Content-Type": "application/json", "Store-Era": "1" });
            response.end(value === undefined ? "" : JSON.stringify(value));
        };
        const call = { machine, method: request.method, path: url.pathname, body };
        this.onCall(call);
        if (this.isTurnedAway(call)) {
            answer(503, {});
            return;
        }
        const path = url.pathname;
        if (request.method === "GET" && path === "/-/kv-key") {
            const item = this.items.get(url.searchParams.get("key"));
            answer(item ? 200 : 404, { ...item, at: this.revision });
        }
        else if (request.method === "GET" && path === "/-/kv-range") {
            const prefix = url.searchParams.get("prefix") ?? "";
            const after = url.searchParams.get("after") ?? "";
            const items = [...this.items.values()]
                .filter(({ key }) => key.startsWith(prefix) && key > after)
                .sort((one, other) => one.key < other.key ? -1 : 1);
            answer(200, { items, has_more: false, at: this.revision });
        }
        else if (request.method === "GET" && path === "/-/kv-watch") {
            await this.watch(url, request, answer);
        }
        else if (request.method === "POST" && path === "/-/kv-lease") {
            const lease = this.nextLease++;
            this.leases.set(lease, { ttlMs: body.ttl_ms, endsAt: performance.now() + body.ttl_ms });
            answer(200, { lease, ttl_ms: body.ttl_ms });
        }
        else if (request.method === "POST" && path.startsWith("/-/kv-keep/")) {
            const lease = this.leases.get(Number(path.slice("/-/kv-keep/".length)));
            if (lease) {
                lease.endsAt = performance.now() + lease.ttlMs;
            }
            answer(lease ? 200 : 404, lease ? { ttl_ms: lease.ttlMs } : {});
        }
        else if (request.method === "DELETE" && path.startsWith("/-/kv-lease-end/")) {
            this.endLease(Number(path.slice("/-/kv-lease-end/".length)));
            answer(200, {});
        }
        else if (request.method === "POST" && path === "/-/kv-txn") {
            const fate = this.onWrite(body, machine);
            if (fate === "run") {
                const { status, value } = this.write(body);
                answer(status, value);
                return;
            }
            // No answer ever comes on this connection.
            if (fate === "lose") {
                this.write(body);
            }
            else {
                setTimeout(() => {
                    const { status } = this.write(body);
                    this.log("late write", { status, keys: (body.puts ?? []).map(({ key }) => key) });
                }, fate.lateMs);
            }
        }
        else {
            answer(400, {});
        }
    }

    write({ expected = [], puts = [], remove = [] }) {
        const differs = expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision);
        if (differs) {
            const items = expected.map(({ key }) => this.items.get(key)).filter((item) => item !== undefined);
            return { status: 412, value: { items } };
        }
        if (puts.some(({ lease }) => lease && !this.leases.has(lease))) {
            return { status: 404, value: {} };
        }
        puts.forEach(({ key, value, lease }) => this.put(key, Buffer.from(value, "base64"), lease ?? 0));
        remove.forEach((key) => this.remove(key));
        return { status: 200, value: { revision: this.revision } };
    }

    async watch(url, request, answer) {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = Number(url.searchParams.get("after"));
        const endsAt = performance.now() + Number(url.searchParams.get("wait_ms"));
        const found = () => this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
        while (found().length === 0 && performance.now() < endsAt && !request.socket.destroyed) {
            await new Promise((resolve) => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Math.max(1, endsAt - performance.now()));
                this.waiting.add(wake);
            });
        }
        answer(200, { events: found(), at: this.revision });
    }
}
