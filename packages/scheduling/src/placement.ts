import type * as decision from "@citronlead/decision";
import * as engines from "./engines.js";
import * as messages from "./messages.js";
import * as prefixes from "./prefixes.js";
import type * as states from "./state.js";

/** Where and when a request would run. */
export interface Choice {
    readonly prefill: engines.Engine;
    readonly decode: engines.Engine;
    readonly startAt: decision.Milliseconds;
    /** When the prefill is done. */
    readonly readyAt: decision.Milliseconds;
    /** When the transfer is done. */
    readonly arrivesAt: decision.Milliseconds;
    /** When the links of the two engines are done with the transfer. */
    readonly fromUntil: decision.Milliseconds;
    readonly toUntil: decision.Milliseconds;
    readonly prefillTokens: number;
}

/** A choice, or when to look again. */
export type Chosen =
    | { readonly found: true; readonly choice: Choice; }
    | { readonly found: false; readonly retryAt: decision.Milliseconds; };

/** How many engines of the index are looked at, besides the holders of a prefix. */
const CANDIDATE_COUNT = 6;
const HOLDER_COUNT = 4;
/** The share of the KV cache's survival that waiting and transfer may take. */
const SURVIVAL_SHARE = 0.75;
/** A prefill is given out so long before its engine is free for it. */
const START_AHEAD_MS = 20;
const SLOW_PROBE_MS = 20_000;

/** Pieces of decode memory that a request may come to need. */
export function piecesOf(settings: messages.Settings, ask: messages.Ask): number {
    return Math.ceil((ask.promptTokens + ask.outputTokens) / settings.pieceTokens);
}

/** The share of a prefill engine's memory that is left for prefixes beside the prompts at work. */
const PREFIX_MEMORY_SHARE = 0.5;

/** How many prefix hashes an engine is thought to have memory for. */
export function prefixLimit(settings: messages.Settings, engine: engines.Engine): number {
    const tokens = engine.memoryPieces * settings.pieceTokens * PREFIX_MEMORY_SHARE;
    return Math.floor(tokens / settings.prefixTokens);
}

/** How long the transfer of a request's KV cache takes, in milliseconds. */
export function transferMs(settings: messages.Settings, tokens: number, bytesPerSecond: number): number {
    return tokens * settings.cacheBytesPerToken / bytesPerSecond * 1_000;
}

/** The tokens of a prompt that an engine holds already. */
export function cachedTokens(state: states.State, engine: string, ask: messages.Ask): number {
    const length = prefixes.heldLength(state.prefixes, engine, ask.prefixHashes);
    return Math.min(ask.promptTokens - 1, prefixLength(state.settings, ask, length));
}

/** How many tokens the first so many prefix hashes of a request stand for. */
export function prefixLength(settings: messages.Settings, ask: messages.Ask, hashes: number): number {
    return ask.prefixTokens ? ask.prefixTokens[hashes - 1] ?? 0 : hashes * settings.prefixTokens;
}

/**
 * Chooses the prefill and the decode engine together: for the least loaded decode engine the prefill engine that yields the
 * first token soonest. The next decode engines are looked at where no pair with the first is possible.
 */
export function choose(state: states.State, ask: messages.Ask, now: decision.Milliseconds): Chosen {
    const prefills = prefillCandidates(state, ask);
    let choice: Choice | undefined;
    for (const decode of decodeCandidates(state, ask, now)) {
        choice = prefills
            .map((prefill) => plan(state, ask, prefill, decode, now))
            .reduce<Choice | undefined>(sooner, undefined);
        if (choice) {
            break;
        }
    }
    if (!choice) {
        return { found: false, retryAt: Infinity };
    }
    return choice.startAt - now > START_AHEAD_MS
        ? { found: false, retryAt: choice.startAt - START_AHEAD_MS }
        : { found: true, choice };
}

function sooner(best: Choice | undefined, next: Choice | undefined): Choice | undefined {
    return !next || (best && best.arrivesAt <= next.arrivesAt) ? best : next;
}

function* decodeCandidates(
    state: states.State,
    ask: messages.Ask,
    now: decision.Milliseconds,
): Generator<engines.Engine> {
    const pieces = piecesOf(state.settings, ask);
    const onlySlow = state.decodeIndex.first()?.[0].slow === true;
    const limit = CANDIDATE_COUNT + ask.avoid.length + (ask.suspect ? CANDIDATE_COUNT : 0);
    const fits = (engine: engines.Engine) => {
        const freeAt = engines.slotFreeAt(engine);
        // A stay that should have ended and has not tells nothing about when it will.
        const known = freeAt === 0 || freeAt >= now && freeAt < Infinity;
        return known && takes(engine, ask, now) && engines.fitsMemory(engine, pieces);
    };
    const probe = state.decodeIndex.size > 0 && !onlySlow ? slowToProbe(state, now) : undefined;
    if (probe && fits(probe)) {
        yield probe;
    }
    for (let place = 0; place < limit; place++) {
        const entry = state.decodeIndex.at(place);
        const engine = entry && state.engines.get(entry[1]);
        if (!entry || !engine || entry[0].slow && !onlySlow) {
            return;
        }
        if (fits(engine)) {
            yield engine;
        }
    }
}

/** The slow engine that should be tried again, to see whether it still is slow. */
function slowToProbe(state: states.State, now: decision.Milliseconds): engines.Engine | undefined {
    const last = state.decodeIndex.at(state.decodeIndex.size - 1);
    const engine = last?.[0].slow ? state.engines.get(last[1]) : undefined;
    return engine && engine.probeAt <= now && engines.freeSlots(engine) > 0 ? engine : undefined;
}

/** When a slow engine is tried again after a try. */
export function nextProbe(now: decision.Milliseconds): decision.Milliseconds {
    return now + SLOW_PROBE_MS;
}

function takes(engine: engines.Engine, ask: messages.Ask, now: decision.Milliseconds): boolean {
    return engine.usable && engine.heldBackUntil <= now && !ask.avoid.includes(engine.name)
        && !(ask.suspect && engine.suspects > 0);
}

function prefillCandidates(state: states.State, ask: messages.Ask): readonly engines.Engine[] {
    const names = new Set(prefixes.longestHeld(state.prefixes, ask.prefixHashes)?.engines.slice(0, HOLDER_COUNT));
    for (let place = 0; place < CANDIDATE_COUNT + ask.avoid.length; place++) {
        const entry = state.prefillIndex.at(place);
        if (entry) {
            names.add(entry[1]);
        }
    }
    return [...names]
        .map((name) => state.engines.get(name))
        .filter((engine) => engine?.role === messages.Role.Prefill) as engines.Engine[];
}

function plan(
    state: states.State,
    ask: messages.Ask,
    prefill: engines.Engine,
    decode: engines.Engine,
    now: decision.Milliseconds,
): Choice | undefined {
    if (!takes(prefill, ask, now)) {
        return undefined;
    }
    const { settings } = state;
    const prefillTokens = ask.promptTokens - cachedTokens(state, prefill.name, ask);
    const workMs = prefillTokens / prefill.tokensPerSecond * 1_000;
    const fromMs = transferMs(settings, ask.promptTokens, prefill.linkBytesPerSecond);
    const toMs = transferMs(settings, ask.promptTokens, decode.linkBytesPerSecond);
    const longestMs = settings.prefillSurvivalMs * SURVIVAL_SHARE;
    if (Math.max(fromMs, toMs) > longestMs) {
        return undefined;
    }
    // The result must not wait longer than it lives for its slot or its link.
    const startAt = Math.max(
        now,
        prefill.busyUntil,
        engines.slotFreeAt(decode) - workMs,
        prefill.linkUntil + fromMs - longestMs - workMs,
        decode.linkUntil + toMs - longestMs - workMs,
    );
    const readyAt = startAt + workMs;
    const fromUntil = Math.max(readyAt, prefill.linkUntil) + fromMs;
    const toUntil = Math.max(readyAt, decode.linkUntil) + toMs;
    const arrivesAt = Math.max(fromUntil, toUntil);
    return { prefill, decode, startAt, readyAt, arrivesAt, fromUntil, toUntil, prefillTokens };
}
