import type * as decision from "@citronlead/decision";

/** Settings of the scheduler of one pool shard. */
export interface Settings {
    readonly pool: string;
    /** Tokens that fit in one piece (block) of an engine's KV cache memory. */
    readonly pieceTokens: number;
    /** How long a prefill engine keeps the result of a prefill that is not fetched. */
    readonly prefillSurvivalMs: decision.Milliseconds;
    /** Size of the KV cache of one token. */
    readonly cacheBytesPerToken: number;
    /** Nominal rate of an engine's network link. */
    readonly linkBytesPerSecond: number;
    /** Target for the time between two tokens of a stream. */
    readonly betweenTokensTargetMs: decision.Milliseconds;
    /** How old load reports and cache events may be when they arrive. */
    readonly reportLagMs: decision.Milliseconds;
    /** Tokens by which each prefix in a list of prefix hashes is longer than the one before it. */
    readonly prefixTokens: number;
    /** Weights of the workspaces for fair queuing; the default is 1. */
    readonly weights: Readonly<Record<string, number>>;
    /** Assumed prefill rate of an engine that has not been measured yet. */
    readonly prefillTokensPerSecond: number;
    /** Assumed time between two tokens of a stream on an engine that has not been measured yet. */
    readonly tokenMs: decision.Milliseconds;
}

export enum Role {
    Prefill = "prefill",
    Decode = "decode",
}

/** A request for a placement: a reservation on a prefill and a decode engine. */
export interface ReservationRequest {
    /** The id of the reservation. A repeat under the id of a granted reservation gets the same grant again. */
    readonly id: string;
    /** The router process that made the request, as "host/incarnation". */
    readonly holder: string;
    readonly workspace: string;
    /** Lower values are served first; 0 is the highest priority. */
    readonly priority: number;
    readonly promptTokens: number;
    /** Upper bound for the tokens of the answer. */
    readonly outputTokens: number;
    readonly firstTokenDeadline: decision.Milliseconds;
    readonly deadline: decision.Milliseconds;
    /** Whether the request may have crashed an engine. At most one suspect request runs on an engine at a time. */
    readonly suspect: boolean;
    /** Hashes of the prompt's prefixes, shortest first. */
    readonly prefixHashes: readonly string[];
    /** Length of each of these prefixes in tokens; if omitted, they grow by `Settings.prefixTokens` each. */
    readonly prefixTokens?: readonly number[];
    /** Engines that the request must not be placed on. */
    readonly avoid: readonly string[];
    /** Whether the request was placed before. Retries are limited by the retry budget. */
    readonly retry: boolean;
}

/** An engine's report about its load. It may be as old as the report lag when it arrives. */
export interface Report {
    readonly engine: string;
    readonly role: Role;
    /** Changes when the engine restarts. */
    readonly incarnation: string;
    /** Increases with each report of an incarnation. */
    readonly sequence: number;
    readonly slots: number;
    readonly running: number;
    readonly memoryPieces: number;
    readonly heldPieces: number;
    /** Whether the engine takes new work. */
    readonly usable: boolean;
}

export enum EventKind {
    Request = "ask",
    Progress = "progress",
    End = "end",
    Report = "report",
    CacheChange = "cache-change",
    EngineFailed = "engine-failed",
    EngineGone = "engine-gone",
    HoldersGone = "holders-gone",
    Settings = "settings",
    Wake = "wake",
}

/** The input of the scheduler of a pool shard. */
export type Event =
    | { readonly kind: EventKind.Request; readonly ask: ReservationRequest; }
    | {
        /** Measurements of a placed request, each of them optional. */
        readonly kind: EventKind.Progress;
        readonly id: string;
        /** How long the prefill took, or has been running if `prefillDone` is false. */
        readonly prefillMs?: decision.Milliseconds;
        readonly prefillDone?: boolean;
        readonly cachedTokens?: number;
        /** How long the transfer took or, if the prefill's result expired during the transfer, how much time it had. */
        readonly transferMs?: decision.Milliseconds;
        /** Time between two tokens of the stream. */
        readonly tokenMs?: decision.Milliseconds;
    }
    | {
        /** The request has ended on its engines or was withdrawn from the queue. */
        readonly kind: EventKind.End;
        readonly id: string;
        readonly outputTokens: number;
        /** Whether the answer was delivered completely. */
        readonly whole: boolean;
        /** Engines that failed while they served the request. */
        readonly failed: readonly string[];
    }
    | { readonly kind: EventKind.Report; readonly report: Report; }
    | {
        readonly kind: EventKind.CacheChange;
        readonly engine: string;
        readonly sequence: number;
        readonly stored: boolean;
        readonly hash: string;
    }
    | { readonly kind: EventKind.EngineFailed; readonly engine: string; }
    | { readonly kind: EventKind.EngineGone; readonly engine: string; }
    /** Router processes that have left; their requests are ended. */
    | { readonly kind: EventKind.HoldersGone; readonly holders: readonly string[]; }
    | { readonly kind: EventKind.Settings; readonly settings: Settings; }
    | { readonly kind: EventKind.Wake; };

/** Why a request was not placed. */
export enum RefusalKind {
    /** It can no longer be served by its deadline. */
    Shed = "shed",
    /** The retry budget is exhausted. */
    RetryBudget = "retry-budget",
}

export enum ActionKind {
    Grant = "grant",
    Refuse = "refuse",
    WakeAt = "wake-at",
}

/** What the caller of the scheduler has to do. */
export type Action =
    | {
        readonly kind: ActionKind.Grant;
        readonly id: string;
        readonly prefill: string;
        readonly decode: string;
        /** When the prefill should start. */
        readonly startAt: decision.Milliseconds;
        /** Expected durations. A progress event should report a duration that differs. */
        readonly prefillMs: decision.Milliseconds;
        readonly transferMs: decision.Milliseconds;
    }
    | {
        readonly kind: ActionKind.Refuse;
        readonly id: string;
        readonly refusal: RefusalKind;
        readonly retryAfterMs: decision.Milliseconds;
    }
    | { readonly kind: ActionKind.WakeAt; readonly at: decision.Milliseconds; };
