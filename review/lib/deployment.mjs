// A small deployment as on the sheet of armor-rdv: a model service with prefill and decode engines, a plain service with
// three servers, one workspace without a limit, and hosts of the gateway.
import { Engine } from "./engine.mjs";
import * as fleet from "./fleet.mjs";
import { PlainServer } from "./plain.mjs";
import { Store } from "./store.mjs";

export const HOST_NAME = "shop.example";
export const API_KEY = "key-of-north";
export const MODEL_SERVICE = "redac1";
export const PLAIN_SERVICE = "agenda1";
/** `timeout_ms` of the routes, as in the site file. */
export const STREAM_TIMEOUT_MS = 14_000;
export const PLAIN_TIMEOUT_MS = 800;
/** The caller's deadline for plain requests, as in the site file. */
export const PLAIN_DEADLINE_MS = 1_500;
const HEARTBEAT_MS = 1_200;

const route = (name, kind, service, timeoutMs, aimMs, priority, sticky) => ({
    name: `r-${name}`,
    host: HOST_NAME,
    prefix: `/${name}/`,
    kind,
    timeout_ms: timeoutMs,
    slo_ms: aimMs,
    priority,
    service,
    attempts: kind === "idempotent" ? 2 : 1,
    public: false,
    sticky,
    resumable: false,
    ...(sticky ? { gap_target_ms: 300 } : {}),
});

/** The configuration, as `fleetbench wire` shows one. */
export function makeConfiguration(version = 7, changes = {}) {
    return {
        version,
        routes: [
            route("quote", "streaming", MODEL_SERVICE, STREAM_TIMEOUT_MS, 900, 1, true),
            route("confirm", "non_idempotent", PLAIN_SERVICE, PLAIN_TIMEOUT_MS, 150, 2, false),
            route("check", "idempotent", PLAIN_SERVICE, PLAIN_TIMEOUT_MS, 150, 2, false),
        ],
        services: [
            {
                name: MODEL_SERVICE,
                health_path: "/health",
                max_conns: 630,
                protocol: "h1",
                tls: false,
                engine: {
                    slots: 128,
                    kv_capacity: 53_213,
                    kv_token_bytes: 18_432,
                    link_mbps: 350_000,
                    moves: true,
                    backups: true,
                    stride: 11,
                    most: 12,
                    kv_hold_s: 0.5,
                    switch_s: 6,
                    pin_ms: 4_000,
                    hold_ms: 2_000,
                    models: [{ name: "m" }],
                },
            },
            { name: PLAIN_SERVICE, health_path: "/health", max_conns: 110, protocol: "h1", tls: false },
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{
            name: "north",
            api_keys: [API_KEY],
            priority: 1,
            unit: "tokens",
            plain_tokens: 200,
            rate_per_s: 0,
            burst: 0,
        }],
        ...changes,
    };
}

/** Starts the store, the engines and servers, and the hosts, and waits until the hosts are ready. */
export async function startDeployment(record, temporary, options = {}) {
    const {
        hostCount = 1,
        prefillEngines = 2,
        decodeEngines = 3,
        plainServers = 3,
        configuration = makeConfiguration(),
    } = options;
    const store = new Store();
    /** The upstreams that ran each request, by its id. */
    const runs = new Map();
    const onRun = (requestId, upstream) => {
        runs.set(requestId, [...runs.get(requestId) ?? [], upstream]);
        record.write(`${upstream} runs ${requestId}`);
    };
    const engineOptions = {
        service: MODEL_SERVICE,
        zone: "rennes",
        kvTokens: 53_213,
        controlMs: options.controlMs ?? 4,
        onRun,
        record,
    };
    const engines = [
        ...Array.from(
            { length: prefillEngines },
            (_, index) => new Engine({ ...engineOptions, id: `i-prefill${index}`, stage: "prefill" }),
        ),
        ...Array.from(
            { length: decodeEngines },
            (_, index) => new Engine({ ...engineOptions, id: `i-decode${index}`, stage: "decode" }),
        ),
    ];
    const servers = Array.from({ length: plainServers }, (_, index) =>
        new PlainServer({
            id: `i-plain${index}`,
            service: PLAIN_SERVICE,
            zone: "rennes",
            workMs: () => 20 + Math.random() * 40,
            onRun,
        }));
    const upstreams = [...engines, ...servers];
    await Promise.all(upstreams.map((upstream) => upstream.listen()));
    const register = (upstream) => upstream.down || store.put(`servers/${upstream.id}`, upstream.registration);
    upstreams.forEach(register);
    setInterval(() => upstreams.forEach(register), HEARTBEAT_MS);
    store.put("op/config", configuration);
    const addresses = fleet.makeLoopbackAddresses(hostCount);
    const ports = await fleet.chooseHostPorts(addresses);
    const hosts = [];
    for (const [index, ip] of addresses.entries()) {
        const name = `edge-rennes-${index + 1}`;
        hosts.push(new fleet.Host(name, ip, ports, temporary, await store.listenFor(name)));
    }
    hosts.forEach((host) => host.start());
    await Promise.all(hosts.map((host) => host.waitUntilReady()));
    record.write(`${hostCount} hosts are ready`);
    return { store, register, hosts, engines, decoders: engines.slice(prefillEngines), servers, runs };
}
