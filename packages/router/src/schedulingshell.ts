import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import * as pQueue from "p-queue";
import type * as configurations from "./configurationshell.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";
import type * as upstreams from "./upstreams.js";

/** What a request asks of a pool of model engines. */
export interface PlacementWish {
    readonly requestId: string;
    readonly pool: string;
    readonly workspace: string;
    /** 0 goes first. */
    readonly priority: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly firstTokenDeadline: decision.Milliseconds;
    readonly deadline: decision.Milliseconds;
    /** Whether the content may have crashed an upstream: no two suspects run on one engine at a time. */
    readonly suspect: boolean;
    /** Hashes of the prompt's prefixes, shortest first. */
    readonly prefixHashes: readonly string[];
    /** Upstreams that this request must not be placed on again. */
    readonly avoid: readonly string[];
    readonly signal: AbortSignal;
}

/** How the stay at a placement ended. */
export interface PlacementReport {
    readonly outputTokens: number;
    /** Upstreams that failed while they ran the request. */
    readonly failed: readonly string[];
}

/** Where and when a request runs. */
export interface Placement {
    readonly prefill: upstreams.KnownUpstream;
    readonly decode: upstreams.KnownUpstream;
    /** How long to wait before the prefill starts, in milliseconds. */
    readonly startAfterMs: decision.Milliseconds;
    /** Gives the slot back. Only the first call counts. */
    readonly end: (report: PlacementReport) => void;
}

/** Why a request was not placed. */
export enum PlacementRefusal {
    /** It can't be served before its deadline any more. */
    Shed = "shed",
    /** The request went away while it waited. */
    Aborted = "aborted",
}

/** The answer to a placement wish. */
export type PlacementOutcome =
    | { readonly placed: true; readonly placement: Placement; }
    | {
        readonly placed: false;
        readonly refusal: PlacementRefusal;
        readonly retryAfterMs: decision.Milliseconds;
    };

/** Places requests on the engines of the pools. */
export interface Scheduling {
    readonly place: (wish: PlacementWish) => Promise<PlacementOutcome>;
}

const LOAD_PERIOD_MS = 250;
const LOAD_TIMEOUT_MS = 500;
const RETRY_AFTER_MS = 1_000;

/** Starts scheduling. */
export function startScheduling(
    context: contexts.Context,
    configuration: configurations.ConfigurationInForce,
    _membership: memberships.Membership,
    known: upstreams.Upstreams,
    _links: peers.Peers,
): Scheduling {
    const queues = new Map<string, pQueue.default>();
    const queueFor = (pool: string) => {
        const queue = queues.get(pool) ?? new pQueue.default({ concurrency: 1 });
        queues.set(pool, queue);
        return queue;
    };
    pollLoads(context, configuration, known);
    return {
        place: (wish) =>
            queueFor(wish.pool).add(async () => placeOnLeastLoaded(known, wish), { priority: -wish.priority }),
    };
}

function placeOnLeastLoaded(known: upstreams.Upstreams, wish: PlacementWish): PlacementOutcome {
    const usable = known.usable(wish.pool).filter((candidate) => !wish.avoid.includes(candidate.name));
    const least = (role: upstream.EngineRole) =>
        usable
            .filter((candidate) => candidate.load?.role === role)
            .sort((left, right) => (left.load?.heldPieces ?? 0) - (right.load?.heldPieces ?? 0))[0];
    const prefill = least(upstream.EngineRole.Prefill);
    const decode = least(upstream.EngineRole.Decode);
    return prefill && decode
        ? { placed: true, placement: { prefill, decode, startAfterMs: 0, end: () => undefined } }
        : { placed: false, refusal: PlacementRefusal.Shed, retryAfterMs: RETRY_AFTER_MS };
}

function pollLoads(
    context: contexts.Context,
    configuration: configurations.ConfigurationInForce,
    known: upstreams.Upstreams,
): void {
    lifecycle.every(context.scope, LOAD_PERIOD_MS, () => {
        const models = Object.values(configuration.current()?.fleet.models ?? {});
        for (const host of new Set(models.map((model) => model.pool))) {
            known.all(host).forEach((candidate) => void pollLoad(context, known, candidate));
        }
    });
}

async function pollLoad(
    context: contexts.Context,
    known: upstreams.Upstreams,
    candidate: upstreams.KnownUpstream,
): Promise<void> {
    const target = { address: candidate.address, agent: context.agent, timeoutMs: LOAD_TIMEOUT_MS };
    const outcome = await upstream.readLoad(target);
    if (outcome.result === upstream.CallResult.Done) {
        known.noteLoad(candidate.name, outcome.value);
    }
}
