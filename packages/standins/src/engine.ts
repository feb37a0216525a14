import * as lifecycle from "@citronlead/lifecycle";
import * as crypto from "node:crypto";
import * as memory from "./enginememory.js";
import * as exchange from "./exchange.js";

/** How an engine misbehaves; set with PUT /standin/faults, each field on its own. */
export interface EngineFaults {
    /** Times are longer by this factor. */
    slowdown: number;
    /** Prompts that contain this text stop the process; empty for none. */
    crashMark: string;
    /** Answers nothing, but keeps connections open. */
    frozen: boolean;
    /** Streams break after so many tokens; 0 for never. */
    cutAfterTokens: number;
    /** Every second token is sent twice. */
    repeatTokens: boolean;
    /** Streams carry text that is no event. */
    garbage: boolean;
    /** Streams go on beyond the tokens that were asked for. */
    overlong: boolean;
    /** Takes no new work. */
    departing: boolean;
}

/** What kind of engine to be. */
export interface EngineOptions {
    readonly address: string;
    readonly port: number;
    readonly role: string;
    readonly model: string;
    readonly version: string;
    readonly slots: number;
    readonly memoryPieces: number;
    readonly pieceTokens: number;
    /** Time of the prefill of one token, in milliseconds. */
    readonly prefillTokenMs: number;
    /** Time between two tokens of a stream, in milliseconds. */
    readonly decodeTokenMs: number;
    readonly survivalMs: number;
    readonly checksFencing: boolean;
    /** Stops the process, as a crash does. */
    readonly crash: () => void;
}

const EXPIRY_PERIOD_MS = 20;
const RETRY_AFTER_MS = 100;
const OVERLONG_TOKENS = 100;

interface AttemptBody {
    readonly requestId: string;
    readonly attempt: number;
    readonly holder: string;
}

interface PrefillBody extends AttemptBody {
    readonly prompt: string;
}

interface ImportBody extends AttemptBody {
    readonly source: string;
    readonly handle: string;
}

interface DecodeBody extends AttemptBody {
    readonly offset: number;
    readonly outputTokens: number;
}

interface OrderBody {
    readonly kind: string;
    readonly model: string;
    readonly version: string;
    readonly role?: string;
    readonly fencing: number;
    readonly orderId: string;
}

/** One engine: what it holds, what it was told, how it misbehaves. */
interface Engine {
    readonly scope: lifecycle.Lifecycle;
    readonly options: EngineOptions;
    readonly held: memory.EngineMemory;
    readonly faults: EngineFaults;
    readonly incarnation: string;
    readonly orders: OrderBody[];
    role: string;
    version: string;
    running: number;
    queuedTokens: number;
    highestFencing: number;
    reportSequence: number;
    prefills: number;
    /** Prefills run one after another: the end of the last one, in milliseconds. */
    busyUntil: number;
}

/** Starts an engine's stand-in. */
export async function startEngine(scope: lifecycle.Lifecycle, options: EngineOptions): Promise<exchange.Listening> {
    const engine: Engine = {
        scope,
        options,
        held: new memory.EngineMemory(options.memoryPieces),
        faults: {
            slowdown: 1,
            crashMark: "",
            frozen: false,
            cutAfterTokens: 0,
            repeatTokens: false,
            garbage: false,
            overlong: false,
            departing: false,
        },
        incarnation: crypto.randomUUID(),
        orders: [],
        role: options.role,
        version: options.version,
        running: 0,
        queuedTokens: 0,
        highestFencing: 0,
        reportSequence: 0,
        prefills: 0,
        busyUntil: 0,
    };
    lifecycle.every(scope, EXPIRY_PERIOD_MS, () => engine.held.expire(lifecycle.monotonicClock()));
    return exchange.serve(scope, options, (call) => answer(engine, call));
}

async function answer(engine: Engine, call: exchange.Exchange): Promise<void> {
    if (call.path === "/standin/faults") {
        Object.assign(engine.faults, exchange.readJson<Partial<EngineFaults>>(call));
        exchange.sendJson(call, 200, engine.faults);
        return;
    }
    if (call.path === "/standin/counts") {
        exchange.sendJson(call, 200, {
            prefills: engine.prefills,
            orders: engine.orders,
            holdings: engine.held.holdings.size,
        });
        return;
    }
    if (engine.faults.frozen) {
        return;
    }
    const handler = HANDLERS[call.path] ?? answerExport;
    await handler(engine, call);
}

const HANDLERS: Readonly<Record<string, (engine: Engine, call: exchange.Exchange) => void | Promise<void>>> = {
    "/engine/prefill": answerPrefill,
    "/engine/import": answerImport,
    "/engine/decode": answerDecode,
    "/engine/cancel": (engine, call) => {
        const body = exchange.readJson<AttemptBody>(call);
        engine.held.cancel(body.requestId, body.attempt, lifecycle.monotonicClock());
        exchange.sendJson(call, 200, {});
    },
    "/engine/release": (engine, call) => {
        engine.held.release(exchange.readJson<{ holders: string[]; }>(call).holders);
        exchange.sendJson(call, 200, {});
    },
    "/engine/load": (engine, call) => exchange.sendJson(call, 200, loadReport(engine)),
    "/engine/held": (engine, call) => exchange.sendJson(call, 200, heldReport(engine)),
    "/engine/orders": answerOrder,
};

function refuse(call: exchange.Exchange, status: number, refusal: string): void {
    exchange.sendJson(call, status, { refusal, retryAfterMs: RETRY_AFTER_MS });
}

function loadReport(engine: Engine): object {
    return {
        incarnation: engine.incarnation,
        sequence: engine.reportSequence++,
        role: engine.role,
        model: engine.options.model,
        version: engine.version,
        slots: engine.options.slots,
        running: engine.running,
        queuedTokens: engine.queuedTokens,
        memoryPieces: engine.options.memoryPieces,
        heldPieces: engine.held.taken,
        departing: engine.faults.departing,
    };
}

function heldReport(engine: Engine): object {
    const now = lifecycle.monotonicClock();
    const held = [...engine.held.holdings.values()].map((holding) => ({
        requestId: holding.requestId,
        attempt: holding.attempt,
        holder: holding.holder,
        pieces: holding.pieces,
        ageMs: now - holding.since,
    }));
    return { incarnation: engine.incarnation, held };
}

function crashIfMarked(engine: Engine, prompt: string): void {
    if (engine.faults.crashMark !== "" && prompt.includes(engine.faults.crashMark)) {
        engine.options.crash();
    }
}

async function answerPrefill(engine: Engine, call: exchange.Exchange): Promise<void> {
    const body = exchange.readJson<PrefillBody>(call);
    if (engine.faults.departing) {
        return refuse(call, 503, "departing");
    }
    crashIfMarked(engine, body.prompt);
    const promptTokens = memory.countTokens(body.prompt);
    await waitForPrefill(engine, promptTokens);
    if (engine.held.isCancelled(body.requestId, body.attempt)) {
        return refuse(call, 409, "cancelled");
    }
    engine.prefills++;
    const holding = hold(engine, body, body.prompt, promptTokens, engine.options.survivalMs);
    if (!holding) {
        return refuse(call, 503, "busy");
    }
    exchange.sendJson(call, 200, {
        handle: holding.handle,
        promptTokens,
        cachedTokens: 0,
        survivalMs: engine.options.survivalMs,
    });
}

async function waitForPrefill(engine: Engine, promptTokens: number): Promise<void> {
    const now = lifecycle.monotonicClock();
    const duration = promptTokens * engine.options.prefillTokenMs * engine.faults.slowdown;
    engine.busyUntil = Math.max(now, engine.busyUntil) + duration;
    engine.queuedTokens += promptTokens;
    await lifecycle.pause(engine.scope, engine.busyUntil - now);
    engine.queuedTokens -= promptTokens;
}

function hold(
    engine: Engine,
    body: AttemptBody,
    prompt: string,
    promptTokens: number,
    survivalMs: number,
): memory.Holding | undefined {
    const now = lifecycle.monotonicClock();
    const former = engine.held.find(body.requestId, body.attempt);
    if (former) {
        return former;
    }
    const holding: memory.Holding = {
        requestId: body.requestId,
        attempt: body.attempt,
        holder: body.holder,
        handle: crypto.randomUUID(),
        prompt,
        promptTokens,
        pieces: Math.ceil(promptTokens / engine.options.pieceTokens),
        since: now,
        endsAt: now + survivalMs,
    };
    return engine.held.hold(holding) ? holding : undefined;
}

function answerExport(engine: Engine, call: exchange.Exchange): void {
    const handle = call.path.split("/").at(-1) ?? "";
    const holding = engine.held.holdings.get(handle);
    if (!call.path.startsWith("/engine/export/") || !holding) {
        refuse(call, 410, "expired");
        return;
    }
    exchange.sendJson(call, 200, { prompt: holding.prompt, promptTokens: holding.promptTokens });
}

async function answerImport(engine: Engine, call: exchange.Exchange): Promise<void> {
    const body = exchange.readJson<ImportBody>(call);
    if (engine.faults.departing) {
        return refuse(call, 503, "departing");
    }
    if (engine.held.holdings.size >= engine.options.slots && !engine.held.find(body.requestId, body.attempt)) {
        return refuse(call, 503, "busy");
    }
    const exported = await fetchExport(body);
    if (!exported) {
        return refuse(call, 410, "expired");
    }
    crashIfMarked(engine, exported.prompt);
    if (engine.held.isCancelled(body.requestId, body.attempt)) {
        return refuse(call, 409, "cancelled");
    }
    if (!hold(engine, body, exported.prompt, exported.promptTokens, Infinity)) {
        return refuse(call, 503, "busy");
    }
    exchange.sendJson(call, 200, {});
}

async function fetchExport(body: ImportBody): Promise<{ prompt: string; promptTokens: number; } | undefined> {
    try {
        const response = await fetch(`${body.source}/engine/export/${body.handle}`);
        return response.ok ? await response.json() as { prompt: string; promptTokens: number; } : undefined;
    }
    catch {
        return undefined;
    }
}

async function answerDecode(engine: Engine, call: exchange.Exchange): Promise<void> {
    const body = exchange.readJson<DecodeBody>(call);
    const holding = engine.held.find(body.requestId, body.attempt);
    if (!holding) {
        return refuse(call, 410, engine.held.isCancelled(body.requestId, body.attempt) ? "cancelled" : "expired");
    }
    const streamScope = engine.scope.child("stream");
    call.onGone(() => void streamScope.close());
    call.response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
    call.response.flushHeaders();
    engine.running++;
    await stream(engine, streamScope, call, body, holding);
    engine.running--;
    await streamScope.close();
}

async function stream(
    engine: Engine,
    scope: lifecycle.Lifecycle,
    call: exchange.Exchange,
    body: DecodeBody,
    holding: memory.Holding,
): Promise<void> {
    const { faults, options } = engine;
    const outputTokens = body.outputTokens + (faults.overlong ? OVERLONG_TOKENS : 0);
    for (let index = body.offset; index < outputTokens; index++) {
        await lifecycle.pause(scope, options.decodeTokenMs * faults.slowdown);
        if (scope.closed || !engine.held.holdings.has(holding.handle)) {
            call.response.destroy();
            return;
        }
        if (faults.garbage) {
            call.response.write("event: token\ndata: {broken\n\n");
        }
        const frame = `event: token\ndata: ${
            JSON.stringify({ index, text: memory.tokenAt(holding.prompt, index) })
        }\n\n`;
        call.response.write(faults.repeatTokens && index % 2 === 1 ? frame + frame : frame);
        if (faults.cutAfterTokens > 0 && index + 1 - body.offset >= faults.cutAfterTokens) {
            call.response.destroy();
            return;
        }
    }
    call.response.end(`event: end\ndata: ${JSON.stringify({ outputTokens, reason: "length" })}\n\n`);
}

function answerOrder(engine: Engine, call: exchange.Exchange): void {
    const body = exchange.readJson<OrderBody>(call);
    if (engine.options.checksFencing && body.fencing < engine.highestFencing) {
        refuse(call, 409, "stale-fencing");
        return;
    }
    engine.highestFencing = Math.max(engine.highestFencing, body.fencing);
    if (!engine.orders.some((former) => former.orderId === body.orderId)) {
        engine.orders.push(body);
        engine.version = body.kind === "load-version" ? body.version : engine.version;
        engine.role = body.kind === "change-role" ? body.role ?? engine.role : engine.role;
    }
    exchange.sendJson(call, 200, {});
}
