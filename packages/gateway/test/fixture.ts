import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as http from "node:http";
import * as net from "node:net";
import * as gateway from "../src/index.js";

/** Headers that only the gateway may set, in the wire format of these tests. */
const SYSTEM_HEADERS: ReadonlySet<string> = new Set([
    "key",
    "time-left",
    "workspace",
    "upstream-id",
    "stage",
    "source",
    "reservation",
]);

const text = (value: string | string[] | undefined) => Array.isArray(value) ? value[0] : value;
const numeric = (value: string | string[] | undefined) => value === undefined ? undefined : Number(value);

/** A wire format for tests, with short names of its own: the gateway does not depend on those of a platform. */
export const wireFormat: gateway.WireFormat = {
    parseRequest: (headers) => ({
        requestId: text(headers["request-id"]),
        key: text(headers["key"]),
        timeoutMs: numeric(headers["patience"]),
        promptTokens: numeric(headers["prompt-tokens"]) ?? 0,
        maxOutputTokens: numeric(headers["output-tokens"]) ?? 0,
        estimatedOutputTokens: undefined,
        lastEventId: text(headers["last-event-id"]),
        resumedRequestId: text(headers["resumes"]),
        sharedPromptParts: text(headers["prompt-parts"])?.split(",").slice(0, -1) ?? [],
    }),
    upstreamHeaders: (callerHeaders, forwarding) => {
        if (callerHeaders.includes("raise-internal-error")) {
            throw new Error("internal error raised by a test");
        }
        const added: [string, string | undefined][] = [
            ["time-left", String(forwarding.timeLeftMs)],
            ["upstream-id", forwarding.expectedUpstream],
            ["workspace", forwarding.workspace],
            ["stage", forwarding.prefillOnly ? "prefill" : undefined],
            ["source", forwarding.prefillSource],
            ["reservation", forwarding.reservation],
            ["last-event-id", forwarding.resumeAfterEventId],
        ];
        const dropped = forwarding.resumeAfterEventId === undefined
            ? SYSTEM_HEADERS
            : new Set([...SYSTEM_HEADERS, "last-event-id"]);
        const headers = gateway.endToEndHeaders(callerHeaders, dropped);
        added.forEach(([name, value]) => value !== undefined && headers.push(name, value));
        return headers;
    },
    parseResponse: (headers) => ({
        requestId: text(headers["request-id"]),
        signed: headers["signature"] !== undefined,
        notRun: headers["not-run"] !== undefined,
        limitPerSecond: numeric(headers["limit"]),
        warmUpLeftMs: numeric(headers["warm-up-left"]),
        leaving: headers["leaving"] === "1",
        retryAfterMs: headers["retry-after"] === undefined ? undefined : 1_000 * Number(headers["retry-after"]),
        unreadableNotices: [],
    }),
    refusalHeaders: (requestId, retryAfterMs) => [
        ...(requestId === undefined ? [] : ["request-id", requestId]),
        ...(retryAfterMs === undefined ? [] : ["retry-after", String(retryAfterMs)]),
    ],
    engineCallHeaders: (expectedUpstream) => ["upstream-id", expectedUpstream],
    parsePrefillHandle: (body) => (body as { handle?: string; } | undefined)?.handle,
    prefillSource: (address, handle) => `${address}/${handle}`,
    reserveCall: (tokens, timeToLiveMs) => ({ method: "POST", path: "/reserve", body: { tokens, timeToLiveMs } }),
    parseReservationId: (body) => (body as { id?: string; } | undefined)?.id,
    releaseReservationCall: (reservation) => ({ method: "DELETE", path: `/reserve/${reservation}`, body: undefined }),
    stageOrderCall: (order) => ({ method: "POST", path: "/order", body: order }),
    releasePrefillCall: (handle) => ({ method: "DELETE", path: `/prefill/${handle}`, body: undefined }),
    engineStatePath: "/state",
    readinessPath: "/ready",
};

/** A request as received by an upstream. */
export interface Received {
    readonly method: string;
    readonly path: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
}

/** How a stand-in responds to a request. */
export type Behaviour = (received: Received, response: http.ServerResponse, request: http.IncomingMessage) => void;

/** A fake upstream with configurable behaviour that records the requests it receives. */
export interface StandIn {
    upstream: routing.Upstream;
    readonly received: Received[];
    behave: Behaviour;
    /** Closes its port and its connections, as a crash does. */
    readonly stop: () => Promise<void>;
}

/** A registered upstream of a plain service. */
export function makeUpstream(id: string, change: Partial<routing.Upstream> = {}): routing.Upstream {
    return {
        id,
        service: "counter",
        address: "127.0.0.1:9",
        availabilityZone: "a",
        state: routing.UpstreamState.Ready,
        slots: 6,
        stage: undefined,
        startedAt: 1,
        warmUpLeftMs: 0,
        softwareVersion: "v1",
        ...change,
    };
}

/** Sends a signed response. */
export function signed(response: http.ServerResponse, received: Received, body: string, status = 200): void {
    response.writeHead(status, { "request-id": text(received.headers["request-id"]) ?? "", "signature": "s" });
    response.end(body);
}

let reservationIds = 0;

/** An id that no other reservation has. */
export function makeReservationId(): string {
    return `reservation-${++reservationIds}`;
}

/** Body of the answer that grants a reservation. */
export function grantReservation(id = makeReservationId()): string {
    return JSON.stringify({ id });
}

/** How an engine responds that grants each reservation, and runs requests as given. */
export function engineThatRuns(run: Behaviour): Behaviour {
    return (received, response, request) =>
        received.path === "/reserve" || received.path === "/state" || received.method === "DELETE"
            ? void response.end(grantReservation())
            : run(received, response, request);
}

/** The gateway under test with its registry and stand-ins. */
export class Fixture {
    readonly scope = new lifecycle.Scope("test");
    readonly standIns: StandIn[] = [];
    configuration: routing.RoutingConfiguration | undefined;
    /** What the store has of the software versions, and of the streams that began at them. */
    versions: gateway.StoredVersions | undefined;
    readonly streams = new Map<string, string>();
    /** Number of times that the gateway has asked for the duty of ordering stages. */
    dutyCalls = 0;
    /** Addresses of other hosts. */
    hosts: string[] = [];
    /** Availability zones of other hosts. */
    readonly hostZones = new Map<string, string>();
    /** The emptied zones in the store; another revision with each change. */
    evacuations: routing.EvacuationListing | undefined;
    /** Region of each availability zone. */
    readonly regions = new Map<string, string>();
    /** Retries that the fleet may make. */
    retries = { ratio: 0.2, extra: 100, windowMs: 10_000 };
    private started: gateway.Gateway | undefined;

    constructor(private readonly portOffset: number) {}

    /** Starts a stand-in that responds with its id until its behaviour is changed. */
    async addStandIn(id: string, change: Partial<routing.Upstream> = {}): Promise<StandIn> {
        const server = http.createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => {
                const received: Received = {
                    method: request.method ?? "",
                    path: request.url ?? "",
                    headers: request.headers,
                    body: Buffer.concat(chunks).toString("utf8"),
                };
                standIn.received.push(received);
                // Upstreams repeat the id of a request in whatever they respond.
                const requestId = text(request.headers["request-id"]);
                if (requestId !== undefined) {
                    response.setHeader("request-id", requestId);
                }
                standIn.behave(received, response, request);
            });
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const stop = async () => {
            server.close();
            server.closeAllConnections();
        };
        this.scope.defer(stop);
        const { port } = server.address() as net.AddressInfo;
        const standIn: StandIn = {
            upstream: makeUpstream(id, { address: `127.0.0.1:${port}`, ...change }),
            received: [],
            stop,
            behave: (received, response) => signed(response, received, id),
        };
        this.standIns.push(standIn);
        return standIn;
    }

    /** Starts the gateway and waits until it is ready. */
    async start(configuration: routing.RoutingConfiguration): Promise<void> {
        this.configuration = configuration;
        const registry: gateway.Registry = {
            storeEra: () => 1,
            waitForConfiguration: async () => {
                await lifecycle.pause(this.scope, 10);
                return decision.knownEffect(this.configuration);
            },
            evacuations: () => this.evacuations,
            readConfiguration: async () => decision.knownEffect(this.configuration),
            listUpstreams: async () =>
                decision.knownEffect({ upstreams: this.standIns.map(({ upstream }) => upstream), era: 1, revision: 1 }),
            holdDuty: async () => {
                this.dutyCalls++;
                return decision.knownEffect(undefined);
            },
            registerHost: async () => decision.knownEffect(undefined),
            unregisterHost: async () => decision.knownEffect(undefined),
            listFleet: async () =>
                decision.knownEffect({ hosts: this.hosts, hostZones: this.hostZones, barred: [], versions: new Map() }),
            readVersions: async () => decision.knownEffect(this.versions),
            replaceVersions: async (_, history) =>
                decision.knownEffect(this.versions = { history, revision: (this.versions?.revision ?? 0) + 1 }),
            recordStreams: async (records) => {
                records.forEach(({ requestId, softwareVersion }) => this.streams.set(requestId, softwareVersion));
                return decision.knownEffect(undefined);
            },
            readStreamVersion: async (requestId) => decision.knownEffect(this.streams.get(requestId)),
            saveBarred: async () => decision.knownEffect(undefined),
            removeBarred: async () => decision.knownEffect(undefined),
        };
        this.started = await gateway.startGateway({
            settings: this.settings,
            wireFormat,
            makeRegistry: () => registry,
            random: () => 0.5,
        });
        while ((await this.get(1, "/ready")).status !== 200) {
            await lifecycle.pause(this.scope, 10);
        }
    }

    /** The settings that the gateway starts with. */
    get settings(): gateway.GatewaySettings {
        const port = testing.testPortBase(this.portOffset);
        const listen = (offset: number) => ({ address: "127.0.0.1", port: port + offset });
        return {
            host: "host-1",
            availabilityZone: "a",
            callers: listen(0),
            readiness: listen(1),
            metrics: { ...listen(2), path: "/metrics" },
            peers: listen(3),
            stopPeriodMs: 3_000,
            quotaTolerance: 0,
            quotaWindowMs: 8_000,
            warmUpTolerance: { factor: 1.5, slack: 5 },
            freshness: { listingPeriodMs: 1_000, configurationWatchMs: 2_000 },
            regions: this.regions,
            retries: this.retries,
            machine: { memoryBytes: 200 * 1_048_576, descriptors: 4_096 },
        };
    }

    /** The gateway under test, once it is started. */
    get gateway(): gateway.Gateway {
        return this.started as gateway.Gateway;
    }

    /** Stops the gateway gracefully. */
    async stop(): Promise<void> {
        await this.started?.stop();
    }

    /** Sends a GET request to a port of the gateway, given by its offset. */
    get(portOffset: number, path: string): Promise<ReceivedResponse> {
        return call({ port: testing.testPortBase(this.portOffset) + portOffset, path });
    }

    /** Sends a request as a caller. */
    send(request: Partial<CallerRequest> = {}): Promise<ReceivedResponse> {
        return call({
            port: testing.testPortBase(this.portOffset),
            path: "/book/1",
            ...request,
            headers: { "host": "shop.example", "request-id": "r-1", "key": "key-1", ...request.headers },
        });
    }

    /** Stops the gateway and releases all resources. */
    async close(): Promise<void> {
        await this.stop();
        await this.scope.close();
    }
}

/** A request of a caller. */
export interface CallerRequest {
    readonly port: number;
    readonly path: string;
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    readonly agent?: http.Agent;
    /** Disconnects after this time if the response is not complete. */
    readonly disconnectAfterMs?: number;
}

/** A response as received by a caller. Status 0 means that the connection closed before a response. */
export interface ReceivedResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** Whether the body is complete by its framing. */
    readonly complete: boolean;
    readonly tookMs: number;
}

function call(request: CallerRequest): Promise<ReceivedResponse> {
    const startedAt = lifecycle.monotonicClock();
    return new Promise((resolve) => {
        const finish = (received: Omit<ReceivedResponse, "tookMs">) =>
            resolve({ ...received, tookMs: lifecycle.monotonicClock() - startedAt });
        const sent = http.request({ host: "127.0.0.1", method: "GET", ...request });
        sent.on("error", () => finish({ status: 0, headers: {}, body: "", complete: false }));
        sent.on("response", (response) => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => undefined);
            response.on("close", () =>
                finish({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString("utf8"),
                    complete: response.complete,
                }));
        });
        if (request.disconnectAfterMs !== undefined) {
            setTimeout(() => sent.destroy(), request.disconnectAfterMs);
        }
        sent.end(request.body);
    });
}

/** A configuration with a route for each kind and one workspace. */
export function makeConfiguration(change: Partial<routing.RoutingConfiguration> = {}): routing.RoutingConfiguration {
    const route = (name: string, kind: routing.RouteKind, more: Partial<routing.Route> = {}): routing.Route => ({
        name,
        hostName: "shop.example",
        pathPrefix: `/${name}/`,
        kind,
        timeoutMs: 1_000,
        latencyTargetMs: 200,
        eventGapTargetMs: undefined,
        priority: 1,
        targets: [{ service: "counter", weight: 1 }],
        maxAttempts: 2,
        allowsAnonymous: false,
        generative: false,
        resumable: false,
        ...more,
    });
    const stream = { targets: [{ service: "model", weight: 1 }], generative: true, timeoutMs: 5_000 };
    const { Idempotent, NonIdempotent, Streaming } = routing.RouteKind;
    return {
        version: 1,
        routes: [
            route("look", Idempotent),
            route("book", NonIdempotent),
            route("write", Streaming, { ...stream, maxAttempts: 1 }),
            route("resume", Streaming, { ...stream, resumable: true }),
        ],
        services: [
            { name: "counter", connectionLimit: 100, healthPath: "/health", engine: undefined },
            {
                name: "model",
                connectionLimit: 100,
                healthPath: "/health",
                engine: {
                    slots: 8,
                    kvCacheTokens: 50_000,
                    maxReservationMs: 2_000,
                    prefillTtlMs: 500,
                    tokensPerEvent: 1,
                },
            },
        ],
        workspaces: [{
            name: "north",
            keys: ["key-1"],
            priority: undefined,
            unit: routing.RateUnit.Tokens,
            defaultCostTokens: 1,
            ratePerSecond: 100_000,
            burst: 100_000,
        }],
        limits: { headerBytes: 4_096, bodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        ...change,
    };
}
