import * as decision from "@citronlead/decision";

/** How a sweep goes about it. */
export interface SweepSettings {
    /** How long a holder must be gone from the roster before its memory is released, in milliseconds. */
    readonly graceMs: decision.Milliseconds;
}

/** Since when holders of engine memory have been seen to be gone. */
export interface SweepState {
    readonly settings: SweepSettings;
    readonly goneSince: Readonly<Record<string, decision.Milliseconds>>;
}

/** An engine was asked what it holds. */
export interface SweepEvent {
    readonly engine: string;
    /** The router processes that answer for the memory that it holds, each as host and incarnation. */
    readonly holders: readonly string[];
    /** The router processes of the roster. */
    readonly present: readonly string[];
}

/** Tells an engine to let go of everything that belongs to holders that are gone. */
export interface SweepAction {
    readonly engine: string;
    readonly release: readonly string[];
}

/** The state before the first event. */
export function startSweep(settings: SweepSettings): SweepState {
    return { settings, goneSince: {} };
}

/** Decides which memory of one engine nobody answers for any more. */
export const decideSweep: decision.Decide<SweepState, SweepEvent, SweepAction> = (state, event, now) => {
    const present = new Set(event.present);
    const gone = [...new Set(event.holders)].filter((holder) => !present.has(holder));
    const remembered = Object.entries(state.goneSince).filter(([holder, since]) =>
        !present.has(holder) && now - since < FORGET_AFTER_GRACES * state.settings.graceMs
    );
    const named = gone.map((holder) => [holder, state.goneSince[holder] ?? now] as const);
    const goneSince = Object.fromEntries([...remembered, ...named]);
    const release = gone.filter((holder) => now - (goneSince[holder] ?? now) >= state.settings.graceMs);
    decision.invariant(
        release.every((holder) => !present.has(holder)),
        () => `memory of present holders would be released: ${release.join()}`,
    );
    const next = { ...state, goneSince };
    return { state: next, actions: release.length > 0 ? [{ engine: event.engine, release }] : [] };
};

/** A holder that no engine has named for so many graces is forgotten. */
const FORGET_AFTER_GRACES = 10;

/** Sweeps as golden files and `citronlead decide` drive them. */
export const sweepModule: decision.DecisionModule<SweepSettings, SweepState, SweepEvent, SweepAction> = {
    name: "sweep",
    start: startSweep,
    decide: decideSweep,
};
