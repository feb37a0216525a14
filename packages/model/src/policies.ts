import type * as decision from "@citronlead/decision";
import * as scheduling from "@citronlead/scheduling";
import type * as clocks from "./clock.js";

/** Where a request goes. A policy that does not choose the decode engine ahead is asked once the prefill is done. */
export interface ModelPlacement {
    readonly prefill: string;
    readonly decode: string | undefined;
    readonly startAt: decision.Milliseconds;
    readonly prefillMs: decision.Milliseconds;
}

/** Takes the answer to a placement; undefined is a refusal. */
export type TakePlacement = (placement: ModelPlacement | undefined) => void;

type Progress = Omit<Extract<scheduling.Event, { kind: scheduling.EventKind.Progress; }>, "kind">;
type End = Omit<Extract<scheduling.Event, { kind: scheduling.EventKind.End; }>, "kind">;

/** A load report with what the baselines look at. */
export interface ModelReport extends scheduling.Report {
    readonly queuedTokens: number;
}

/** A policy under measurement. */
export interface Policy {
    readonly place: (ask: scheduling.Ask, take: TakePlacement) => void;
    readonly decodeFor: (ask: scheduling.Ask) => string;
    readonly progress: (seen: Progress) => void;
    readonly end: (end: End) => void;
    readonly report: (report: ModelReport) => void;
    readonly cacheChange: (engine: string, sequence: number, stored: boolean, hash: string) => void;
}

/** The policies by name. */
export enum PolicyName {
    Citronlead = "citronlead",
    RoundRobin = "round-robin",
    LeastLoad = "least-load",
}

/** The policy of this project: the scheduler's decisions under the model's clock. */
export function citronleadPolicy(
    clock: clocks.ModelClock,
    settings: scheduling.Settings,
    decided: (elapsedMs: decision.Milliseconds) => void = () => undefined,
    stopwatch: decision.Clock = () => 0,
): Policy {
    let state = scheduling.scheduler.start(settings, clock.now);
    const takers = new Map<string, TakePlacement>();
    let wakeAt = Infinity;
    const happen = (event: scheduling.Event) => {
        const startedAt = stopwatch();
        const next = scheduling.scheduler.decide(state, event, clock.now);
        decided(stopwatch() - startedAt);
        state = next.state;
        next.actions.forEach(carryOut);
    };
    const carryOut = (action: scheduling.Action) => {
        if (action.kind === scheduling.ActionKind.WakeAt) {
            wakeAt = action.at;
            clock.at(action.at, () => {
                // A later wish replaces an earlier one.
                if (wakeAt === action.at) {
                    happen({ kind: scheduling.EventKind.Wake });
                }
            });
            return;
        }
        const take = takers.get(action.id);
        takers.delete(action.id);
        clock.at(clock.now, () => take?.(action.kind === scheduling.ActionKind.Grant ? action : undefined));
    };
    return {
        place: (ask, take) => {
            takers.set(ask.id, take);
            happen({ kind: scheduling.EventKind.Ask, ask });
        },
        decodeFor: () => "",
        progress: (seen) => happen({ kind: scheduling.EventKind.Progress, ...seen }),
        end: (end) => {
            takers.delete(end.id);
            happen({ kind: scheduling.EventKind.End, ...end });
        },
        report: (report) => happen({ kind: scheduling.EventKind.Report, report }),
        cacheChange: (engine, sequence, stored, hash) =>
            happen({ kind: scheduling.EventKind.CacheChange, engine, sequence, stored, hash }),
    };
}

/** A baseline that chooses by looking at the latest reports, or at nothing. */
function baseline(
    clock: clocks.ModelClock,
    prefillEngines: readonly string[],
    decodeEngines: readonly string[],
    choose: (engines: readonly string[], role: scheduling.Role) => string,
    report: (report: ModelReport) => void,
): Policy {
    const among = (engines: readonly string[], ask: scheduling.Ask) => {
        const left = engines.filter((name) => !ask.avoid.includes(name));
        return left.length > 0 ? left : engines;
    };
    return {
        place: (ask, take) => {
            const prefill = choose(among(prefillEngines, ask), scheduling.Role.Prefill);
            take({ prefill, decode: undefined, startAt: clock.now, prefillMs: Infinity });
        },
        decodeFor: (ask) => choose(among(decodeEngines, ask), scheduling.Role.Decode),
        progress: () => undefined,
        end: () => undefined,
        report,
        cacheChange: () => undefined,
    };
}

/** One engine after another, the prefill first. */
export function roundRobinPolicy(
    clock: clocks.ModelClock,
    prefillEngines: readonly string[],
    decodeEngines: readonly string[],
): Policy {
    const turns = { [scheduling.Role.Prefill]: 0, [scheduling.Role.Decode]: 0 };
    const choose = (engines: readonly string[], role: scheduling.Role) => engines[turns[role]++ % engines.length] ?? "";
    return baseline(clock, prefillEngines, decodeEngines, choose, () => undefined);
}

/** The engine with the least load by its latest report. */
export function leastLoadPolicy(
    clock: clocks.ModelClock,
    prefillEngines: readonly string[],
    decodeEngines: readonly string[],
    random: decision.Random,
): Policy {
    const loads = new Map<string, number>();
    const choose = (engines: readonly string[]) => {
        const least = Math.min(...engines.map((name) => loads.get(name) ?? 0));
        return random.pick(engines.filter((name) => (loads.get(name) ?? 0) === least));
    };
    return baseline(clock, prefillEngines, decodeEngines, choose, (report) => {
        loads.set(report.engine, report.role === scheduling.Role.Prefill ? report.queuedTokens : report.running);
    });
}
