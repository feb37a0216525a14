import type * as decision from "@citronlead/decision";

/** What the scheduler of one pool shard works with. Sizes in bytes and tokens, times in milliseconds. */
export interface Settings {
    readonly pool: string;
    /** Engine memory pieces hold so many tokens. */
    readonly pieceTokens: number;
    readonly prefillSurvivalMs: decision.Milliseconds;
    readonly cacheBytesPerToken: number;
    readonly linkBytesPerSecond: number;
    readonly betweenTokensTargetMs: decision.Milliseconds;
    /** Load reports are as old as this. */
    readonly reportLagMs: decision.Milliseconds;
    /** Tokens between two neighbours in a list of prefix hashes. */
    readonly prefixTokens: number;
    /** Weights of the workspaces; a workspace that is not named weighs 1. */
    readonly weights: Readonly<Record<string, number>>;
    /** What an engine is taken to do until it was seen at work. */
    readonly prefillTokensPerSecond: number;
    readonly tokenMs: decision.Milliseconds;
}

/** The roles of an engine. */
export enum Role {
    Prefill = "prefill",
    Decode = "decode",
}

/** What a request asks for. */
export interface Ask {
    /** Names the reservation; a repeat is answered as before. */
    readonly id: string;
    /** The router process that asks: its host and incarnation. */
    readonly holder: string;
    readonly workspace: string;
    /** 0 goes first. */
    readonly priority: number;
    readonly promptTokens: number;
    /** An upper bound of the tokens of the answer. */
    readonly outputTokens: number;
    readonly firstTokenDeadline: decision.Milliseconds;
    readonly deadline: decision.Milliseconds;
    /** No two suspects run on one engine at a time. */
    readonly suspect: boolean;
    /** Hashes of the prompt's prefixes, shortest first. */
    readonly prefixHashes: readonly string[];
    /** How many tokens each of these prefixes has; if left out, each is longer by the same number. */
    readonly prefixTokens?: readonly number[];
    /** Engines that the request must not be placed on. */
    readonly avoid: readonly string[];
    /** Whether the request was placed before: it counts against the retry budget. */
    readonly retry: boolean;
}

/** What an engine says of itself, as old as the reporting lag. */
export interface Report {
    readonly engine: string;
    readonly role: Role;
    readonly incarnation: string;
    readonly sequence: number;
    readonly slots: number;
    readonly running: number;
    readonly memoryPieces: number;
    readonly heldPieces: number;
    /** Whether the engine takes new work. */
    readonly usable: boolean;
}

/** The kinds of event. */
export enum EventKind {
    Ask = "ask",
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

/** What happens to the scheduler of a pool shard. */
export type Event =
    | { readonly kind: EventKind.Ask; readonly ask: Ask; }
    | {
        /** What was seen of a placed request on its way; each figure is optional. */
        readonly kind: EventKind.Progress;
        readonly id: string;
        /** How long the prefill took, or has taken so far if it is not done. */
        readonly prefillMs?: decision.Milliseconds;
        readonly prefillDone?: boolean;
        readonly cachedTokens?: number;
        /** How long the transfer took; if the result expired over it, how long it had. */
        readonly transferMs?: decision.Milliseconds;
        readonly tokenMs?: decision.Milliseconds;
    }
    | {
        /** The request has gone from its engines, or from the queue. */
        readonly kind: EventKind.End;
        readonly id: string;
        readonly outputTokens: number;
        readonly whole: boolean;
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
    | { readonly kind: EventKind.HoldersGone; readonly holders: readonly string[]; }
    | { readonly kind: EventKind.Settings; readonly settings: Settings; }
    | { readonly kind: EventKind.Wake; };

/** Why a request was not placed. */
export enum RefusalKind {
    /** It can't be served in time any more. */
    Shed = "shed",
    /** The share of retries among recent successes is used up. */
    RetryBudget = "retry-budget",
}

/** The kinds of action. */
export enum ActionKind {
    Grant = "grant",
    Refuse = "refuse",
    WakeAt = "wake-at",
}

/** What the shell carries out. */
export type Action =
    | {
        readonly kind: ActionKind.Grant;
        readonly id: string;
        readonly prefill: string;
        readonly decode: string;
        /** When the prefill should start. */
        readonly startAt: decision.Milliseconds;
        /** How long prefill and transfer are thought to take; what differs is worth a progress event. */
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
