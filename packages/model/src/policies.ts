import type * as decision from "@citronlead/decision";
import * as scheduling from "@citronlead/scheduling";
import type * as clocks from "./clock.js";

/** Placement of a request. If `decode` is undefined, the policy chooses the decode engine once the prefill is done. */
export interface SimulatedPlacement {
    readonly prefill: string;
    readonly decode: string | undefined;
    readonly startAt: decision.Milliseconds;
    readonly prefillMs: decision.Milliseconds;
}

/** Receives a placement, or undefined if the request is refused. */
export type PlacementHandler = (placement: SimulatedPlacement | undefined) => void;

type Progress = Omit<Extract<scheduling.Event, { kind: scheduling.EventKind.Progress; }>, "kind">;
type End = Omit<Extract<scheduling.Event, { kind: scheduling.EventKind.End; }>, "kind">;

/** Load report with the queue length that the least-load baseline uses. */
export interface SimulatedReport extends scheduling.Report {
    readonly queuedTokens: number;
}

/** Placement policy that can be measured. */
export interface Policy {
    readonly place: (ask: scheduling.ReservationRequest, onPlacement: PlacementHandler) => void;
    readonly chooseDecodeEngine: (ask: scheduling.ReservationRequest) => string;
    readonly progress: (progress: Progress) => void;
    readonly end: (end: End) => void;
    readonly report: (report: SimulatedReport) => void;
    readonly cacheChange: (engine: string, sequence: number, stored: boolean, hash: string) => void;
}

/** Names of the measured policies. */
export enum PolicyName {
    Citronlead = "citronlead",
    RoundRobin = "round-robin",
    LeastLoad = "least-load",
}

/** Runs citronlead's scheduler under the virtual clock. `onDecision` receives the processor time of each decision. */
export function citronleadPolicy(
    clock: clocks.SimulationClock,
    settings: scheduling.Settings,
    onDecision: (elapsedMs: decision.Milliseconds) => void = () => undefined,
    stopwatch: decision.Clock = () => 0,
): Policy {
    let state = scheduling.scheduler.start(settings, clock.now);
    const placementHandlers = new Map<string, PlacementHandler>();
    let wakeAt = Infinity;
    const applyEvent = (event: scheduling.Event) => {
        const startedAt = stopwatch();
        const next = scheduling.scheduler.decide(state, event, clock.now);
        onDecision(stopwatch() - startedAt);
        state = next.state;
        next.actions.forEach(performAction);
    };
    const performAction = (action: scheduling.Action) => {
        if (action.kind === scheduling.ActionKind.WakeAt) {
            wakeAt = action.at;
            clock.runAt(action.at, () => {
                // Only the most recently requested wake-up counts.
                if (wakeAt === action.at) {
                    applyEvent({ kind: scheduling.EventKind.Wake });
                }
            });
            return;
        }
        const onPlacement = placementHandlers.get(action.id);
        placementHandlers.delete(action.id);
        clock.runAt(clock.now, () => onPlacement?.(action.kind === scheduling.ActionKind.Grant ? action : undefined));
    };
    return {
        place: (ask, onPlacement) => {
            placementHandlers.set(ask.id, onPlacement);
            applyEvent({ kind: scheduling.EventKind.Request, ask });
        },
        chooseDecodeEngine: () => "",
        progress: (progress) => applyEvent({ kind: scheduling.EventKind.Progress, ...progress }),
        end: (end) => {
            placementHandlers.delete(end.id);
            applyEvent({ kind: scheduling.EventKind.End, ...end });
        },
        report: (report) => applyEvent({ kind: scheduling.EventKind.Report, report }),
        cacheChange: (engine, sequence, stored, hash) =>
            applyEvent({ kind: scheduling.EventKind.CacheChange, engine, sequence, stored, hash }),
    };
}

/** Creates a baseline policy that neither queues nor refuses requests. It avoids failed engines if others are left. */
function makeBaselinePolicy(
    clock: clocks.SimulationClock,
    prefillEngines: readonly string[],
    decodeEngines: readonly string[],
    choose: (engines: readonly string[], role: scheduling.Role) => string,
    report: (report: SimulatedReport) => void,
): Policy {
    const candidatesFor = (engines: readonly string[], ask: scheduling.ReservationRequest) => {
        const allowed = engines.filter((name) => !ask.avoid.includes(name));
        return allowed.length > 0 ? allowed : engines;
    };
    return {
        place: (ask, onPlacement) => {
            const prefill = choose(candidatesFor(prefillEngines, ask), scheduling.Role.Prefill);
            onPlacement({ prefill, decode: undefined, startAt: clock.now, prefillMs: Infinity });
        },
        chooseDecodeEngine: (ask) => choose(candidatesFor(decodeEngines, ask), scheduling.Role.Decode),
        progress: () => undefined,
        end: () => undefined,
        report,
        cacheChange: () => undefined,
    };
}

/** Baseline that picks engines in turn, with a separate turn for each role. */
export function roundRobinPolicy(
    clock: clocks.SimulationClock,
    prefillEngines: readonly string[],
    decodeEngines: readonly string[],
): Policy {
    const nextIndexes = { [scheduling.Role.Prefill]: 0, [scheduling.Role.Decode]: 0 };
    const choose = (engines: readonly string[], role: scheduling.Role) =>
        engines[nextIndexes[role]++ % engines.length] ?? "";
    return makeBaselinePolicy(clock, prefillEngines, decodeEngines, choose, () => undefined);
}

/** Baseline that picks the engine with the lowest load in its latest report; ties are broken at random. */
export function leastLoadPolicy(
    clock: clocks.SimulationClock,
    prefillEngines: readonly string[],
    decodeEngines: readonly string[],
    random: decision.Random,
): Policy {
    const loads = new Map<string, number>();
    const choose = (engines: readonly string[]) => {
        const least = Math.min(...engines.map((name) => loads.get(name) ?? 0));
        return random.pick(engines.filter((name) => (loads.get(name) ?? 0) === least));
    };
    return makeBaselinePolicy(clock, prefillEngines, decodeEngines, choose, (report) => {
        loads.set(report.engine, report.role === scheduling.Role.Prefill ? report.queuedTokens : report.running);
    });
}
