import * as upstream from "@citronlead/upstream";
import * as http from "node:http";
import type * as fleets from "./fleet.js";

/** The fleet that is measured. */
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

/** What one completion took. */
export interface Taken {
    readonly firstTokenMs: number;
    readonly durationMs: number;
}

const TIMEOUT_MS = 60_000;
const SILENCE_MS = 10_000;
const END_OF_EVENT = "\n\n";

let requestCount = 0;

/** Picks the addresses of a fleet with one router. */
export function makeTarget(fleet: fleets.RunningFleet, key: string): Target {
    return {
        router: fleet.routers[0]?.callers ?? "",
        control: fleet.routers[0]?.control ?? "",
        prefill: fleet.prefillEngines[0]?.address ?? "",
        decode: fleet.decodeEngines[0]?.address ?? "",
        service: fleet.services[0]?.address ?? "",
        key,
        agent: new http.Agent({ keepAlive: true, maxSockets: Infinity }),
        tokenPeriodMs: 0,
    };
}

/** Waits for so many milliseconds. */
export function wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Asks the engines for a completion as the router does, without the router. */
export async function completeDirectly(target: Target, prompt: string, outputTokens: number): Promise<Taken> {
    const startedAt = performance.now();
    const attempt = { requestId: `direct-${requestCount++}`, attempt: 0, holder: "overhead" };
    const [prefill, decode] = [target.prefill, target.decode].map((address) => ({
        address,
        agent: target.agent,
        timeoutMs: TIMEOUT_MS,
    }));
    if (!prefill || !decode) {
        throw new Error("no engine");
    }
    const prefilled = await upstream.prefill(prefill, { ...attempt, prompt, priority: 0 });
    if (prefilled.result !== upstream.CallResult.Done) {
        throw new Error(`prefill ${prefilled.result}`);
    }
    const source = { source: prefill.address, handle: prefilled.value.handle };
    await upstream.importCache(decode, { ...attempt, ...source });
    let firstTokenMs = Number.NaN;
    const take = (piece: upstream.Piece) => {
        firstTokenMs = Number.isNaN(firstTokenMs) ? performance.now() - startedAt : firstTokenMs;
        return piece.kind === upstream.PieceKind.End ? upstream.Continue.No : upstream.Continue.Yes;
    };
    const wanted = { ...attempt, offset: 0, outputTokens, priority: 0 };
    await upstream.decode(decode, wanted, { silenceMs: SILENCE_MS, take });
    const durationMs = performance.now() - startedAt;
    await Promise.all([prefill, decode].map((engine) => upstream.cancel(engine, attempt)));
    return { firstTokenMs, durationMs };
}

/** Asks the router for a streamed completion. */
export function complete(
    target: Target,
    prompt: string,
    outputTokens: number,
    onToken: () => void = () => undefined,
): Promise<Taken> {
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
            let last = "";
            response.setEncoding("latin1");
            response.on("data", (text: string) => {
                firstTokenMs = Number.isNaN(firstTokenMs) ? performance.now() - startedAt : firstTokenMs;
                last = text;
                for (let at = text.indexOf(END_OF_EVENT); at >= 0; at = text.indexOf(END_OF_EVENT, at + 2)) {
                    onToken();
                }
            });
            response.on("error", reject);
            response.on("end", () => {
                if (response.statusCode === 200 && last.endsWith(`data: [DONE]${END_OF_EVENT}`)) {
                    resolve({ firstTokenMs, durationMs: performance.now() - startedAt });
                }
                else {
                    reject(new Error(`status ${response.statusCode}: ${last}`));
                }
            });
        });
        request.end(JSON.stringify({ model: "dossierllm", prompt, max_tokens: outputTokens, stream: true }));
    });
}

/** Calls the plain service without the router. Returns the time that it took, in milliseconds. */
export function callDirectly(target: Target): Promise<number> {
    return get(`${target.service}/stock/lot-7`, target, {});
}

/** Calls the plain service through the router. Returns the time that it took, in milliseconds. */
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
