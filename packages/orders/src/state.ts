import type * as decision from "@citronlead/decision";

/** The pool whose engines are changed. Times are in milliseconds. */
export interface RollingSettings {
    readonly pool: string;
    /** Whether the pool's engines refuse an order with an older fencing number than one they have seen. */
    readonly checksFencing: boolean;
    /** The longest that an order can take from sending to its last effect. */
    readonly longestOrderMs: decision.Milliseconds;
    /** How long requests on an engine are waited for before it gets its order. */
    readonly longestDrainMs: decision.Milliseconds;
}

/** An engine as its latest load report shows it. */
export interface SeenEngine {
    readonly name: string;
    /** Whether it holds decode slots; other engines prefill. */
    readonly decodes: boolean;
    readonly model: string;
    readonly version: string;
    readonly slots: number;
    readonly running: number;
    /** Whether it takes new work: it is listed, has reported lately and does not leave. */
    readonly usable: boolean;
}

/** The right to give orders, held by the owner of the pool's partition. */
export interface OrderRight {
    readonly fencing: number;
    readonly until: decision.Milliseconds;
}

/** What the owner of a pool sees. */
export interface Observation {
    /** Undefined while this host does not own the pool. */
    readonly right?: OrderRight;
    readonly engines: readonly SeenEngine[];
    /** The wanted version of each model of the pool. */
    readonly wanted: Readonly<Record<string, string>>;
    /** Decode slots that stay in service at each step. */
    readonly minimumSlots: number;
    /** The part of the weight store's rate that this pool may use, from 0 to 1. */
    readonly weightShare: number;
}

/** Where an engine is in its change. */
export enum Phase {
    /** It gets no new work; those on it are waited for. */
    Draining = "draining",
    /** It was sent its order, perhaps more than once. */
    Ordered = "ordered",
    /** It took its order and loads. */
    Loading = "loading",
}

/** An engine under change. It counts as out of service. */
export interface Change {
    readonly engine: string;
    readonly model: string;
    readonly version: string;
    readonly phase: Phase;
    /** The same for each repeat of the order, so that the engine carries it out once. */
    readonly orderId: string;
    readonly since: decision.Milliseconds;
    /** When the order is sent again, if it is not answered. */
    readonly repeatAt: decision.Milliseconds;
    /** When the change is given up. */
    readonly giveUpAt: decision.Milliseconds;
}

/** How long the weight store takes to hand out one version. */
export interface Weights {
    readonly sizeBytes: number;
    readonly rateBytesPerSecond: number;
}

/** What is known about the changes of one pool. */
export interface RollingState {
    readonly settings: RollingSettings;
    readonly seen: Observation;
    /** The right under which this host acts, and since when it has it. */
    readonly term?: { readonly fencing: number; readonly since: decision.Milliseconds; };
    /** Set when an engine has seen a newer owner's order: this one gives none until its right changes. */
    readonly superseded: boolean;
    /** At most one engine at a time. */
    readonly change?: Change;
    readonly weights: Readonly<Record<string, Weights>>;
    /** When the weight store has handed out what was last asked for. */
    readonly storeFreeAt: decision.Milliseconds;
    /** Engines whose change failed, until when they are left alone. */
    readonly failedUntil: Readonly<Record<string, decision.Milliseconds>>;
    readonly count: number;
}

/** The kinds of event. */
export enum EventKind {
    Observed = "observed",
    OrderAnswered = "order-answered",
    WeightsRead = "weights-read",
}

/** How an engine answered an order. */
export enum OrderResult {
    Taken = "taken",
    /** It has seen an order of a newer owner. */
    Stale = "stale",
    Refused = "refused",
    /** No answer came: the order may have been carried out, or may be yet. */
    Unknown = "unknown",
}

/** What happens to the owner of a pool. */
export type RollingEvent =
    | { readonly kind: EventKind.Observed; readonly seen: Observation; }
    | { readonly kind: EventKind.OrderAnswered; readonly orderId: string; readonly result: OrderResult; }
    | {
        readonly kind: EventKind.WeightsRead;
        readonly model: string;
        readonly version: string;
        readonly weights: Weights;
    };

/** The kinds of action. */
export enum ActionKind {
    ReadWeights = "read-weights",
    SendOrder = "send-order",
}

/** What the shell carries out, at once. */
export type RollingAction =
    | { readonly kind: ActionKind.ReadWeights; readonly model: string; readonly version: string; }
    | {
        readonly kind: ActionKind.SendOrder;
        readonly engine: string;
        readonly model: string;
        readonly version: string;
        readonly fencing: number;
        readonly orderId: string;
        readonly timeoutMs: decision.Milliseconds;
    };

/** The state before the first event. */
export function startRolling(settings: RollingSettings): RollingState {
    return {
        settings,
        seen: { engines: [], wanted: {}, minimumSlots: 0, weightShare: 1 },
        superseded: false,
        weights: {},
        storeFreeAt: -Infinity,
        failedUntil: {},
        count: 0,
    };
}
