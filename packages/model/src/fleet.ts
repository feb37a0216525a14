import type * as decision from "@citronlead/decision";
import * as scheduling from "@citronlead/scheduling";
import type * as clocks from "./clock.js";
import * as engineModels from "./engines.js";
import type * as policies from "./policies.js";
import type * as scenarios from "./scenario.js";

/** The engines of one pool. */
export interface ModelFleet {
    readonly prefill: ReadonlyMap<string, engineModels.PrefillModel>;
    readonly decode: ReadonlyMap<string, engineModels.DecodeModel>;
}

/** Takes a cache event of an engine. */
export type TakeCacheChange = (engine: string, sequence: number, stored: boolean, hash: string) => void;

const REPORT_PERIOD_MS = 250;
const REPORT_LAG_MS = 1_000;
const CACHE_EVENT_LAG_MS = 700;
/** The share of cache events that are lost. */
const CACHE_EVENT_LOSS = 0.05;
const RESTART_MS = 5_000;

/** Makes the engines with a scenario's slow ones among them. */
export function makeFleet(
    clock: clocks.ModelClock,
    random: decision.Random,
    scenario: scenarios.Scenario,
    speeds: engineModels.EngineSpeeds,
    prefillNames: readonly string[],
    decodeNames: readonly string[],
    cacheChange: TakeCacheChange,
): ModelFleet {
    const makePrefill = (name: string) => {
        let sequence = 0;
        return new engineModels.PrefillModel(name, clock, speeds, (stored, hash) => {
            const number = sequence++;
            if (!random.chance(CACHE_EVENT_LOSS)) {
                clock.at(clock.now + CACHE_EVENT_LAG_MS, () => cacheChange(name, number, stored, hash));
            }
        });
    };
    const prefill = new Map(prefillNames.map((name) => [name, makePrefill(name)]));
    const decode = new Map(decodeNames.map((name) => [name, new engineModels.DecodeModel(name, clock, speeds)]));
    const firstPrefill = prefill.get(prefillNames[0] ?? "");
    const firstDecode = decode.get(decodeNames[0] ?? "");
    if (firstPrefill && firstDecode) {
        firstPrefill.slowdown = scenario.slowPrefill;
        firstPrefill.link.bytesPerSecond /= scenario.slowLink;
        firstDecode.slowdown = scenario.slowDecode;
    }
    return { prefill, decode };
}

/** Publishes load reports, each as old as the lag when it arrives. */
export function publishReports(
    clock: clocks.ModelClock,
    fleet: ModelFleet,
    speeds: engineModels.EngineSpeeds,
    pieceTokens: number,
    untilMs: decision.Milliseconds,
    take: (report: policies.ModelReport) => void,
): void {
    let sequence = 0;
    const publish = (lagMs: decision.Milliseconds) => {
        sequence++;
        const common = { sequence, memoryPieces: speeds.memoryTokens / pieceTokens, usable: true };
        const reports: policies.ModelReport[] = [
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
                heldPieces: Math.ceil(engine.memoryInUse / pieceTokens),
                queuedTokens: 0,
            })),
        ];
        clock.at(clock.now + lagMs, () => reports.forEach(take));
        if (clock.now < untilMs) {
            clock.at(clock.now + REPORT_PERIOD_MS, () => publish(REPORT_LAG_MS));
        }
    };
    publish(0);
}

/** Crashes one decode engine after another. */
export function crashEngines(clock: clocks.ModelClock, fleet: ModelFleet, scenario: scenarios.Scenario): void {
    const engines = [...fleet.decode.values()];
    const period = scenario.crashPeriodMs;
    const crash = (index: number) => {
        const engine = engines[index % engines.length];
        engine?.crash();
        clock.at(clock.now + RESTART_MS, () => {
            if (engine) {
                engine.down = false;
            }
        });
        if (clock.now + period < scenario.durationMs) {
            clock.at(clock.now + period, () => crash(index + 1));
        }
    };
    if (period > 0) {
        clock.at(period / 2, () => crash(0));
    }
}

/** The time that a decode engine takes to come back after a crash. */
export const RESTART_TIME_MS = RESTART_MS;
