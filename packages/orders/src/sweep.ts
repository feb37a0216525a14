import * as decision from "@citronlead/decision";

export interface SweepSettings {
    /** How long a holder must be missing from the roster before its memory is released. */
    readonly graceMs: decision.Milliseconds;
}

/** The state of the sweep, which releases engine memory of router processes that are gone. */
export interface SweepState {
    readonly settings: SweepSettings;
    /** When each holder was first found missing from the roster. */
    readonly goneSince: Readonly<Record<string, decision.Milliseconds>>;
}

/** The answer of an engine that was asked which memory it holds. */
export interface SweepEvent {
    readonly engine: string;
    /** The router processes that own the memory that the engine holds, each as "host/incarnation". */
    readonly holders: readonly string[];
    /** The router processes in the roster. */
    readonly present: readonly string[];
}

/** Tells an engine to release all memory of holders that are gone. */
export interface SweepAction {
    readonly engine: string;
    readonly release: readonly string[];
}

/** The state before the first event. */
export function startSweep(settings: SweepSettings): SweepState {
    return { settings, goneSince: {} };
}

/** Decides which holders' memory on one engine is released because they have been gone for the grace period. */
export const decideSweep: decision.DecisionFunction<SweepState, SweepEvent, SweepAction> = (state, event, now) => {
    const present = new Set(event.present);
    const gone = [...new Set(event.holders)].filter((holder) => !present.has(holder));
    const retained = Object.entries(state.goneSince).filter(([holder, since]) =>
        !present.has(holder) && now - since < FORGET_AFTER_GRACE_PERIODS * state.settings.graceMs
    );
    const current = gone.map((holder) => [holder, state.goneSince[holder] ?? now] as const);
    const goneSince = Object.fromEntries([...retained, ...current]);
    const release = gone.filter((holder) => now - (goneSince[holder] ?? now) >= state.settings.graceMs);
    decision.invariant(
        release.every((holder) => !present.has(holder)),
        () => `memory of holders that are present would be released: ${release.join()}`,
    );
    const next = { ...state, goneSince };
    return { state: next, actions: release.length > 0 ? [{ engine: event.engine, release }] : [] };
};

/** A missing holder that no engine reports is forgotten this many grace periods after it was first found missing. */
const FORGET_AFTER_GRACE_PERIODS = 10;

/** The sweep as a decision module, for golden files and `citronlead decide`. */
export const sweepModule: decision.DecisionModule<SweepSettings, SweepState, SweepEvent, SweepAction> = {
    name: "sweep",
    start: startSweep,
    decide: decideSweep,
};
