import type * as decision from "@citronlead/decision";
import * as messages from "./messages.js";
import * as orderedMap from "./orderedmap.js";

/** Orders the reservations of a decode engine by the time by which they are expected to have ended. */
export interface ReservationKey {
    readonly endsBy: decision.Milliseconds;
    readonly id: string;
}

/** What the scheduler of a shard knows about one of its engines. */
export interface Engine {
    readonly name: string;
    readonly role: messages.Role;
    readonly incarnation: string;
    /** The sequence number of the latest report; -1 before the first. */
    readonly sequence: number;
    readonly usable: boolean;
    readonly slots: number;
    readonly memoryPieces: number;
    /** The reservations made by this scheduler. */
    readonly reservations: orderedMap.OrderedMap<ReservationKey, true>;
    readonly reservedPieces: number;
    /** Requests and memory on the engine that this scheduler has not reserved, according to the latest report. */
    readonly unreservedRunning: number;
    readonly unreservedPieces: number;
    /** How many suspect requests are placed on the engine. */
    readonly suspects: number;
    /** Reservations that ended within the report lag; a report may still count them. */
    readonly recentEnds: readonly { readonly at: decision.Milliseconds; readonly pieces: number; }[];
    /** Moving average of the time between two tokens of a stream. */
    readonly tokenMs: decision.Milliseconds;
    /** Moving average of the prefill rate. */
    readonly tokensPerSecond: number;
    /** Measured rate of the engine's link. */
    readonly linkBytesPerSecond: number;
    /** Consecutive transfers that were much slower than expected. */
    readonly consecutiveSlowTransfers: number;
    /** When the latest completed prefill was reported. */
    readonly prefillDoneAt: decision.Milliseconds;
    /** When the prefills granted so far are expected to be done. */
    readonly busyUntil: decision.Milliseconds;
    /** When the transfers planned so far are expected to be done. */
    readonly linkBusyUntil: decision.Milliseconds;
    /** The end of the back-off after failures; the engine gets no requests before it. */
    readonly backoffUntil: decision.Milliseconds;
    /** Failures within the failure window, oldest first. */
    readonly failureTimes: readonly decision.Milliseconds[];
    /** When the engine, if it is slow, may get a request again as a probe. */
    readonly nextProbeAt: decision.Milliseconds;
}

/** The sort key of an engine in the index of its role. */
export interface EngineKey {
    readonly slow: boolean;
    /** When a decode engine has a free slot, or when a prefill engine can start another prefill. */
    readonly availableAt: decision.Milliseconds;
    /** Requests per slot of a decode engine; 0 for a prefill engine. */
    readonly load: number;
    readonly name: string;
}

/** Orders engines that are not slow first, then by the time at which they are available, then by load. */
export function compareEngines(left: EngineKey, right: EngineKey): number {
    return Number(left.slow) - Number(right.slow) || left.availableAt - right.availableAt || left.load - right.load
        || orderedMap.compareStrings(left.name, right.name);
}

/** Makes the state of an engine at its first report, before that report is applied. */
export function makeEngine(settings: messages.Settings, report: messages.Report): Engine {
    return {
        name: report.engine,
        role: report.role,
        incarnation: report.incarnation,
        sequence: -1,
        usable: report.usable,
        slots: report.slots,
        memoryPieces: report.memoryPieces,
        reservations: orderedMap.OrderedMap.empty(compareReservations),
        reservedPieces: 0,
        unreservedRunning: 0,
        unreservedPieces: 0,
        suspects: 0,
        recentEnds: [],
        tokenMs: settings.tokenMs,
        tokensPerSecond: settings.prefillTokensPerSecond,
        linkBytesPerSecond: settings.linkBytesPerSecond,
        consecutiveSlowTransfers: 0,
        prefillDoneAt: 0,
        busyUntil: 0,
        linkBusyUntil: 0,
        backoffUntil: 0,
        failureTimes: [],
        nextProbeAt: 0,
    };
}

function compareReservations(left: ReservationKey, right: ReservationKey): number {
    return left.endsBy - right.endsBy || orderedMap.compareStrings(left.id, right.id);
}

/** How many slots are free, given the reservations and the latest report. */
export function freeSlots(engine: Engine): number {
    return Math.max(0, engine.slots - engine.reservations.size - engine.unreservedRunning);
}

/** How many reservations an engine may have beyond its slots, for slots that are not free yet. */
export const MAX_RESERVED_AHEAD = 2;

/** When a slot is free: 0 if now, the expected end of a reservation if all are taken, Infinity if unknown. */
export function slotFreeAt(engine: Engine): decision.Milliseconds {
    const excess = engine.reservations.size + engine.unreservedRunning - engine.slots;
    if (excess < 0) {
        return 0;
    }
    return excess < MAX_RESERVED_AHEAD ? engine.reservations.at(excess)?.[0].endsBy ?? Infinity : Infinity;
}

/** Whether the given number of further pieces fits in the engine's memory. */
export function fitsMemory(engine: Engine, pieces: number): boolean {
    return engine.reservedPieces + engine.unreservedPieces + pieces <= engine.memoryPieces;
}

/** An engine that exceeds the target by less than this factor is not counted as slow; it may be random variation. */
const SLOW_FACTOR = 1.25;

/** Whether the time between tokens on a decode engine exceeds the target. */
export function isSlow(engine: Engine, settings: messages.Settings): boolean {
    return engine.role === messages.Role.Decode && engine.tokenMs > settings.betweenTokensTargetMs * SLOW_FACTOR;
}

export function indexKey(engine: Engine, settings: messages.Settings): EngineKey {
    const decode = engine.role === messages.Role.Decode;
    return {
        slow: isSlow(engine, settings),
        availableAt: decode
            ? slotFreeAt(engine)
            : Math.max(engine.busyUntil, engine.linkBusyUntil - settings.prefillSurvivalMs),
        load: decode ? (engine.reservations.size + engine.unreservedRunning) / Math.max(1, engine.slots) : 0,
        name: engine.name,
    };
}

/**
 * Applies a load report. The scheduler's own reservations are more recent than any report, so the report only adds the
 * requests and memory that they do not account for. Reports with an old sequence number are ignored.
 */
export function applyReport(
    engine: Engine,
    report: messages.Report,
    lagMs: decision.Milliseconds,
    now: decision.Milliseconds,
): Engine {
    if (report.incarnation === engine.incarnation && report.sequence <= engine.sequence) {
        return engine;
    }
    const failedAt = engine.failureTimes.at(-1) ?? -Infinity;
    const mayPredateFailure = report.incarnation === engine.incarnation && now < failedAt + lagMs;
    const recentEnds = engine.recentEnds.filter((end) => end.at > now - lagMs);
    const recentPieces = recentEnds.reduce((sum, end) => sum + end.pieces, 0);
    const unreservedRunning = Math.max(0, report.running - engine.reservations.size - recentEnds.length);
    const unaccounted = report.heldPieces - engine.reservedPieces - recentPieces;
    return {
        ...engine,
        incarnation: report.incarnation,
        sequence: report.sequence,
        role: report.role,
        // A report made before the failure does not show that the engine is usable after it.
        usable: report.usable && (engine.usable || !mayPredateFailure),
        slots: report.slots,
        memoryPieces: report.memoryPieces,
        unreservedRunning,
        unreservedPieces: unreservedRunning > 0 ? Math.max(0, unaccounted) : 0,
        recentEnds,
    };
}

/** Weight of a new observation in an engine's moving averages. */
const SMOOTHING_FACTOR = 0.3;
/**
 * An observation that differs from the average by more than this factor replaces it at once; but a longer time moves the
 * average only half way.
 */
const JUMP_FACTOR = 2;

/** Updates a moving average of a time with an observation. */
export function smoothTime(previous: decision.Milliseconds, observed: decision.Milliseconds): decision.Milliseconds {
    if (observed * JUMP_FACTOR < previous) {
        return observed;
    }
    const factor = observed > previous * JUMP_FACTOR ? 1 / 2 : SMOOTHING_FACTOR;
    return previous + factor * (observed - previous);
}

/** Updates a moving average of a rate with an observation. */
export function smoothRate(previous: number, observed: number): number {
    const jumped = observed > previous * JUMP_FACTOR || observed < previous / JUMP_FACTOR;
    return jumped ? observed : previous + SMOOTHING_FACTOR * (observed - previous);
}

const FAILURE_WINDOW_MS = 300_000;
/** Failures closer together than this count as one. */
const FAILURE_MERGE_MS = 3_000;
const MIN_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 60_000;

/**
 * Records a failure. The engine gets no requests until it reports again. From the second failure within the window on, it
 * also backs off for a time that doubles with each failure, so that an engine in a crash loop gets few requests.
 */
export function recordFailure(engine: Engine, now: decision.Milliseconds): Engine {
    const last = engine.failureTimes.at(-1);
    if (last !== undefined && now < last + FAILURE_MERGE_MS) {
        return { ...engine, usable: false };
    }
    const failureTimes = [...engine.failureTimes.filter((at) => at > now - FAILURE_WINDOW_MS), now];
    const backoffMs = failureTimes.length < 2
        ? 0
        : Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (failureTimes.length - 2));
    return { ...engine, failureTimes, backoffUntil: now + backoffMs, usable: false };
}

const SLOW_TRANSFER_FACTOR = 2;
const SLOW_TRANSFER_MARGIN_MS = 50;
/**
 * Consecutive slow transfers before an engine's link rate is lowered. A single one does not show which of the two engines
 * is slow; it is the one whose transfers are all slow.
 */
const MIN_SLOW_TRANSFERS = 3;

/** The two engines of a transfer. */
export interface TransferEndpoints {
    readonly from: Engine;
    readonly to: Engine;
}

/**
 * Updates the link rates of two engines after a transfer between them. A transfer that takes about the expected time shows
 * that both links reach the observed rate. A much slower one is counted for both engines, and lowers the rate of the engine
 * with more consecutive slow transfers. The expected time includes waiting for earlier transfers on the links.
 */
export function recordTransfer(
    endpoints: TransferEndpoints,
    bytes: number,
    expectedMs: decision.Milliseconds,
    elapsedMs: decision.Milliseconds,
    nominalBytesPerSecond: number,
): TransferEndpoints {
    const { from, to } = endpoints;
    const unqueuedMs = bytes / Math.min(from.linkBytesPerSecond, to.linkBytesPerSecond) * 1_000;
    const queuedMs = Math.max(0, expectedMs - unqueuedMs);
    const observed = Math.min(nominalBytesPerSecond, bytes / Math.max(1, elapsedMs - queuedMs) * 1_000);
    if (elapsedMs <= expectedMs * SLOW_TRANSFER_FACTOR + SLOW_TRANSFER_MARGIN_MS) {
        return { from: raiseLinkRate(from, observed), to: raiseLinkRate(to, observed) };
    }
    const countSlowTransfer = (engine: Engine) => ({
        ...engine,
        consecutiveSlowTransfers: engine.consecutiveSlowTransfers + 1,
    });
    const [slowFrom, slowTo] = [countSlowTransfer(from), countSlowTransfer(to)];
    return slowFrom.consecutiveSlowTransfers >= slowTo.consecutiveSlowTransfers
        ? { from: lowerLinkRate(slowFrom, observed), to: slowTo }
        : { from: slowFrom, to: lowerLinkRate(slowTo, observed) };
}

function raiseLinkRate(engine: Engine, bytesPerSecond: number): Engine {
    const linkBytesPerSecond = Math.max(engine.linkBytesPerSecond, bytesPerSecond);
    return { ...engine, linkBytesPerSecond, consecutiveSlowTransfers: 0 };
}

function lowerLinkRate(engine: Engine, bytesPerSecond: number): Engine {
    const linkBytesPerSecond = Math.min(engine.linkBytesPerSecond, bytesPerSecond);
    return engine.consecutiveSlowTransfers < MIN_SLOW_TRANSFERS ? engine : { ...engine, linkBytesPerSecond };
}
