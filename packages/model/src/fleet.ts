import type * as decision from "@citronlead/decision";
import * as scheduling from "@citronlead/scheduling";
import type * as clocks from "./clock.js";
import * as engineModels from "./engines.js";
import type * as policies from "./policies.js";
import type * as scenarios from "./scenario.js";

/** Simulated engines of a pool, by name. */
export interface SimulatedFleet {
    readonly prefill: ReadonlyMap<string, engineModels.SimulatedPrefillEngine>;
    readonly decode: ReadonlyMap<string, engineModels.SimulatedDecodeEngine>;
}

/** Receives a change of an engine's prefix cache. */
export type CacheChangeHandler = (engine: string, sequence: number, stored: boolean, hash: string) => void;

const REPORT_PERIOD_MS = 250;
const REPORT_LAG_MS = 1_000;
const CACHE_EVENT_LAG_MS = 700;
const CACHE_EVENT_LOSS_RATIO = 0.05;
const RESTART_MS = 5_000;

/** Creates the engines of a pool. A scenario's slowdowns apply to the first prefill and the first decode engine. */
export function makeFleet(
    clock: clocks.SimulationClock,
    random: decision.Random,
    scenario: scenarios.Scenario,
    speeds: engineModels.EngineSpeeds,
    prefillNames: readonly string[],
    decodeNames: readonly string[],
    onCacheChange: CacheChangeHandler,
): SimulatedFleet {
    const makePrefill = (name: string) => {
        let sequence = 0;
        return new engineModels.SimulatedPrefillEngine(name, clock, speeds, (stored, hash) => {
            const number = sequence++;
            if (!random.chance(CACHE_EVENT_LOSS_RATIO)) {
                clock.runAt(clock.now + CACHE_EVENT_LAG_MS, () => onCacheChange(name, number, stored, hash));
            }
        });
    };
    const prefill = new Map(prefillNames.map((name) => [name, makePrefill(name)]));
    const decode = new Map(
        decodeNames.map((name) => [name, new engineModels.SimulatedDecodeEngine(name, clock, speeds)]),
    );
    const firstPrefill = prefill.get(prefillNames[0] ?? "");
    const firstDecode = decode.get(decodeNames[0] ?? "");
    if (firstPrefill && firstDecode) {
        firstPrefill.slowdown = scenario.prefillSlowdown;
        firstPrefill.link.bytesPerSecond /= scenario.linkSlowdown;
        firstDecode.slowdown = scenario.decodeSlowdown;
    }
    return { prefill, decode };
}

/** Publishes load reports periodically. Each arrives after the report lag, except the first, which arrives at once. */
export function publishReports(
    clock: clocks.SimulationClock,
    fleet: SimulatedFleet,
    speeds: engineModels.EngineSpeeds,
    pieceTokens: number,
    untilMs: decision.Milliseconds,
    onReport: (report: policies.SimulatedReport) => void,
): void {
    let sequence = 0;
    const publish = (lagMs: decision.Milliseconds) => {
        sequence++;
        const common = { sequence, memoryPieces: speeds.memoryTokens / pieceTokens, usable: true };
        const reports: policies.SimulatedReport[] = [
            ...[...fleet.prefill.values()].map((engine) => ({
                ...common,
                engine: engine.name,
                role: scheduling.Role.Prefill,
                incarnation: "0",
                slots: 0,
                running: 0,
                heldPieces: 0,
                queuedTokens: engine.queuedTokens,
            })),
            ...[...fleet.decode.values()].filter((engine) => !engine.down).map((engine) => ({
                ...common,
                engine: engine.name,
                role: scheduling.Role.Decode,
                incarnation: String(engine.incarnation),
                slots: speeds.slots,
                running: engine.streams,
                heldPieces: Math.ceil(engine.reservedMemoryTokens / pieceTokens),
                queuedTokens: 0,
            })),
        ];
        clock.runAt(clock.now + lagMs, () => reports.forEach(onReport));
        if (clock.now < untilMs) {
            clock.runAt(clock.now + REPORT_PERIOD_MS, () => publish(REPORT_LAG_MS));
        }
    };
    publish(0);
}

/** Crashes the decode engines in turn, one in each crash period. */
export function crashEngines(clock: clocks.SimulationClock, fleet: SimulatedFleet, scenario: scenarios.Scenario): void {
    const engines = [...fleet.decode.values()];
    const period = scenario.crashPeriodMs;
    const crash = (index: number) => {
        const engine = engines[index % engines.length];
        engine?.crash();
        clock.runAt(clock.now + RESTART_MS, () => {
            if (engine) {
                engine.down = false;
            }
        });
        if (clock.now + period < scenario.durationMs) {
            clock.runAt(clock.now + period, () => crash(index + 1));
        }
    };
    if (period > 0) {
        clock.runAt(period / 2, () => crash(0));
    }
}

/** Time that a decode engine takes to restart after a crash. */
export const RESTART_TIME_MS = RESTART_MS;
