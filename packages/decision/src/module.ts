import * as time from "./time.js";
import * as transitions from "./transition.js";

/**
 * A decision module: a pure state machine that a process, golden files or `citronlead decide` run. Settings, events and
 * actions are plain values that can be written as JSON.
 */
export interface DecisionModule<Settings, State, Event, Action> {
    readonly name: string;
    /** Creates the state before the first event. */
    readonly start: (settings: Settings, now: time.Milliseconds) => State;
    readonly decide: transitions.DecisionFunction<State, Event, Action>;
}

/** One line of a session, a recorded run of a module: the first has the settings, each later one an event. */
export type SessionInput<Settings, Event> =
    | { readonly now: time.Milliseconds; readonly settings: Settings; }
    | { readonly now: time.Milliseconds; readonly event: Event; };

/** Replays a session. Returns one line of JSON per input, with the input and the resulting actions. */
export function runSession<Settings, State, Event, Action>(
    module: DecisionModule<Settings, State, Event, Action>,
    inputs: readonly SessionInput<Settings, Event>[],
): string[] {
    let state: State | undefined;
    return inputs.map((input) => {
        if ("settings" in input) {
            state = module.start(input.settings, input.now);
            return JSON.stringify({ ...input, actions: [] });
        }
        if (state === undefined) {
            return JSON.stringify({ ...input, problem: "the session has not started" });
        }
        const next = module.decide(state, input.event, input.now);
        state = next.state;
        return JSON.stringify({ ...input, actions: next.actions });
    });
}
