import type * as decision from "@citronlead/decision";
import * as messages from "./messages.js";
import * as orderedMap from "./orderedmap.js";

/** A reservation at a decode engine, by the latest time at which it ends. */
export interface StayKey {
    readonly endsBy: decision.Milliseconds;
    readonly id: string;
}

/** An engine as the owner of its shard knows it. */
export interface Engine {
    readonly name: string;
    readonly role: messages.Role;
    readonly incarnation: string;
    readonly sequence: number;
    readonly usable: boolean;
    readonly slots: number;
    readonly memoryPieces: number;
    /** The owner's own reservations. */
    readonly stays: orderedMap.OrderedMap<StayKey, true>;
    readonly reservedPieces: number;
    /** What runs there without a reservation of this owner, by the latest report. */
    readonly foreign: number;
    readonly foreignPieces: number;
    readonly suspects: number;
    /** When the latest reservations ended; reports that lag still count them. */
    readonly recentEnds: readonly { readonly at: decision.Milliseconds; readonly pieces: number; }[];
    /** Time between two tokens of a stream, as seen lately. */
    readonly tokenMs: decision.Milliseconds;
    readonly tokensPerSecond: number;
    readonly linkBytesPerSecond: number;
    /** Transfers in a row that were much slower than the link's rate. */
    readonly slowTransfers: number;
    /** When the latest prefill was seen to be done. */
    readonly doneAt: decision.Milliseconds;
    /** When the prefills given out so far are done. */
    readonly busyUntil: decision.Milliseconds;
    /** When the transfers given out so far are done. */
    readonly linkUntil: decision.Milliseconds;
    /** Not used until then, after a failure. */
    readonly heldBackUntil: decision.Milliseconds;
    readonly failures: readonly decision.Milliseconds[];
    /** When the engine, being slow, may be tried again. */
    readonly probeAt: decision.Milliseconds;
}

/** The place of an engine in the index of its role. */
export interface EngineKey {
    readonly slow: boolean;
    /** For decode the time when a slot is free, for prefill when it is done with its work. */
    readonly from: decision.Milliseconds;
    readonly load: number;
    readonly name: string;
}

/** Compares places: engines that are quick, free early and little loaded come first. */
export function compareEngines(left: EngineKey, right: EngineKey): number {
    return Number(left.slow) - Number(right.slow) || left.from - right.from || left.load - right.load
        || orderedMap.compareText(left.name, right.name);
}

/** An engine that reported for the first time. */
export function makeEngine(settings: messages.Settings, report: messages.Report): Engine {
    return {
        name: report.engine,
        role: report.role,
        incarnation: report.incarnation,
        sequence: -1,
        usable: report.usable,
        slots: report.slots,
        memoryPieces: report.memoryPieces,
        stays: orderedMap.OrderedMap.empty(compareStays),
        reservedPieces: 0,
        foreign: 0,
        foreignPieces: 0,
        suspects: 0,
        recentEnds: [],
        tokenMs: settings.tokenMs,
        tokensPerSecond: settings.prefillTokensPerSecond,
        linkBytesPerSecond: settings.linkBytesPerSecond,
        slowTransfers: 0,
        doneAt: 0,
        busyUntil: 0,
        linkUntil: 0,
        heldBackUntil: 0,
        failures: [],
        probeAt: 0,
    };
}

function compareStays(left: StayKey, right: StayKey): number {
    return left.endsBy - right.endsBy || orderedMap.compareText(left.id, right.id);
}

/** How many slots are free, by reservations first and by the latest report. */
export function freeSlots(engine: Engine): number {
    return Math.max(0, engine.slots - engine.stays.size - engine.foreign);
}

/** Reservations that may be made for slots that are not free yet. */
export const RESERVED_AHEAD = 2;

/** When a slot is free: 0 for now, the time by which a stay must have ended, Infinity if nothing says when. */
export function slotFreeAt(engine: Engine): decision.Milliseconds {
    const over = engine.stays.size + engine.foreign - engine.slots;
    if (over < 0) {
        return 0;
    }
    return over < RESERVED_AHEAD ? engine.stays.at(over)?.[0].endsBy ?? Infinity : Infinity;
}

/** Whether so many more pieces fit the engine's memory. */
export function fitsMemory(engine: Engine, pieces: number): boolean {
    return engine.reservedPieces + engine.foreignPieces + pieces <= engine.memoryPieces;
}

/** A pace that is worse than the target by less than this factor may be chance. */
const SLOW_FACTOR = 1.25;

/** Whether streams run there at a pace beyond the target. */
export function isSlow(engine: Engine, settings: messages.Settings): boolean {
    return engine.role === messages.Role.Decode && engine.tokenMs > settings.betweenTokensTargetMs * SLOW_FACTOR;
}

/** The engine's place in the index of its role. */
export function keyOf(engine: Engine, settings: messages.Settings): EngineKey {
    const decode = engine.role === messages.Role.Decode;
    return {
        slow: isSlow(engine, settings),
        from: decode ? slotFreeAt(engine) : Math.max(engine.busyUntil, engine.linkUntil - settings.prefillSurvivalMs),
        load: decode ? (engine.stays.size + engine.foreign) / Math.max(1, engine.slots) : 0,
        name: engine.name,
    };
}

/** Takes in a report: it corrects the owner's own count, which is newer, by what the owner did not place. */
export function takeReport(
    engine: Engine,
    report: messages.Report,
    lagMs: decision.Milliseconds,
    now: decision.Milliseconds,
): Engine {
    if (report.incarnation === engine.incarnation && report.sequence <= engine.sequence) {
        return engine;
    }
    const failedAt = engine.failures.at(-1) ?? -Infinity;
    const older = report.incarnation === engine.incarnation && now < failedAt + lagMs;
    const recentEnds = engine.recentEnds.filter((end) => end.at > now - lagMs);
    const recentPieces = recentEnds.reduce((sum, end) => sum + end.pieces, 0);
    const foreign = Math.max(0, report.running - engine.stays.size - recentEnds.length);
    const unaccounted = report.heldPieces - engine.reservedPieces - recentPieces;
    return {
        ...engine,
        incarnation: report.incarnation,
        sequence: report.sequence,
        role: report.role,
        // A report from before the failure says nothing about the time after it.
        usable: report.usable && (engine.usable || !older),
        slots: report.slots,
        memoryPieces: report.memoryPieces,
        foreign,
        foreignPieces: foreign > 0 ? Math.max(0, unaccounted) : 0,
        recentEnds,
    };
}

const PACE_SHARE = 0.3;
/** An observation that is better by more than this factor is believed at once, one that is worse by halves. */
const JUMP_FACTOR = 2;

/** Moves a time towards a new observation. */
export function blendTime(former: decision.Milliseconds, seen: decision.Milliseconds): decision.Milliseconds {
    if (seen * JUMP_FACTOR < former) {
        return seen;
    }
    const share = seen > former * JUMP_FACTOR ? 1 / 2 : PACE_SHARE;
    return former + share * (seen - former);
}

/** Moves a rate towards a new observation. */
export function blendRate(former: number, seen: number): number {
    const jumped = seen > former * JUMP_FACTOR || seen < former / JUMP_FACTOR;
    return jumped ? seen : former + PACE_SHARE * (seen - former);
}

const FAILURE_WINDOW_MS = 300_000;
/** Failures closer together than this are taken for one. */
const FAILURE_MERGE_MS = 3_000;
const FIRST_HOLD_MS = 1_000;
const LONGEST_HOLD_MS = 60_000;

/**
 * Takes note of a failure of an engine that was in use. The engine gets no work until it reports anew; from the second failure within the window on it
 * is also held back for a time that doubles with each, so that a crash loop gets little work.
 */
export function takeFailure(engine: Engine, now: decision.Milliseconds): Engine {
    const last = engine.failures.at(-1);
    if (last !== undefined && now < last + FAILURE_MERGE_MS) {
        return { ...engine, usable: false };
    }
    const failures = [...engine.failures.filter((at) => at > now - FAILURE_WINDOW_MS), now];
    const holdMs = failures.length < 2 ? 0 : Math.min(LONGEST_HOLD_MS, FIRST_HOLD_MS * 2 ** (failures.length - 2));
    return { ...engine, failures, heldBackUntil: now + holdMs, usable: false };
}

const SLOW_TRANSFER_FACTOR = 2;
const SLOW_TRANSFER_MARGIN_MS = 50;
/** One end of a slow transfer is to blame: the engine whose transfers all are slow. */
const SLOW_TRANSFERS_IN_A_ROW = 3;

/** One end of a transfer, before and after it. */
export interface TransferEnds {
    readonly from: Engine;
    readonly to: Engine;
}

/**
 * Takes note of one transfer. One that is as quick as expected shows that both ends can do that much; one that is much
 * slower counts against both, and lowers the end that has the longer row of slow ones. What is expected includes the time
 * for which earlier transfers held the links.
 */
export function takeTransfer(
    ends: TransferEnds,
    bytes: number,
    expectedMs: decision.Milliseconds,
    elapsedMs: decision.Milliseconds,
    nominalBytesPerSecond: number,
): TransferEnds {
    const { from, to } = ends;
    const alone = bytes / Math.min(from.linkBytesPerSecond, to.linkBytesPerSecond) * 1_000;
    const queuedMs = Math.max(0, expectedMs - alone);
    const seen = Math.min(nominalBytesPerSecond, bytes / Math.max(1, elapsedMs - queuedMs) * 1_000);
    if (elapsedMs <= expectedMs * SLOW_TRANSFER_FACTOR + SLOW_TRANSFER_MARGIN_MS) {
        return { from: raiseLink(from, seen), to: raiseLink(to, seen) };
    }
    const strike = (engine: Engine) => ({ ...engine, slowTransfers: engine.slowTransfers + 1 });
    const [struckFrom, struckTo] = [strike(from), strike(to)];
    return struckFrom.slowTransfers >= struckTo.slowTransfers
        ? { from: lowerLink(struckFrom, seen), to: struckTo }
        : { from: struckFrom, to: lowerLink(struckTo, seen) };
}

function raiseLink(engine: Engine, bytesPerSecond: number): Engine {
    const linkBytesPerSecond = Math.max(engine.linkBytesPerSecond, bytesPerSecond);
    return { ...engine, linkBytesPerSecond, slowTransfers: 0 };
}

function lowerLink(engine: Engine, bytesPerSecond: number): Engine {
    const linkBytesPerSecond = Math.min(engine.linkBytesPerSecond, bytesPerSecond);
    return engine.slowTransfers < SLOW_TRANSFERS_IN_A_ROW ? engine : { ...engine, linkBytesPerSecond };
}
