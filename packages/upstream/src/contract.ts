import * as zod from "zod";

/** The stage of a generation that a model engine runs. */
export enum EngineRole {
    Prefill = "prefill",
    Decode = "decode",
}

/** Why an upstream refused a request. A refused request did not run. */
export enum UpstreamRefusal {
    /** All slots or all memory is in use. */
    Busy = "busy",
    /** The upstream accepts no new work any more. */
    Departing = "departing",
    /** The attempt was cancelled before this request arrived. */
    Cancelled = "cancelled",
    /** The prefill result is no longer held. */
    Expired = "expired",
    /** The order's fencing number is older than one seen before. */
    StaleFencing = "stale-fencing",
    /** The upstream does not know the attempt, model or version. */
    Unknown = "unknown",
}

/** Identifies one attempt to run a request at an upstream. Attempt numbers increase and are never reused. */
export interface Attempt {
    readonly requestId: string;
    readonly attempt: number;
    /** The router process that is responsible for the attempt's memory: its host and incarnation. */
    readonly holder: string;
}

/** Requests the prefill of a prompt. A repeated request for the same attempt gets the same answer. */
export interface PrefillRequest extends Attempt {
    readonly prompt: string;
    /** Urgency; 0 is the most urgent. */
    readonly priority: number;
}

/** Result of a prefill, which the prefill engine holds for a short time for a decode engine to import. */
export interface PrefillResult {
    readonly handle: string;
    readonly promptTokens: number;
    /** Number of the prompt tokens that came from the engine's prefix cache. */
    readonly cachedTokens: number;
    /** How long the engine holds the result from now on. */
    readonly survivalMs: number;
}

/** Asks a decode engine to allocate a slot and to fetch the KV cache from the prefill engine that holds it. */
export interface ImportRequest extends Attempt {
    /** Base URL of the engine that holds the prefill result. */
    readonly source: string;
    readonly handle: string;
}

/** Requests tokens, starting at an offset, from a decode engine. A request with another offset resumes the stream. */
export interface DecodeRequest extends Attempt {
    /** Number of tokens that the caller already has. */
    readonly offset: number;
    /** Maximum number of tokens of the whole answer, those before the offset included. */
    readonly outputTokens: number;
    readonly priority: number;
}

/** Why a token stream ended. */
export enum FinishReason {
    Stop = "stop",
    Length = "length",
}

/** One event of a token stream. */
export type StreamEvent =
    | { readonly kind: StreamEventKind.Token; readonly index: number; readonly text: string; }
    | { readonly kind: StreamEventKind.End; readonly outputTokens: number; readonly reason: FinishReason; };

/** Kinds of stream event. */
export enum StreamEventKind {
    Token = "token",
    End = "end",
}

export const prefillResultSchema = zod.object({
    handle: zod.string().min(1),
    promptTokens: zod.int().nonnegative(),
    cachedTokens: zod.int().nonnegative(),
    survivalMs: zod.number().nonnegative(),
});

export const refusalSchema = zod.object({
    refusal: zod.enum(UpstreamRefusal),
    retryAfterMs: zod.number().nonnegative().default(0),
});

export const tokenSchema = zod.object({ index: zod.int().nonnegative(), text: zod.string() });

export const endSchema = zod.object({ outputTokens: zod.int().nonnegative(), reason: zod.enum(FinishReason) });

export const loadReportSchema = zod.object({
    incarnation: zod.string(),
    /** Increases with each report of an incarnation, so that reports that arrive late are recognized. */
    sequence: zod.int().nonnegative(),
    role: zod.enum(EngineRole),
    model: zod.string(),
    version: zod.string(),
    slots: zod.int().nonnegative(),
    running: zod.int().nonnegative(),
    queuedTokens: zod.int().nonnegative(),
    /** Size of the KV cache memory, in pieces of a fixed number of tokens. */
    memoryPieces: zod.int().nonnegative(),
    heldPieces: zod.int().nonnegative(),
    /** Whether the engine is about to leave and accepts no new work. */
    departing: zod.boolean(),
});

/** An engine's report of its load. The figures are out of date by the engine's reporting lag. */
export type LoadReport = zod.output<typeof loadReportSchema>;

export const heldMemorySchema = zod.object({
    incarnation: zod.string(),
    held: zod.array(zod.object({
        requestId: zod.string(),
        attempt: zod.int(),
        holder: zod.string(),
        pieces: zod.int(),
        ageMs: zod.number(),
    })),
});

/** Memory that an engine holds, listed by attempt. */
export type HeldMemory = zod.output<typeof heldMemorySchema>;

/** Kinds of change in an engine's prefix cache. */
export enum CacheChange {
    Stored = "stored",
    Evicted = "evicted",
}

export const cacheEventSchema = zod.object({
    /** Increases by one with each event; a gap means that events were lost. */
    sequence: zod.int().nonnegative(),
    change: zod.enum(CacheChange),
    hash: zod.string(),
});

/** A change in an engine's prefix cache. */
export type CacheEvent = zod.output<typeof cacheEventSchema>;

/** Kinds of order. */
export enum OrderKind {
    LoadVersion = "load-version",
    LoadAdapter = "load-adapter",
    ChangeRole = "change-role",
}

/** An order to an engine to load a version or an adapter, or to change its role. */
export interface Order {
    readonly kind: OrderKind;
    /** Depending on the kind, `model`, `version` and `role` name the model version, the adapter or the new role. */
    readonly model: string;
    readonly version: string;
    readonly role?: EngineRole;
    /** The owner's fencing number. Some engines ignore it. */
    readonly fencing: number;
    /** Identifies the order, so that a repeated one is not executed twice. */
    readonly orderId: string;
}
