import * as zod from "zod";

/** What a model engine does. */
export enum EngineRole {
    Prefill = "prefill",
    Decode = "decode",
}

/** Why an upstream did not do what it was asked to. */
export enum UpstreamRefusal {
    /** All slots or all memory is taken. It did not run. */
    Busy = "busy",
    /** It takes no new work any more. It did not run. */
    Departing = "departing",
    /** The attempt was cancelled before this message arrived. It did not run. */
    Cancelled = "cancelled",
    /** The result of the prefill is gone. It did not run. */
    Expired = "expired",
    /** The order carries an older fencing number than one seen before. It did not run. */
    StaleFencing = "stale-fencing",
    /** It does not know the attempt, model or version. It did not run. */
    Unknown = "unknown",
}

/** Names one try of a request at an upstream. Attempts of one request are numbered upwards, never reused. */
export interface Attempt {
    readonly requestId: string;
    readonly attempt: number;
    /** The router process that answers for the attempt's memory: its host and incarnation. */
    readonly holder: string;
}

/** Asks for the prefill of a prompt. A repeat of the same attempt is answered as before. */
export interface PrefillRequest extends Attempt {
    readonly prompt: string;
    /** 0 goes first. */
    readonly priority: number;
}

/** The result of a prefill, held for a short time for a decode engine to import. */
export interface PrefillResult {
    readonly handle: string;
    readonly promptTokens: number;
    /** How many of them came from the engine's prefix cache. */
    readonly cachedTokens: number;
    /** How long the result survives from now, in milliseconds. */
    readonly survivalMs: number;
}

/** Asks a decode engine to take a slot and to fetch the KV cache from the engine that holds it. */
export interface ImportRequest extends Attempt {
    /** The base address of the engine that holds the result. */
    readonly source: string;
    readonly handle: string;
}

/** Asks a decode engine for the tokens from an offset. Asking again with another offset resumes the stream. */
export interface DecodeRequest extends Attempt {
    /** How many tokens the caller has already. */
    readonly offset: number;
    /** How many tokens the whole answer may have. */
    readonly outputTokens: number;
    readonly priority: number;
}

/** Why a stream of tokens ended. */
export enum FinishReason {
    Stop = "stop",
    Length = "length",
}

/** One piece of a stream of tokens. */
export type Piece =
    | { readonly kind: PieceKind.Token; readonly index: number; readonly text: string; }
    | { readonly kind: PieceKind.End; readonly outputTokens: number; readonly reason: FinishReason; };

/** The kinds of piece. */
export enum PieceKind {
    Token = "token",
    End = "end",
}

/** Checks a prefill result. */
export const prefillResultSchema = zod.object({
    handle: zod.string().min(1),
    promptTokens: zod.int().nonnegative(),
    cachedTokens: zod.int().nonnegative(),
    survivalMs: zod.number().nonnegative(),
});

/** Checks a refusal. */
export const refusalSchema = zod.object({
    refusal: zod.enum(UpstreamRefusal),
    retryAfterMs: zod.number().nonnegative().default(0),
});

/** Checks one token of a stream. */
export const tokenSchema = zod.object({ index: zod.int().nonnegative(), text: zod.string() });

/** Checks the end of a stream. */
export const endSchema = zod.object({ outputTokens: zod.int().nonnegative(), reason: zod.enum(FinishReason) });

/** Checks a load report. */
export const loadReportSchema = zod.object({
    incarnation: zod.string(),
    /** Grows with each report of one incarnation, so that a late one is known for what it is. */
    sequence: zod.int().nonnegative(),
    role: zod.enum(EngineRole),
    model: zod.string(),
    version: zod.string(),
    slots: zod.int().nonnegative(),
    running: zod.int().nonnegative(),
    queuedTokens: zod.int().nonnegative(),
    memoryPieces: zod.int().nonnegative(),
    heldPieces: zod.int().nonnegative(),
    departing: zod.boolean(),
});

/** What an engine says of itself. The numbers are as old as the engine's reporting lag. */
export type LoadReport = zod.output<typeof loadReportSchema>;

/** Checks a list of held memory. */
export const heldSchema = zod.object({
    incarnation: zod.string(),
    held: zod.array(zod.object({
        requestId: zod.string(),
        attempt: zod.int(),
        holder: zod.string(),
        pieces: zod.int(),
        ageMs: zod.number(),
    })),
});

/** Memory that an engine holds, by attempt. */
export type Held = zod.output<typeof heldSchema>;

/** What an engine's prefix cache did. */
export enum CacheChange {
    Stored = "stored",
    Evicted = "evicted",
}

/** Checks a cache event. */
export const cacheEventSchema = zod.object({
    /** Counts up by one; a jump means that events were lost. */
    sequence: zod.int().nonnegative(),
    change: zod.enum(CacheChange),
    hash: zod.string(),
});

/** One change of an engine's prefix cache. */
export type CacheEvent = zod.output<typeof cacheEventSchema>;

/** The kinds of order. */
export enum OrderKind {
    LoadVersion = "load-version",
    LoadAdapter = "load-adapter",
    ChangeRole = "change-role",
}

/** An order to an engine. */
export interface Order {
    readonly kind: OrderKind;
    /** The model and version, the adapter, or the new role. */
    readonly model: string;
    readonly version: string;
    readonly role?: EngineRole;
    /** The owner's fencing number; engines that ignore fencing take no notice. */
    readonly fencing: number;
    /** Names the order, so that a repeat is not carried out twice. */
    readonly orderId: string;
}
