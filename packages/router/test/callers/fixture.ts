import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as standins from "@citronlead/standins";
import * as http from "node:http";
import * as net from "node:net";
import * as router from "../../src/index.js";

/** A router with stand-ins for the platform and the upstreams, all in this process. Addresses are base URLs. */
export interface Fixture {
    readonly router: router.Router;
    readonly callers: string;
    readonly callersPort: number;
    readonly control: string;
    readonly prefill: string;
    readonly decode: string;
    readonly service: string;
    readonly platform: string;
    /** A valid key of the workspace. */
    readonly key: string;
    readonly keyValue: platform.KeyValue;
}

/** What a caller received. */
export interface ReceivedResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly text: string;
}

/** What a caller sends. */
export interface RequestOptions {
    readonly method?: string;
    readonly body?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly agent?: http.Agent;
}

const ADDRESS = "127.0.0.41";

const FLEET = `
fleet: test
region: test
availabilityZones: [zone-a]
zoneDelay: 0.5ms
callerDelay: 1ms
profiles:
  reading:
    priority: 2
    firstTokenTarget: 2s
    betweenTokensTarget: 60ms
    deadline: 20s
    modelVersions: { reader: "1" }
    workspaces:
      guild: { tokensPerSecond: 1000000, burstTokens: 4000000 }
  counter: { priority: 0, firstTokenTarget: 500ms, betweenTokensTarget: 100ms, deadline: 5s }
pools:
  reader:
    kind: model
    decodeSlots: 20
    prefillSurvival: 800ms
    memoryPieces: 1000
    pieceTokens: 64
    cacheBytesPerToken: 160KB
    linkBytesPerSecond: 12GB
    fencing: checked
  counter: { kind: service, concurrentCalls: 64 }
models:
  reader: { pool: reader, profile: reading, longestPromptTokens: 20000, longestOutputTokens: 20000 }
services:
  - { name: stock, pool: counter, profile: counter, pathPrefix: /stock, methods: [GET, HEAD, POST], idempotent: true }
  - { name: orders, pool: counter, profile: counter, pathPrefix: /orders, methods: [POST], idempotent: false }
  - { name: open, pool: counter, profile: counter, pathPrefix: /open, methods: [GET], idempotent: true, open: true }
`;

/** Starts the router and its stand-ins on consecutive ports from the base, and waits until the router serves. */
export async function startFixture(
    scope: lifecycle.Scope,
    portBase: number,
    moreSettings = "",
): Promise<Fixture> {
    const platformAt = await standins.startPlatform(scope, withAddress(portBase, { weightRateBytesPerSecond: 1e9 }));
    const prefill = await startEngine(scope, platformAt.address, "prefill", portBase + 1);
    const decode = await startEngine(scope, platformAt.address, "decode", portBase + 2);
    const crash = () => undefined;
    const service = await standins.startService(scope, withAddress(portBase + 3, { name: "counter-1", crash }));
    await registerUpstream(platformAt.address, "counter-1", "counter", service.address);
    const keyValue = platform.connectKeyValue({ addresses: [platformAt.address], timeoutMs: 2_000 });
    const key = configuration.generateKey();
    await putConfiguration(keyValue, 1, [key]);
    const settings = configuration.parseRouterSettings(
        "test",
        settingsText(portBase, platformAt.address, moreSettings),
    );
    decision.invariant(settings.valid, () => JSON.stringify(settings));
    const started = await router.startRouter(settings.value);
    scope.defer(() => started.stop());
    const fixture: Fixture = {
        router: started,
        callers: `http://${ADDRESS}:${portBase + 10}`,
        callersPort: portBase + 10,
        control: `http://${ADDRESS}:${portBase + 12}`,
        prefill: prefill.address,
        decode: decode.address,
        service: service.address,
        platform: platformAt.address,
        key,
        keyValue,
    };
    await waitFor("the router to serve", async () => {
        const status = JSON.stringify(await control(fixture, "/status"));
        return status.includes('"role":"prefill"') && status.includes('"role":"decode"')
            && status.includes('"revision":1') && status.includes('"settled":true');
    });
    return fixture;
}

function withAddress<More>(port: number, more: More): More & { readonly address: string; readonly port: number; } {
    return { ...more, address: ADDRESS, port };
}

function settingsText(portBase: number, platformAddress: string, more: string): string {
    return `
host: zone-a-1
availabilityZone: zone-a
callers: { address: ${ADDRESS}, port: ${portBase + 10} }
peers: { address: ${ADDRESS}, port: ${portBase + 11} }
control: { address: ${ADDRESS}, port: ${portBase + 12} }
platform: { keyValue: ["${platformAddress}"], hostList: "${platformAddress}" }
log: { level: silent }
stop: { noticePeriod: 10ms }
${more}`;
}

async function startEngine(
    scope: lifecycle.Scope,
    platformAddress: string,
    role: string,
    port: number,
): Promise<standins.ListeningServer> {
    const listening = await standins.startEngine(
        scope,
        withAddress(port, {
            role,
            model: "reader",
            version: "1",
            slots: 50,
            memoryPieces: 100_000,
            pieceTokens: 64,
            prefillTokenMs: 0.01,
            decodeTokenMs: 2,
            survivalMs: 800,
            checksFencing: true,
            crash: () => undefined,
        }),
    );
    await registerUpstream(platformAddress, `reader-${role}`, "reader", listening.address);
    return listening;
}

/** Adds an upstream to the platform's host list. */
export async function registerUpstream(
    platformAddress: string,
    name: string,
    pool: string,
    address: string,
): Promise<void> {
    const row = { name, pool, address, availabilityZone: "zone-a", state: "live" };
    await send(`${platformAddress}/hosts`, { method: "PUT", body: JSON.stringify(row) });
}

/** Stores a configuration with the keys, replacing any stored one. */
export async function putConfiguration(
    keyValue: platform.KeyValue,
    revision: number,
    keys: readonly string[],
): Promise<void> {
    const fleet = configuration.parseFleet("test", FLEET);
    decision.invariant(fleet.valid, () => JSON.stringify(fleet));
    const records = keys.map((key, index) => ({
        id: `key-${index}`,
        workspace: "guild",
        hash: configuration.hashKey(key),
    }));
    const next = { revision, fleet: fleet.value, text: FLEET, keys: records };
    const read = await keyValue.read(router.CONFIGURATION_KEY);
    const currentRevision = read.effect === decision.Effect.Known ? read.value.entries[0]?.modRevision ?? 0 : 0;
    const written = await router.swapConfiguration(keyValue, next, currentRevision);
    decision.invariant(
        written.effect === decision.Effect.Known && written.value.succeeded,
        "the configuration was not written",
    );
}

/** Sends a request and resolves with the complete response. */
export function send(url: string, sent: RequestOptions = {}): Promise<ReceivedResponse> {
    return new Promise((resolve, reject) => {
        const request = http.request(url, { method: sent.method ?? "GET", headers: sent.headers, agent: sent.agent });
        request.on("error", reject);
        request.on("response", (response) => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", (piece: string) => text += piece);
            response.on("error", reject);
            response.on("end", () => resolve({ status: response.statusCode ?? 0, headers: response.headers, text }));
        });
        request.end(sent.body);
    });
}

/** Sends a request with the fixture's key. */
export function call(fixture: Fixture, path: string, sent: RequestOptions = {}): Promise<ReceivedResponse> {
    const headers = { authorization: `Bearer ${fixture.key}`, ...sent.headers };
    return send(fixture.callers + path, { ...sent, headers });
}

/** Requests a chat completion. */
export function chat(
    fixture: Fixture,
    more: object,
    headers: http.OutgoingHttpHeaders = {},
): Promise<ReceivedResponse> {
    const body = { model: "reader", max_tokens: 4, messages: [{ role: "user", content: "read this" }], ...more };
    return call(fixture, "/v1/chat/completions", { method: "POST", body: JSON.stringify(body), headers });
}

/** Writes raw text to the callers' port. Resolves with everything received once the connection has closed. */
export function sendRaw(fixture: Fixture, pieces: readonly string[], pauseMs = 0): Promise<string> {
    return new Promise((resolve) => {
        let text = "";
        const socket = net.connect(fixture.callersPort, ADDRESS);
        socket.on("data", (piece) => text += piece.toString());
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(text));
        const writeNext = (index: number) => {
            const piece = pieces[index];
            if (piece !== undefined && !socket.destroyed) {
                socket.write(piece, () => setTimeout(() => writeNext(index + 1), pauseMs));
            }
        };
        writeNext(0);
    });
}

/** Reads a page of the control port. */
export async function control(fixture: Fixture, path: string): Promise<unknown> {
    return JSON.parse((await send(fixture.control + path)).text);
}

/** Sets the faults that a stand-in injects. */
export async function setFaults(address: string, faults: object): Promise<void> {
    await send(`${address}/standin/faults`, { method: "PUT", body: JSON.stringify(faults) });
}

/** The number of requests that ended with an outcome, over all workspaces. */
export async function countOutcome(fixture: Fixture, outcome: string): Promise<number> {
    const { text } = await send(`${fixture.control}/metrics`);
    return text.split("\n")
        .filter((line) => line.startsWith("citronlead_requests_total") && line.includes(`outcome="${outcome}"`))
        .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

/** Resolves when no request is open and no engine holds memory for one. Throws after waitFor's limit. */
export async function expectResourcesReleased(fixture: Fixture): Promise<void> {
    await waitFor("all requests to end and all engine memory to be released", async () => {
        const { openRequests } = await control(fixture, "/status") as { openRequests: number; };
        const held = await Promise.all([fixture.prefill, fixture.decode].map(async (engine) => {
            const counts = JSON.parse((await send(`${engine}/standin/counts`)).text) as { holdings: number; };
            return counts.holdings;
        }));
        return openRequests === 0 && held.every((holdings) => holdings === 0);
    });
}

/** Polls until the condition holds. Throws after the time limit. */
export async function waitFor(what: string, condition: () => Promise<boolean>, limitMs = 20_000): Promise<void> {
    const endsAt = lifecycle.monotonicClock() + limitMs;
    while (!await condition()) {
        decision.invariant(lifecycle.monotonicClock() < endsAt, `timed out waiting for ${what}`);
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}
