import type * as decision from "@citronlead/decision";
import * as engines from "./engines.js";
import * as messages from "./messages.js";
import * as prefixIndex from "./prefixindex.js";
import type * as states from "./state.js";

/** A possible placement: the engines of a request and when it would use them. */
export interface PlacementPlan {
    readonly prefill: engines.Engine;
    readonly decode: engines.Engine;
    readonly startAt: decision.Milliseconds;
    readonly prefillDoneAt: decision.Milliseconds;
    readonly transferDoneAt: decision.Milliseconds;
    /** When each engine's link is done with the transfer. */
    readonly prefillLinkBusyUntil: decision.Milliseconds;
    readonly decodeLinkBusyUntil: decision.Milliseconds;
    /** Prompt tokens that the prefill engine does not have cached. */
    readonly prefillTokens: number;
}

/** A plan that can be granted now, or when to try again. */
export type PlacementResult =
    | { readonly found: true; readonly plan: PlacementPlan; }
    | { readonly found: false; readonly retryAt: decision.Milliseconds; };

/** How many engines from the start of an index are considered. */
const MAX_CANDIDATES = 6;
/** How many further prefill engines are considered because they have the longest prefix cached. */
const MAX_PREFIX_CANDIDATES = 4;
/** The share of the survival time of a prefill's result that waiting for the links and the transfer may take. */
const SURVIVAL_SHARE = 0.75;
/** How long before its planned start a prefill may be granted. */
const DISPATCH_AHEAD_MS = 20;
const SLOW_PROBE_INTERVAL_MS = 20_000;

/** Pieces of decode memory that a request needs if its answer reaches its upper bound. */
export function requiredPieces(settings: messages.Settings, request: messages.ReservationRequest): number {
    return Math.ceil((request.promptTokens + request.outputTokens) / settings.pieceTokens);
}

/** The share of a prefill engine's memory that is assumed to hold cached prefixes; the rest holds running prompts. */
const PREFIX_MEMORY_SHARE = 0.5;

/** How many prefixes, one per hash, are assumed to fit in an engine's memory. */
export function maxPrefixHashes(settings: messages.Settings, engine: engines.Engine): number {
    const tokens = engine.memoryPieces * settings.pieceTokens * PREFIX_MEMORY_SHARE;
    return Math.floor(tokens / settings.prefixTokens);
}

/** How long the transfer of the KV cache of a number of tokens takes, in milliseconds. */
export function transferMs(settings: messages.Settings, tokens: number, bytesPerSecond: number): number {
    return tokens * settings.cacheBytesPerToken / bytesPerSecond * 1_000;
}

/** The prompt tokens that an engine has cached. At least one token is always left to prefill. */
export function cachedTokens(state: states.State, engine: string, request: messages.ReservationRequest): number {
    const length = prefixIndex.cachedPrefixLength(state.prefixIndex, engine, request.prefixHashes);
    return Math.min(request.promptTokens - 1, prefixTokenCount(state.settings, request, length));
}

/** The length in tokens of the prefix made of a request's first prefix hashes. */
export function prefixTokenCount(
    settings: messages.Settings,
    request: messages.ReservationRequest,
    hashes: number,
): number {
    return request.prefixTokens ? request.prefixTokens[hashes - 1] ?? 0 : hashes * settings.prefixTokens;
}

/**
 * Chooses the prefill and the decode engine together: for the preferred decode engine, the prefill engine that yields the
 * first token soonest. Tries the next decode engine only if no prefill engine can be paired with the one before.
 */
export function choosePlacement(
    state: states.State,
    request: messages.ReservationRequest,
    now: decision.Milliseconds,
): PlacementResult {
    const prefills = prefillCandidates(state, request);
    let plan: PlacementPlan | undefined;
    for (const decode of decodeCandidates(state, request, now)) {
        plan = prefills
            .map((prefill) => planPlacement(state, request, prefill, decode, now))
            .reduce<PlacementPlan | undefined>(earlierTransfer, undefined);
        if (plan) {
            break;
        }
    }
    if (!plan) {
        return { found: false, retryAt: Infinity };
    }
    return plan.startAt - now > DISPATCH_AHEAD_MS
        ? { found: false, retryAt: plan.startAt - DISPATCH_AHEAD_MS }
        : { found: true, plan };
}

function earlierTransfer(best: PlacementPlan | undefined, next: PlacementPlan | undefined): PlacementPlan | undefined {
    return !next || (best && best.transferDoneAt <= next.transferDoneAt) ? best : next;
}

/** The decode engines that can take a request, in order of preference. A slow engine due for a probe comes first. */
function* decodeCandidates(
    state: states.State,
    request: messages.ReservationRequest,
    now: decision.Milliseconds,
): Generator<engines.Engine> {
    const pieces = requiredPieces(state.settings, request);
    const onlySlow = state.decodeIndex.first()?.[0].slow === true;
    const limit = MAX_CANDIDATES + request.avoid.length + (request.suspect ? MAX_CANDIDATES : 0);
    const fits = (engine: engines.Engine) => {
        const freeAt = engines.slotFreeAt(engine);
        // A reservation that is overdue does not tell when its slot will be free.
        const known = freeAt === 0 || freeAt >= now && freeAt < Infinity;
        return known && acceptsRequest(engine, request, now) && engines.fitsMemory(engine, pieces);
    };
    const probe = state.decodeIndex.size > 0 && !onlySlow ? dueSlowProbe(state, now) : undefined;
    if (probe && fits(probe)) {
        yield probe;
    }
    for (let index = 0; index < limit; index++) {
        const entry = state.decodeIndex.at(index);
        const engine = entry && state.engines.get(entry[1]);
        if (!entry || !engine || entry[0].slow && !onlySlow) {
            return;
        }
        if (fits(engine)) {
            yield engine;
        }
    }
}

/** The slow decode engine that is due for a probe, to find out whether it is still slow. */
function dueSlowProbe(state: states.State, now: decision.Milliseconds): engines.Engine | undefined {
    const last = state.decodeIndex.at(state.decodeIndex.size - 1);
    const engine = last?.[0].slow ? state.engines.get(last[1]) : undefined;
    return engine && engine.nextProbeAt <= now && engines.freeSlots(engine) > 0 ? engine : undefined;
}

/** When a slow engine is probed again after a probe at the given time. */
export function nextProbeTime(now: decision.Milliseconds): decision.Milliseconds {
    return now + SLOW_PROBE_INTERVAL_MS;
}

function acceptsRequest(
    engine: engines.Engine,
    request: messages.ReservationRequest,
    now: decision.Milliseconds,
): boolean {
    return engine.usable && engine.backoffUntil <= now && !request.avoid.includes(engine.name)
        && !(request.suspect && engine.suspects > 0);
}

/** Prefill engines to consider: those with the longest prefix cached, then those that are free soonest. */
function prefillCandidates(state: states.State, request: messages.ReservationRequest): readonly engines.Engine[] {
    const names = new Set(
        prefixIndex.longestCachedPrefix(state.prefixIndex, request.prefixHashes)?.engines.slice(
            0,
            MAX_PREFIX_CANDIDATES,
        ),
    );
    for (let index = 0; index < MAX_CANDIDATES + request.avoid.length; index++) {
        const entry = state.prefillIndex.at(index);
        if (entry) {
            names.add(entry[1]);
        }
    }
    return [...names]
        .map((name) => state.engines.get(name))
        .filter((engine) => engine?.role === messages.Role.Prefill) as engines.Engine[];
}

/** Plans a request on a pair of engines. Returns undefined if the pair cannot serve it. */
function planPlacement(
    state: states.State,
    request: messages.ReservationRequest,
    prefill: engines.Engine,
    decode: engines.Engine,
    now: decision.Milliseconds,
): PlacementPlan | undefined {
    if (!acceptsRequest(prefill, request, now)) {
        return undefined;
    }
    const { settings } = state;
    const prefillTokens = request.promptTokens - cachedTokens(state, prefill.name, request);
    const prefillMs = prefillTokens / prefill.tokensPerSecond * 1_000;
    const prefillLinkMs = transferMs(settings, request.promptTokens, prefill.linkBytesPerSecond);
    const decodeLinkMs = transferMs(settings, request.promptTokens, decode.linkBytesPerSecond);
    const maxWaitMs = settings.prefillSurvivalMs * SURVIVAL_SHARE;
    if (Math.max(prefillLinkMs, decodeLinkMs) > maxWaitMs) {
        return undefined;
    }
    // The prefill starts late enough that its result does not expire while it waits for the decode slot or for a link.
    const startAt = Math.max(
        now,
        prefill.busyUntil,
        engines.slotFreeAt(decode) - prefillMs,
        prefill.linkBusyUntil + prefillLinkMs - maxWaitMs - prefillMs,
        decode.linkBusyUntil + decodeLinkMs - maxWaitMs - prefillMs,
    );
    const prefillDoneAt = startAt + prefillMs;
    const prefillLinkBusyUntil = Math.max(prefillDoneAt, prefill.linkBusyUntil) + prefillLinkMs;
    const decodeLinkBusyUntil = Math.max(prefillDoneAt, decode.linkBusyUntil) + decodeLinkMs;
    const transferDoneAt = Math.max(prefillLinkBusyUntil, decodeLinkBusyUntil);
    return {
        prefill,
        decode,
        startAt,
        prefillDoneAt,
        transferDoneAt,
        prefillLinkBusyUntil,
        decodeLinkBusyUntil,
        prefillTokens,
    };
}
