import * as time from "./time.js";

/** What a decision yields for one input: the state that follows and what the caller has to do, in order. */
export interface Transaction<State, Action> {
    /** The state after the input. The state before it stays valid and unchanged. */
    readonly state: State;
    /** What the shell has to carry out, in this order. */
    readonly actions: readonly Action[];
}

/** A decision: a pure function of a state, an input and the time at which the input arrived. */
export type Decide<State, Event, Action> = (
    state: State,
    event: Event,
    now: time.Milliseconds,
) => Transaction<State, Action>;

/** Makes a transaction that leaves the state as it is and asks for nothing. */
export function unchanged<State, Action>(state: State): Transaction<State, Action> {
    return { state, actions: [] };
}
