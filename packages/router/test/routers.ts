import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as standins from "@citronlead/standins";
import * as http from "node:http";
import * as router from "../src/index.js";

const ADDRESS = "127.0.0.31";
const PORTS_PER_HOST = 3;

const FLEET = `
fleet: test
region: test
availabilityZones: [zone-a, zone-b, zone-c]
zoneDelay: 0.5ms
callerDelay: 1ms
profiles:
  counter:
    priority: 0
    firstTokenTarget: 500ms
    betweenTokensTarget: 100ms
    deadline: 8s
    workspaces:
      guild: { tokensPerSecond: 100000, burstTokens: 400000 }
      workshop: { tokensPerSecond: 100000, burstTokens: 400000 }
  reading:
    priority: 2
    firstTokenTarget: 2s
    betweenTokensTarget: 100ms
    deadline: 60s
    modelVersions: { reader: "1" }
pools:
  counter: { kind: service, concurrentCalls: 100 }
  reader:
    kind: model
    decodeSlots: 20
    prefillSurvival: 800ms
    memoryPieces: 1000
    pieceTokens: 64
    cacheBytesPerToken: 160KB
    linkBytesPerSecond: 12GB
    fencing: checked
models:
  reader: { pool: reader, profile: reading, longestPromptTokens: 20000, longestOutputTokens: 20000 }
services:
  - { name: orders, pool: counter, profile: counter, pathPrefix: /orders, methods: [POST], idempotent: false }
  - { name: stock, pool: counter, profile: counter, pathPrefix: /stock, methods: [GET, POST], idempotent: true }
  - { name: notices, pool: counter, profile: counter, pathPrefix: /notices, methods: [GET], idempotent: true, open: true }
`;

/** A response as a caller received it. */
export interface ReceivedResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly text: string;
}

/** A request that a caller sends. */
export interface RequestOptions {
    readonly method?: string;
    readonly path: string;
    readonly body?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly signal?: AbortSignal;
}

/** The fields of a refusal's body that the tests check. */
export interface RefusalBody {
    readonly error: { readonly reason: string; readonly ran: string; readonly retryAfterMs?: number; };
}

/** Routers with a platform stand-in and one plain service, all in this process. */
export class RouterFixture {
    readonly scope = new lifecycle.Scope("fixture");
    readonly key = configuration.generateKey();
    readonly routers: router.Router[] = [];
    platformAddress = "";
    serviceAddress = "";
    keyValue!: platform.KeyValue;
    private current!: configuration.Configuration;
    private modRevision = 0;

    constructor(private readonly portBase: number, private readonly hosts: number) {}

    async start(): Promise<void> {
        const at = (port: number) => ({ address: ADDRESS, port });
        const listening = await standins.startPlatform(this.scope, { ...at(0), weightRateBytesPerSecond: 1e9 });
        this.platformAddress = listening.address;
        this.keyValue = platform.connectKeyValue({ addresses: [listening.address], timeoutMs: 1_000 });
        const service = await standins.startService(this.scope, {
            ...at(0),
            name: "counter-1",
            crash: () => undefined,
        });
        this.serviceAddress = service.address;
        await this.listUpstream("counter-1", service.address);
        const fleet = configuration.parseFleet("fleet", FLEET);
        if (!fleet.valid) {
            throw new Error(JSON.stringify(fleet));
        }
        const keys = [{ id: "first", workspace: "guild", hash: configuration.hashKey(this.key) }];
        await this.applyConfiguration({ revision: 1, fleet: fleet.value, text: FLEET, keys });
        for (let index = 0; index < this.hosts; index++) {
            this.routers.push(await router.startRouter(this.settings(index)));
        }
        await until("all routers ready", async () => {
            const statuses = await Promise.all(this.routers.map((_, index) => this.status(index)));
            return statuses.every((status) => status.settled && status.pools[0]?.upstreams.length === 1);
        });
    }

    async stop(): Promise<void> {
        await Promise.all(this.routers.map((running) => running.stop()));
        await this.scope.close();
    }

    /** Replaces the configuration that was applied before. */
    async applyConfiguration(next: configuration.Configuration): Promise<void> {
        const outcome = await router.swapConfiguration(this.keyValue, next, this.modRevision);
        if (outcome.effect !== decision.Effect.Known || !outcome.value.succeeded) {
            throw new Error(`configuration was not applied: ${JSON.stringify(outcome)}`);
        }
        this.current = next;
        this.modRevision = outcome.value.revision;
    }

    /** Withdraws the key of the fixture. */
    withdrawKey(): Promise<void> {
        return this.applyConfiguration({ ...this.current, revision: this.current.revision + 1, keys: [] });
    }

    async listUpstream(name: string, address: string, pool: string = "counter"): Promise<void> {
        const row = { name, pool, address, availabilityZone: "zone-a", state: "live" };
        await putJson(`${this.platformAddress}/hosts`, row);
    }

    setPlatformFaults(faults: Partial<standins.PlatformFaults>): Promise<void> {
        return putJson(`${this.platformAddress}/standin/faults`, faults);
    }

    setServiceFaults(faults: Partial<standins.ServiceFaults>): Promise<void> {
        return putJson(`${this.serviceAddress}/standin/faults`, faults);
    }

    /** The calls that the plain service ran, as it received them. */
    async serviceRuns(): Promise<
        readonly { readonly path: string; readonly headers: object; readonly body: string; }[]
    > {
        const answer = await (await fetch(`${this.serviceAddress}/standin/runs`)).json() as { runs: []; };
        return answer.runs;
    }

    async status(host: number): Promise<{
        readonly revision: number;
        readonly settled: boolean;
        readonly keysUsable: boolean;
        readonly pools: readonly { readonly upstreams: readonly unknown[]; }[];
    }> {
        const { control } = this.settings(host);
        const answer = await fetch(`http://${control.address}:${control.port}/status`);
        return await answer.json() as Awaited<ReturnType<RouterFixture["status"]>>;
    }

    /** Sends a call to a host, with the fixture's key unless headers override it. Calls onPiece for each chunk received. */
    send(host: number, sent: RequestOptions, onPiece: () => void = () => undefined): Promise<ReceivedResponse> {
        const { callers } = this.settings(host);
        const body = Buffer.from(sent.body ?? "");
        return new Promise((resolve, reject) => {
            const request = http.request({
                host: callers.address,
                port: callers.port,
                path: sent.path,
                method: sent.method ?? "POST",
                headers: definedHeaders({ authorization: `Bearer ${this.key}`, ...sent.headers }, body.length),
                signal: sent.signal,
                agent: false,
            }, (response) => {
                const pieces: Buffer[] = [];
                response.on("data", (piece: Buffer) => {
                    pieces.push(piece);
                    onPiece();
                });
                response.on("error", reject);
                response.on("end", () =>
                    resolve({
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        text: Buffer.concat(pieces).toString("utf8"),
                    }));
            });
            request.on("error", reject);
            request.end(body);
        });
    }

    /** Sends an order with an idempotency key to a host. */
    sendOrder(
        host: number,
        idempotencyKey: string,
        body: string = "{}",
        signal?: AbortSignal,
    ): Promise<ReceivedResponse> {
        return this.send(host, { path: "/orders/new", body, headers: { "idempotency-key": idempotencyKey }, signal });
    }

    private settings(index: number): configuration.RouterSettings {
        const port = this.portBase + index * PORTS_PER_HOST;
        const text = `
host: host-${index}
availabilityZone: zone-${"abc"[index % 3]}
callers: { address: ${ADDRESS}, port: ${port} }
peers: { address: ${ADDRESS}, port: ${port + 1} }
control: { address: ${ADDRESS}, port: ${port + 2} }
platform: { keyValue: ["${this.platformAddress}"], hostList: "${this.platformAddress}", hostListPeriod: 100ms }
stop: { noticePeriod: 1ms, drainPeriod: 5s }
log: { level: silent }
`;
        const parsed = configuration.parseRouterSettings("settings", text);
        if (!parsed.valid) {
            throw new Error(JSON.stringify(parsed));
        }
        return parsed.value;
    }
}

/** Leaves out headers without a value. */
function definedHeaders(headers: http.OutgoingHttpHeaders, length: number): http.OutgoingHttpHeaders {
    const defined = Object.entries(headers).filter(([, value]) => value !== undefined);
    return { ...Object.fromEntries(defined), "content-length": length };
}

async function putJson(url: string, body: object): Promise<void> {
    await (await fetch(url, { method: "PUT", body: JSON.stringify(body) })).text();
}

/** Waits until a condition holds; throws after 30 seconds. */
export async function until(what: string, condition: () => Promise<boolean> | boolean): Promise<void> {
    const endsAt = lifecycle.monotonicClock() + 30_000;
    while (!await condition()) {
        if (lifecycle.monotonicClock() > endsAt) {
            throw new Error(`timed out waiting for: ${what}`);
        }
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}

/** The refusal that a caller received. */
export function refusal(received: ReceivedResponse): RefusalBody["error"] {
    return (JSON.parse(received.text) as RefusalBody).error;
}
