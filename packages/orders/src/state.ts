import type * as decision from "@citronlead/decision";

/** Settings of a pool's version changes. */
export interface RolloutSettings {
    readonly pool: string;
    /** Whether the pool's engines refuse an order with a lower fencing token than one they have seen. */
    readonly checksFencing: boolean;
    /** The longest time from sending an order to its last effect. */
    readonly longestOrderMs: decision.Milliseconds;
    /** How long an engine may drain its requests before its order is sent regardless. */
    readonly longestDrainMs: decision.Milliseconds;
}

/** An engine according to its latest load report. */
export interface ObservedEngine {
    readonly name: string;
    /** Whether it is a decode engine; otherwise it is a prefill engine. */
    readonly decodes: boolean;
    readonly model: string;
    readonly version: string;
    readonly slots: number;
    readonly running: number;
    /** Whether it takes new requests: it is listed, has reported recently and is not leaving. */
    readonly usable: boolean;
}

/** The right to act for the pool's partition. Only the host that has it may send orders to the pool's engines. */
export interface Right {
    readonly fencing: number;
    readonly until: decision.Milliseconds;
}

/** What the owner of a pool observes. */
export interface Observation {
    /** This host's right to act for the pool; undefined while it has none. */
    readonly right?: Right;
    readonly engines: readonly ObservedEngine[];
    /** The wanted version of each model of the pool. */
    readonly wanted: Readonly<Record<string, string>>;
    /** How many decode slots must stay in service during a change. */
    readonly minimumSlots: number;
    /** The share of the weight store's rate that this pool may use, from 0 to 1. */
    readonly weightShare: number;
}

/** The phase of an engine's version change. */
export enum ChangePhase {
    /** It gets no new requests and finishes the running ones. */
    Draining = "draining",
    /** Its order was sent, possibly more than once. */
    Ordered = "ordered",
    /** It accepted the order and is loading the version. */
    Loading = "loading",
}

/** A version change of an engine in progress. The engine is out of service. */
export interface VersionChange {
    readonly engine: string;
    readonly model: string;
    readonly version: string;
    readonly phase: ChangePhase;
    /** Stays the same when the order is sent again, so that the engine carries it out once. */
    readonly orderId: string;
    readonly startedAt: decision.Milliseconds;
    /** When the order is sent again if it is not answered. */
    readonly resendAt: decision.Milliseconds;
    /** When the change is abandoned. */
    readonly timeoutAt: decision.Milliseconds;
}

/** The size of one version's weights and the total rate of the weight store. */
export interface Weights {
    readonly sizeBytes: number;
    readonly rateBytesPerSecond: number;
}

/** The state of the version changes of one pool. */
export interface RolloutState {
    readonly settings: RolloutSettings;
    readonly observation: Observation;
    /** The fencing token under which this host acts, and since when it has the right to act under it. */
    readonly term?: { readonly fencing: number; readonly since: decision.Milliseconds; };
    /** Whether an engine has seen an order of a newer owner. This host then sends none until its fencing token changes. */
    readonly superseded: boolean;
    /** The change in progress; at most one engine is changed at a time. */
    readonly change?: VersionChange;
    /** Known weights by "model/version". */
    readonly weightsByVersion: Readonly<Record<string, Weights>>;
    /** When the weight store is expected to have finished the latest transfer. */
    readonly weightStoreFreeAt: decision.Milliseconds;
    /** Engines whose change failed, with the time until which they are not changed. */
    readonly pausedUntil: Readonly<Record<string, decision.Milliseconds>>;
    /** How many changes were started; part of the order ids. */
    readonly changeCount: number;
}

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
    /** No answer came. The order may have been carried out or may still be. */
    Unknown = "unknown",
}

/** The input of the version changes of a pool. */
export type RolloutEvent =
    | { readonly kind: EventKind.Observed; readonly seen: Observation; }
    | { readonly kind: EventKind.OrderAnswered; readonly orderId: string; readonly result: OrderResult; }
    | {
        readonly kind: EventKind.WeightsRead;
        readonly model: string;
        readonly version: string;
        readonly weights: Weights;
    };

export enum ActionKind {
    ReadWeights = "read-weights",
    SendOrder = "send-order",
}

/** What the caller has to do at once. */
export type RolloutAction =
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
export function startRollout(settings: RolloutSettings): RolloutState {
    return {
        settings,
        observation: { engines: [], wanted: {}, minimumSlots: 0, weightShare: 1 },
        superseded: false,
        weightsByVersion: {},
        weightStoreFreeAt: -Infinity,
        pausedUntil: {},
        changeCount: 0,
    };
}
