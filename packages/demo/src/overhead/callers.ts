import * as upstream from "@citronlead/upstream";
import * as http from "node:http";
import type * as fleets from "../fleet.js";

/** Addresses of the measured fleet, and the key for requests to it. */
export interface Target {
    readonly router: string;
    readonly control: string;
    readonly prefill: string;
    readonly decode: string;
    readonly service: string;
    readonly key: string;
    readonly agent: http.Agent;
    /** The time between the tokens of a stream, in milliseconds. */
    readonly tokenPeriodMs: number;
}

/** Timing of a completion. */
export interface CompletionTiming {
    readonly firstTokenMs: number;
    readonly durationMs: number;
}

const TIMEOUT_MS = 60_000;
const SILENCE_MS = 10_000;
const END_OF_EVENT = "\n\n";

let requestCount = 0;

/** Creates the target for a fleet with one router. */
export function makeTarget(fleet: fleets.RunningFleet, key: string): Target {
    return {
        router: fleet.routers[0]?.callerAddress ?? "",
        control: fleet.routers[0]?.controlAddress ?? "",
        prefill: fleet.prefillEngines[0]?.address ?? "",
        decode: fleet.decodeEngines[0]?.address ?? "",
        service: fleet.services[0]?.address ?? "",
        key,
        agent: new http.Agent({ keepAlive: true, maxSockets: Infinity }),
        tokenPeriodMs: 0,
    };
}

/** Waits for a time in milliseconds. */
export function wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Requests a completion from the engines directly, with the same calls as the router. */
export async function completeDirectly(
    target: Target,
    prompt: string,
    outputTokens: number,
): Promise<CompletionTiming> {
    const startedAt = performance.now();
    const attempt = { requestId: `direct-${requestCount++}`, attempt: 0, holder: "overhead" };
    const [prefill, decode] = [target.prefill, target.decode].map((address) => ({
        address,
        agent: target.agent,
        timeoutMs: TIMEOUT_MS,
    }));
    if (!prefill || !decode) {
        throw new Error("the target has no prefill or decode engine");
    }
    const prefilled = await upstream.prefill(prefill, { ...attempt, prompt, priority: 0 });
    if (prefilled.result !== upstream.CallResult.Done) {
        throw new Error(`prefill failed: ${prefilled.result}`);
    }
    const source = { source: prefill.address, handle: prefilled.value.handle };
    await upstream.importCache(decode, { ...attempt, ...source });
    let firstTokenMs = Number.NaN;
    const take = (piece: upstream.StreamEvent) => {
        firstTokenMs = Number.isNaN(firstTokenMs) ? performance.now() - startedAt : firstTokenMs;
        return piece.kind === upstream.StreamEventKind.End ? upstream.Continue.No : upstream.Continue.Yes;
    };
    const decodeRequest = { ...attempt, offset: 0, outputTokens, priority: 0 };
    await upstream.decode(decode, decodeRequest, { idleTimeoutMs: SILENCE_MS, onEvent: take });
    const durationMs = performance.now() - startedAt;
    await Promise.all([prefill, decode].map((engine) => upstream.cancel(engine, attempt)));
    return { firstTokenMs, durationMs };
}

/** Requests a streamed completion through the router. Rejects if the answer is incomplete. */
export function complete(
    target: Target,
    prompt: string,
    outputTokens: number,
    onToken: () => void = () => undefined,
): Promise<CompletionTiming> {
    const startedAt = performance.now();
    return new Promise((resolve, reject) => {
        const request = http.request(`${target.router}/v1/completions`, {
            method: "POST",
            agent: target.agent,
            headers: { authorization: `Bearer ${target.key}` },
        });
        request.on("error", reject);
        request.on("response", (response) => {
            let firstTokenMs = Number.NaN;
            let lastChunk = "";
            response.setEncoding("latin1");
            response.on("data", (text: string) => {
                firstTokenMs = Number.isNaN(firstTokenMs) ? performance.now() - startedAt : firstTokenMs;
                lastChunk = text;
                for (let at = text.indexOf(END_OF_EVENT); at >= 0; at = text.indexOf(END_OF_EVENT, at + 2)) {
                    onToken();
                }
            });
            response.on("error", reject);
            response.on("end", () => {
                if (response.statusCode === 200 && lastChunk.endsWith(`data: [DONE]${END_OF_EVENT}`)) {
                    resolve({ firstTokenMs, durationMs: performance.now() - startedAt });
                }
                else {
                    reject(new Error(`incomplete answer with status ${response.statusCode}: ${lastChunk}`));
                }
            });
        });
        request.end(JSON.stringify({ model: "dossierllm", prompt, max_tokens: outputTokens, stream: true }));
    });
}

/** Calls the plain service directly. Returns the duration in milliseconds. */
export function callDirectly(target: Target): Promise<number> {
    return get(`${target.service}/stock/lot-7`, target, {});
}

/** Calls the plain service through the router. Returns the duration in milliseconds. */
export function call(target: Target): Promise<number> {
    return get(`${target.router}/stock/lot-7`, target, { authorization: `Bearer ${target.key}` });
}

function get(url: string, target: Target, headers: http.OutgoingHttpHeaders): Promise<number> {
    const startedAt = performance.now();
    return new Promise((resolve, reject) => {
        const request = http.get(url, { agent: target.agent, headers }, (response) => {
            response.resume();
            response.on("error", reject);
            response.on("end", () => resolve(performance.now() - startedAt));
        });
        request.on("error", reject);
    });
}
