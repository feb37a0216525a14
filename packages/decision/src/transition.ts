import * as time from "./time.js";

/** The result of a decision for one input: the next state and the actions for the caller. */
export interface Transaction<State, Action> {
    /** The state after the input. The state before it stays valid and unchanged. */
    readonly state: State;
    /** What the caller has to carry out, in this order. */
    readonly actions: readonly Action[];
}

/** A pure function of a state, an input and the time at which the input arrived. */
export type Decide<State, Event, Action> = (
    state: State,
    event: Event,
    now: time.Milliseconds,
) => Transaction<State, Action>;

/** Creates a transition to the given state without actions. */
export function unchanged<State, Action>(state: State): Transaction<State, Action> {
    return { state, actions: [] };
}
