// A small fleet in front of a plain service, and a tenant that asks for more than its limit.
import * as crypto from "node:crypto";
import * as cases from "./case.mjs";
import * as clients from "./client.mjs";
import * as engines from "./engine.mjs";
import * as hosts from "./host.mjs";
import * as stores from "./store.mjs";

export const BOUNDS = { quota_window_s: 8, quota_overshoot: 0.1, quota_slack: 190000 };
export const TENANT = { unit: "tokens", plain_tokens: 5000, rate_per_s: 100000, burst: 100000 };
/** Most that the rule allows in a window. */
export const ALLOWED = (TENANT.rate_per_s * BOUNDS.quota_window_s + TENANT.burst) * (1 + BOUNDS.quota_overshoot)
    + BOUNDS.quota_slack;

/** A name of a tenant that the given address comes first for, if tenants are dealt out to hosts by the highest hash. */
function nameFor(address, addresses) {
    const score = (host, name) => crypto.createHash("sha1").update(`${host}\n${name}`).digest("hex");
    for (let number = 100;; number++) {
        const name = `tenant${number}`;
        const first = [...addresses].sort((one, other) => score(one, name) > score(other, name) ? -1 : 1)[0];
        if (first === address) {
            return name;
        }
    }
}

/** Starts a store, three servers and three hosts, each of which reaches the store at an address of its own. */
export async function startFleet({ note, temporary, hosts: started, others }) {
    const store = new stores.Store(note);
    others.push(store);
    await store.listen();
    const servers = ["i-1", "i-2", "i-3"].map((id) => new engines.PlainServer(id, "orders", store, note));
    others.push(...servers);
    for (const server of servers) {
        await server.listen();
    }
    for (const name of ["edge-1", "edge-2", "edge-3"]) {
        const host = new hosts.Host(name, temporary, await store.listenFor(name), BOUNDS);
        await host.prepare();
        started.push(host);
    }
    const addresses = started.map(({ peerAddress }) => peerAddress);
    const tenant = nameFor(addresses[0], addresses);
    store.put("op/config", JSON.stringify({
        version: 3,
        routes: [{
            name: "r-order", host: "shop.example", prefix: "/order/", kind: "non_idempotent", timeout_ms: 3000,
            slo_ms: 386, priority: 1, service: "orders", attempts: 1, public: false, sticky: false, resumable: false,
        }],
        services: [{ name: "orders", health_path: "/health", max_conns: 110, protocol: "h1", tls: false }],
        limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
        tenants: [{ name: tenant, api_keys: ["key-guild"], priority: 1, ...TENANT }],
    }));
    return { store, servers, tenant };
}

/** Sends the tenant's requests to all hosts alike, for a time. Resolves to the results. */
export async function press(hostList, perSecond, forMs, isOver = () => false) {
    const results = [];
    const CLIENTS_PER_HOST = 8;
    await Promise.all(hostList.flatMap((host) =>
        Array.from({ length: CLIENTS_PER_HOST }, async (_, index) => {
            const caller = new clients.Client(host.front, "shop.example");
            const periodMs = 1000 * CLIENTS_PER_HOST * hostList.length / perSecond;
            const endsAt = performance.now() + forMs;
            await cases.pause(periodMs * index / CLIENTS_PER_HOST);
            while (performance.now() < endsAt && !isOver()) {
                const startedAt = performance.now();
                results.push({ host: host.name, ...await caller.send({ path: "/order/1", key: "key-guild", body: Buffer.from("one") }) });
                await cases.pause(Math.max(1, periodMs - (performance.now() - startedAt)));
            }
            caller.close();
        })
    ));
    return results;
}

/** The most tokens of the tenant that were both sent and run within a window. */
export function mostInWindow(servers, tenant, results) {
    const sentAt = new Map(results.map(({ id, sentAt: at }) => [id, at]));
    const runs = servers.flatMap((server) => server.runs)
        .filter((run) => run.tenant === tenant && sentAt.has(run.id))
        .map(({ id, at }) => ({ sent: sentAt.get(id), at }));
    const windowMs = BOUNDS.quota_window_s * 1000;
    let most = { tokens: 0, from: 0 };
    for (const { sent: from } of runs) {
        const tokens = TENANT.plain_tokens * runs.filter(({ sent, at }) => sent >= from && at <= from + windowMs).length;
        if (tokens > most.tokens) {
            most = { tokens, from };
        }
    }
    return most;
}

/** Notes what was sent, answered and run, second by second. */
export function noteSeconds(note, servers, results, startedAt) {
    const bySecond = new Map();
    const count = (at, what) => {
        const second = Math.floor((at - startedAt) / 1000);
        const counts = bySecond.get(second) ?? {};
        counts[what] = (counts[what] ?? 0) + 1;
        bySecond.set(second, counts);
    };
    results.forEach(({ sentAt, host, status, outcome }) => count(sentAt, `${host} ${status ?? outcome}`));
    servers.flatMap(({ runs }) => runs).forEach(({ at }) => count(at, "run"));
    [...bySecond].sort(([one], [other]) => one - other).forEach(([second, counts]) => note("second", { second, ...counts }));
}
