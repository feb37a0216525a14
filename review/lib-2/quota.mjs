// A load of tenants that ask for more than their quota, and what of it ran, in sliding windows.
import http from "node:http";
import * as engines from "./engine.mjs";
import * as fleet from "./fleet.mjs";

export const RATE_PER_S = 66_935;
export const BURST = 66_935;
const WINDOW_S = 8;
const OVERSHOOT = 0.1;
const SLACK = 190_000;
/** What may run in a window: (rate x window + burst) x (1 + overshoot) + slack. */
export const MOST_TOKENS = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK;
const PROMPT_TOKENS = 19_900;
const OUTPUT_TOKENS = 100;
const TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS;

export const tenantNames = (count) => Array.from({ length: count }, (_, index) => `hule${930 + index}`);
const keyOf = (tenant) => `key-of-${tenant}-0123456789`;

/** Writes the configuration and starts a prefill engine and a decode engine, which serve each request at once. */
export async function openDeployment(store, tenants, record, defer) {
    const runs = [];
    const run = ({ request, response, requestId, named }) => {
        runs.push({ at: performance.now(), tenant: request.headers["x-citronlead-tenant"], requestId });
        response.writeHead(
            200,
            engines.sealed(named, { "Content-Type": "text/event-stream", "X-Citronlead-Weight-Versions": "1" }),
        );
        response.end([1, 2, 3].map((id) => `id: ${id}\ndata: token ${id}\n\n`).join(""));
    };
    for (const [index, stage] of ["prefill", "decode"].entries()) {
        const server = new engines.Server(record, {
            service: "huvo11a",
            address: `${fleet.subnet}.${20 + index}`,
            stage,
            run,
        });
        await server.listen();
        defer(() => server.close());
        store.put(`servers/${server.id}`, server.registration);
    }
    store.put("op/config", {
        version: 7,
        routes: [{
            name: "r-1",
            host: "ficu95.example",
            prefix: "/lohu930/",
            kind: "streaming",
            timeout_ms: 14_000,
            slo_ms: 900,
            priority: 1,
            service: "huvo11a",
            attempts: 1,
            public: false,
            sticky: true,
            resumable: false,
            gap_target_ms: 300,
        }],
        services: [{
            name: "huvo11a",
            health_path: "/health",
            max_conns: 630,
            engine: {
                slots: 128,
                kv_capacity: 53_213,
                kv_token_bytes: 18_432,
                link_mbps: 350_000,
                stride: 11,
                kv_hold_s: 5,
                hold_ms: 2_000,
            },
        }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: tenants.map((name) => ({
            name,
            api_keys: [keyOf(name)],
            priority: 1,
            unit: "tokens",
            plain_tokens: 200,
            rate_per_s: RATE_PER_S,
            burst: BURST,
        })),
    });
    return runs;
}

let lastRequest = 0;

/** One request of a tenant at a host; resolves with its status, 0 without an answer. */
function call(host, agent, tenant) {
    const id = (0x9c41d07b00000000n + BigInt(++lastRequest)).toString(16);
    return new Promise((resolve) => {
        const request = http.request({
            host: host.address,
            port: fleet.FRONT_PORT,
            method: "POST",
            path: "/lohu930/2f",
            agent,
            headers: {
                "Host": "ficu95.example",
                "X-Citronlead-Request-Id": id,
                "X-Citronlead-Model": "m",
                "X-Citronlead-Token-Counts": `${PROMPT_TOKENS},${OUTPUT_TOKENS}`,
                "X-Citronlead-Prompt-Prefix": `5c1e07a2:200,${id}:${PROMPT_TOKENS - 200}`,
                "X-Citronlead-Deadline-Ms": "14000",
                "X-Api-Key": keyOf(tenant),
                "Content-Length": 100,
            },
        }, (response) => {
            response.resume();
            response.on("close", () => resolve(response.statusCode));
        });
        request.on("error", () => resolve(0));
        request.end("p".repeat(100));
    });
}

/** Each tenant asks each host for so many tokens a second, for a time. Returns how many answers had which status, by host. */
export async function load(hosts, tenants, { tokensPerSecond, seconds, isOver = () => false }) {
    const agent = new http.Agent({ keepAlive: true });
    const counts = new Map(hosts.map(({ name }) => [name, {}]));
    const calls = [];
    const gapMs = 1_000 * TOKENS / tokensPerSecond;
    const endsAt = performance.now() + seconds * 1_000;
    await Promise.all(hosts.flatMap((host, place) =>
        tenants.map(async (tenant, index) => {
            const startAt = performance.now() + gapMs * ((index / tenants.length + place / hosts.length) % 1);
            for (let count = 0; !isOver(); count++) {
                const at = startAt + count * gapMs;
                if (at > endsAt) {
                    return;
                }
                await fleet.pause(Math.max(0, at - performance.now()));
                calls.push(
                    call(host, agent, tenant).then((status) => {
                        const byStatus = counts.get(host.name);
                        byStatus[status] = (byStatus[status] ?? 0) + 1;
                    }),
                );
            }
        })
    ));
    await Promise.all(calls);
    agent.destroy();
    return counts;
}

/** The most tokens of each tenant that ran in a window. */
export function mostInWindow(runs, tenants) {
    return tenants.map((tenant) => {
        const times = runs.filter((run) => run.tenant === tenant).map(({ at }) => at).sort((one, other) => one - other);
        let most = 0;
        let first = 0;
        let startsAt = 0;
        times.forEach((at, index) => {
            while (at - times[first] >= WINDOW_S * 1_000) {
                first++;
            }
            if (index - first + 1 > most) {
                most = index - first + 1;
                startsAt = times[first];
            }
        });
        return { tenant, tokens: most * TOKENS, startsAt };
    });
}
