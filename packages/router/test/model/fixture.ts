import * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as standins from "@citronlead/standins";
import * as chai from "chai";
import * as pino from "pino";
import * as callerRequests from "../../src/callers/request.js";
import type * as components from "../../src/components.js";
import type * as contexts from "../../src/context.js";
import * as metrics from "../../src/metrics.js";
import * as quarantines from "../../src/quarantine/shell.js";
import type * as schedulings from "../../src/scheduling/shell.js";
import * as modelServing from "../../src/serving/model.js";
import type * as upstreams from "../../src/upstreams.js";

/** The prompt of every request in these tests. */
export const PROMPT = "Lot 7: fine grain, hardness even over the block. ".repeat(8);
/** The number of tokens in every answer. */
export const OUTPUT_TOKENS = 12;

/** The answer of every engine to the prompt. */
export const ANSWER = Array.from({ length: OUTPUT_TOKENS }, (_, index) => standins.tokenAt(PROMPT, index)).join("");

/** A stand-in engine in this process. Closing its scope kills it. */
export interface TestEngine {
    readonly name: string;
    readonly address: string;
    readonly scope: lifecycle.Scope;
    readonly role: string;
}

/** Starts a stand-in engine in this process. */
export async function startEngine(
    scope: lifecycle.Scope,
    name: string,
    role: string,
    more: Partial<standins.EngineOptions> = {},
): Promise<TestEngine> {
    const engineScope = scope.child(name);
    const listening = await standins.startEngine(engineScope, {
        address: "127.0.0.1",
        port: 0,
        role,
        model: "dossierllm",
        version: "2026-11",
        slots: 4,
        memoryPieces: 1_000,
        pieceTokens: 64,
        prefillTokenMs: 0.2,
        decodeTokenMs: 4,
        survivalMs: 800,
        checksFencing: true,
        crash: () => void engineScope.close(),
        ...more,
    });
    return { name, address: listening.address, scope: engineScope, role };
}

/** Sets the faults that an engine injects. */
export async function setFaults(engine: TestEngine, faults: Partial<standins.EngineFaults>): Promise<void> {
    await fetch(`${engine.address}/standin/faults`, { method: "PUT", body: JSON.stringify(faults) });
}

/** Waits until no running engine holds memory for a request. */
export async function expectMemoryReleased(engines: readonly TestEngine[]): Promise<void> {
    const endsAt = lifecycle.monotonicClock() + 10_000;
    for (const engine of engines.filter((candidate) => !candidate.scope.closed)) {
        for (;;) {
            const answer = await (await fetch(`${engine.address}/engine/held`)).json() as { held: unknown[]; };
            if (answer.held.length === 0) {
                break;
            }
            chai.expect(lifecycle.monotonicClock(), `${engine.name} holds memory`).to.be.below(endsAt);
            await new Promise((resolve) => setTimeout(resolve, 20));
        }
    }
}

/** Makes a context without a platform or peers. */
export function makeContext(
    scope: lifecycle.Scope,
    hostList = "http://127.0.0.1:1",
    host = "host-1",
): contexts.Context {
    const checked = configuration.parseRouterSettings(
        "test.yaml",
        `host: ${host}
availabilityZone: braga-a
callers: { address: 127.0.0.1, port: 0 }
peers: { address: 127.0.0.1, port: 1 }
control: { address: 127.0.0.1, port: 0 }
platform: { keyValue: ["http://127.0.0.1:1"], hostList: "${hostList}", hostListPeriod: 100ms }
`,
    );
    if (!checked.valid) {
        throw new Error("the settings are not valid");
    }
    const agent = platform.makeAgent();
    scope.defer(() => agent.destroy());
    return {
        settings: checked.value,
        incarnation: "first",
        scope,
        clock: lifecycle.monotonicClock,
        log: pino.pino({ level: "silent" }),
        metrics: metrics.makeMetrics(),
        agent,
        control: { agent, watchServer: () => undefined },
    } as unknown as contexts.Context;
}

/** Places each request on the first engine of each role that it does not avoid, and records the placements. */
function placeOnFirstUsable(engines: readonly TestEngine[], placed: string[]): schedulings.Scheduling {
    const asKnownUpstream = (engine: TestEngine) =>
        ({ ...engine, pool: "dossierllm" }) as unknown as upstreams.KnownUpstream;
    return {
        place: async (placementRequest) => {
            const usable = engines.filter((engine) => !placementRequest.avoid.includes(engine.name));
            const prefill = usable.find((engine) => engine.role === "prefill");
            const decode = usable.find((engine) => engine.role === "decode");
            if (!prefill || !decode) {
                return { placed: false, refusal: "shed" as schedulings.PlacementRefusal, retryAfterMs: 1_000 };
            }
            placed.push(`${prefill.name}, ${decode.name}`);
            return {
                placed: true,
                placement: {
                    prefill: asKnownUpstream(prefill),
                    decode: asKnownUpstream(decode),
                    startAfterMs: 0,
                    end: () => undefined,
                },
            };
        },
    };
}

/** A request in flight and what its caller has received. */
export interface ServedRequest {
    readonly texts: string[];
    readonly traceSteps: string[];
    readonly placed: string[];
    readonly outcome: Promise<modelServing.ModelOutcome>;
    readonly abort: () => void;
}

/** Hooks into a request in flight, and replacements for the components around it. */
export interface ServeHooks {
    /** Called for each trace step of the request, such as "prefill-1: prefill done". */
    readonly onTraceStep?: (traceStep: string, served: ServedRequest) => void | Promise<void>;
    /** Called for each token, with the number of tokens that the caller has received. */
    readonly onToken?: (count: number, served: ServedRequest) => void | Promise<void>;
    /** Replaces the default quarantine, which never blocks any content. */
    readonly quarantine?: quarantines.Quarantine;
}

/** A quarantine that never blocks any content. */
const clearQuarantine: quarantines.Quarantine = {
    verdict: () => ({ standing: quarantines.Standing.Clear, remainingMs: 0 }),
    reportDisconnect: async () => undefined,
    reportCompletion: () => undefined,
};

/** Serves one request on the engines, placed by the given scheduling or on the first usable engines. */
export function serve(
    scope: lifecycle.Scope,
    engines: readonly TestEngine[],
    hooks: ServeHooks = {},
    scheduling?: schedulings.Scheduling,
): ServedRequest {
    const abortController = new AbortController();
    const context = makeContext(scope);
    const texts: string[] = [];
    const traceSteps: string[] = [];
    const placed: string[] = [];
    const router = {
        context,
        scheduling: scheduling ?? placeOnFirstUsable(engines, placed),
        quarantine: hooks.quarantine ?? clearQuarantine,
        upstreams: { markDeparting: () => undefined },
    } as unknown as components.RouterComponents;
    const request = {
        requestId: `request-${Math.random()}`,
        arrivedAt: context.clock(),
        deadline: context.clock() + 30_000,
        signal: abortController.signal,
        addTraceStep: (hop: string, decided: string) => {
            const traceStep = `${hop}: ${decided}`;
            traceSteps.push(traceStep);
            void hooks.onTraceStep?.(traceStep, served);
        },
    } as unknown as callerRequests.CallerRequest;
    const modelRequest: modelServing.ModelRequest = {
        pool: "dossierllm",
        workspace: "guild",
        priority: 2,
        prompt: PROMPT,
        promptTokens: standins.countTokens(PROMPT),
        outputTokens: OUTPUT_TOKENS,
        fingerprint: "fingerprint",
        prefixHashes: [],
        firstTokenTargetMs: 5_000,
    };
    const served: ServedRequest = {
        texts,
        traceSteps,
        placed,
        abort: () => abortController.abort(callerRequests.AbortReason.CallerDisconnected),
        outcome: Promise.resolve().then(() =>
            modelServing.serveModel(router, request, modelRequest, async (text) => {
                texts.push(text);
                await hooks.onToken?.(texts.length, served);
            })
        ),
    };
    return served;
}
