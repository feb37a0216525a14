import * as time from "./time.js";
import * as transaction from "./transaction.js";

/**
 * A decision module as the shell, golden files and `citronlead decide` drive it. Settings, events and actions are plain
 * values that survive JSON.
 */
export interface DecisionModule<Settings, State, Event, Action> {
    readonly name: string;
    /** The state before the first event. */
    readonly start: (settings: Settings, now: time.Milliseconds) => State;
    readonly decide: transaction.Decide<State, Event, Action>;
}

/** One line of a session: the first has the settings, each later one an event. */
export type SessionInput<Settings, Event> =
    | { readonly now: time.Milliseconds; readonly settings: Settings; }
    | { readonly now: time.Milliseconds; readonly event: Event; };

/** Runs a session and returns one line of JSON for each input: the input and the actions that it led to. */
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
