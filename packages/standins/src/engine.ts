import * as lifecycle from "@citronlead/lifecycle";
import * as crypto from "node:crypto";
import * as memory from "./enginememory.js";
import * as exchange from "./exchange.js";

/** Faults that an engine simulates. PUT /standin/faults sets the fields that its body contains. */
export interface EngineFaults {
    /** Factor by which prefill and decoding take longer. */
    slowdown: number;
    /** A prompt that contains this text stops the process; empty to disable. */
    crashMark: string;
    /** Keeps connections open but never answers, except under /standin. */
    frozen: boolean;
    /** Streams break after this many tokens; 0 to disable. */
    cutAfterTokens: number;
    /** Every second token is sent twice. */
    repeatTokens: boolean;
    /** Before each token, a stream carries an event with invalid JSON. */
    garbage: boolean;
    /** Streams continue beyond the requested number of tokens. */
    overlong: boolean;
    /** Refuses new prefills and imports. */
    departing: boolean;
}

/** Configuration of an engine stand-in. */
export interface EngineOptions {
    readonly address: string;
    readonly port: number;
    readonly role: string;
    readonly model: string;
    readonly version: string;
    readonly slots: number;
    readonly memoryPieces: number;
    readonly pieceTokens: number;
    /** Prefill time of one token. */
    readonly prefillTokenMs: number;
    /** Time between two tokens of a stream. */
    readonly decodeTokenMs: number;
    /** How long the result of a prefill is kept unless it is released. */
    readonly survivalMs: number;
    /** Whether orders with a fencing token below the highest seen are refused. */
    readonly checksFencing: boolean;
    /** Ends the process, simulating a crash. */
    readonly crash: () => void;
    /** Called when an order arrives, before it is carried out. */
    readonly orderArrived?: () => void;
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

/** The state of one engine. */
interface Engine {
    readonly scope: lifecycle.Scope;
    readonly options: EngineOptions;
    readonly memory: memory.EngineMemory;
    readonly faults: EngineFaults;
    readonly incarnation: string;
    /** Orders carried out so far, without repeats. */
    readonly orders: OrderBody[];
    role: string;
    version: string;
    running: number;
    queuedTokens: number;
    highestFencing: number;
    reportSequence: number;
    prefills: number;
    /** Prefills run one at a time; when the last one queued ends, on the monotonic clock. */
    busyUntil: number;
}

/** Starts an engine stand-in. */
export async function startEngine(scope: lifecycle.Scope, options: EngineOptions): Promise<exchange.ListeningServer> {
    const engine: Engine = {
        scope,
        options,
        memory: new memory.EngineMemory(options.memoryPieces),
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
    lifecycle.every(scope, EXPIRY_PERIOD_MS, () => engine.memory.expire(lifecycle.monotonicClock()));
    return exchange.serve(scope, options, (call) => handleCall(engine, call));
}

async function handleCall(engine: Engine, call: exchange.Exchange): Promise<void> {
    if (call.path === "/standin/faults") {
        Object.assign(engine.faults, exchange.readJson<Partial<EngineFaults>>(call));
        exchange.sendJson(call, 200, engine.faults);
        return;
    }
    if (call.path === "/standin/counts") {
        exchange.sendJson(call, 200, {
            prefills: engine.prefills,
            orders: engine.orders,
            holdings: engine.memory.allocations.size,
        });
        return;
    }
    if (engine.faults.frozen) {
        return;
    }
    // The paths of exports contain a handle, so the table does not list them.
    const handler = HANDLERS[call.path] ?? handleExport;
    await handler(engine, call);
}

const HANDLERS: Readonly<Record<string, (engine: Engine, call: exchange.Exchange) => void | Promise<void>>> = {
    "/engine/prefill": handlePrefill,
    "/engine/import": handleImport,
    "/engine/decode": handleDecode,
    "/engine/cancel": (engine, call) => {
        const body = exchange.readJson<AttemptBody>(call);
        engine.memory.cancel(body.requestId, body.attempt, lifecycle.monotonicClock());
        exchange.sendJson(call, 200, {});
    },
    "/engine/release": (engine, call) => {
        engine.memory.release(exchange.readJson<{ holders: string[]; }>(call).holders);
        exchange.sendJson(call, 200, {});
    },
    "/engine/load": (engine, call) => exchange.sendJson(call, 200, loadReport(engine)),
    "/engine/held": (engine, call) => exchange.sendJson(call, 200, memoryReport(engine)),
    "/engine/orders": handleOrder,
};

function sendRefusal(call: exchange.Exchange, status: number, refusal: string): void {
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
        heldPieces: engine.memory.usedPieces,
        departing: engine.faults.departing,
    };
}

function memoryReport(engine: Engine): object {
    const now = lifecycle.monotonicClock();
    const held = [...engine.memory.allocations.values()].map((allocation) => ({
        requestId: allocation.requestId,
        attempt: allocation.attempt,
        holder: allocation.holder,
        pieces: allocation.pieces,
        ageMs: now - allocation.allocatedAt,
    }));
    return { incarnation: engine.incarnation, held };
}

function crashIfMarked(engine: Engine, prompt: string): void {
    if (engine.faults.crashMark !== "" && prompt.includes(engine.faults.crashMark)) {
        engine.options.crash();
    }
}

async function handlePrefill(engine: Engine, call: exchange.Exchange): Promise<void> {
    const body = exchange.readJson<PrefillBody>(call);
    if (engine.faults.departing) {
        return sendRefusal(call, 503, "departing");
    }
    crashIfMarked(engine, body.prompt);
    const promptTokens = memory.countTokens(body.prompt);
    await simulatePrefill(engine, promptTokens);
    if (engine.memory.isCancelled(body.requestId, body.attempt)) {
        return sendRefusal(call, 409, "cancelled");
    }
    engine.prefills++;
    const allocation = allocate(engine, body, body.prompt, promptTokens, engine.options.survivalMs);
    if (!allocation) {
        return sendRefusal(call, 503, "busy");
    }
    exchange.sendJson(call, 200, {
        handle: allocation.handle,
        promptTokens,
        cachedTokens: 0,
        survivalMs: engine.options.survivalMs,
    });
}

async function simulatePrefill(engine: Engine, promptTokens: number): Promise<void> {
    const now = lifecycle.monotonicClock();
    const duration = promptTokens * engine.options.prefillTokenMs * engine.faults.slowdown;
    engine.busyUntil = Math.max(now, engine.busyUntil) + duration;
    engine.queuedTokens += promptTokens;
    await lifecycle.pause(engine.scope, engine.busyUntil - now);
    engine.queuedTokens -= promptTokens;
}

function allocate(
    engine: Engine,
    body: AttemptBody,
    prompt: string,
    promptTokens: number,
    survivalMs: number,
): memory.Allocation | undefined {
    const now = lifecycle.monotonicClock();
    const existing = engine.memory.find(body.requestId, body.attempt);
    if (existing) {
        return existing;
    }
    const allocation: memory.Allocation = {
        requestId: body.requestId,
        attempt: body.attempt,
        holder: body.holder,
        handle: crypto.randomUUID(),
        prompt,
        promptTokens,
        pieces: Math.ceil(promptTokens / engine.options.pieceTokens),
        allocatedAt: now,
        expiresAt: now + survivalMs,
    };
    return engine.memory.allocate(allocation) ? allocation : undefined;
}

function handleExport(engine: Engine, call: exchange.Exchange): void {
    const handle = call.path.split("/").at(-1) ?? "";
    const allocation = engine.memory.allocations.get(handle);
    if (!call.path.startsWith("/engine/export/") || !allocation) {
        sendRefusal(call, 410, "expired");
        return;
    }
    exchange.sendJson(call, 200, { prompt: allocation.prompt, promptTokens: allocation.promptTokens });
}

async function handleImport(engine: Engine, call: exchange.Exchange): Promise<void> {
    const body = exchange.readJson<ImportBody>(call);
    if (engine.faults.departing) {
        return sendRefusal(call, 503, "departing");
    }
    if (engine.memory.allocations.size >= engine.options.slots && !engine.memory.find(body.requestId, body.attempt)) {
        return sendRefusal(call, 503, "busy");
    }
    const exported = await fetchExport(body);
    if (!exported) {
        return sendRefusal(call, 410, "expired");
    }
    crashIfMarked(engine, exported.prompt);
    if (engine.memory.isCancelled(body.requestId, body.attempt)) {
        return sendRefusal(call, 409, "cancelled");
    }
    if (!allocate(engine, body, exported.prompt, exported.promptTokens, Infinity)) {
        return sendRefusal(call, 503, "busy");
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

async function handleDecode(engine: Engine, call: exchange.Exchange): Promise<void> {
    const body = exchange.readJson<DecodeBody>(call);
    const allocation = engine.memory.find(body.requestId, body.attempt);
    if (!allocation) {
        return sendRefusal(
            call,
            410,
            engine.memory.isCancelled(body.requestId, body.attempt) ? "cancelled" : "expired",
        );
    }
    const streamScope = engine.scope.child("stream");
    call.onDisconnect(() => void streamScope.close());
    call.response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
    call.response.flushHeaders();
    engine.running++;
    await streamTokens(engine, streamScope, call, body, allocation);
    engine.running--;
    await streamScope.close();
}

async function streamTokens(
    engine: Engine,
    scope: lifecycle.Scope,
    call: exchange.Exchange,
    body: DecodeBody,
    allocation: memory.Allocation,
): Promise<void> {
    const { faults, options } = engine;
    const outputTokens = body.outputTokens + (faults.overlong ? OVERLONG_TOKENS : 0);
    for (let index = body.offset; index < outputTokens; index++) {
        await lifecycle.pause(scope, options.decodeTokenMs * faults.slowdown);
        if (scope.closed || !engine.memory.allocations.has(allocation.handle)) {
            call.response.destroy();
            return;
        }
        if (faults.garbage) {
            call.response.write("event: token\ndata: {broken\n\n");
        }
        const frame = `event: token\ndata: ${
            JSON.stringify({ index, text: memory.tokenAt(allocation.prompt, index) })
        }\n\n`;
        call.response.write(faults.repeatTokens && index % 2 === 1 ? frame + frame : frame);
        if (faults.cutAfterTokens > 0 && index + 1 - body.offset >= faults.cutAfterTokens) {
            call.response.destroy();
            return;
        }
    }
    call.response.end(`event: end\ndata: ${JSON.stringify({ outputTokens, reason: "length" })}\n\n`);
}

function handleOrder(engine: Engine, call: exchange.Exchange): void {
    const body = exchange.readJson<OrderBody>(call);
    engine.options.orderArrived?.();
    if (engine.options.checksFencing && body.fencing < engine.highestFencing) {
        sendRefusal(call, 409, "stale-fencing");
        return;
    }
    engine.highestFencing = Math.max(engine.highestFencing, body.fencing);
    if (!engine.orders.some((previous) => previous.orderId === body.orderId)) {
        engine.orders.push(body);
        engine.version = body.kind === "load-version" ? body.version : engine.version;
        engine.role = body.kind === "change-role" ? body.role ?? engine.role : engine.role;
    }
    exchange.sendJson(call, 200, {});
}
