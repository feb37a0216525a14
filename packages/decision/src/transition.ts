import * as time from "./time.js";

/** The result of a decision for one input: the next state and the actions for the caller. */
export interface Transition<State, Action> {
    /** The state after the input. The state before it stays valid and unchanged. */
    readonly state: State;
    /** What the caller has to carry out, in this order. */
    readonly actions: readonly Action[];
}

/** A pure function of a state, an input and the time at which the input arrived. */
export type DecisionFunction<State, Event, Action> = (
    state: State,
    event: Event,
    now: time.Milliseconds,
) => Transition<State, Action>;

/** Creates a transition to the given state without actions. */
export function withoutActions<State, Action>(state: State): Transition<State, Action> {
    return { state, actions: [] };
}
