import * as admission from "@citronlead/admission";
import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as operations from "@citronlead/operations";
import * as orders from "@citronlead/orders";
import * as propagation from "@citronlead/propagation";
import * as quarantine from "@citronlead/quarantine";
import * as scheduling from "@citronlead/scheduling";
import * as upstream from "@citronlead/upstream";

/** A decision module whose settings, events and actions are passed as JSON, without static types. */
export interface JsonModule {
    readonly name: string;
    /** Opens a session that takes one input line after another. */
    readonly openSession: () => LineHandler;
}

/** Takes one parsed input line and returns it as JSON with the resulting actions. Throws if an invariant is violated. */
export type LineHandler = (input: unknown) => string;

/** The decision modules that `citronlead decide` can run. */
export const decisionModules: readonly JsonModule[] = [
    toJsonModule(membership.membershipModule),
    toJsonModule(propagation.propagationModule),
    toJsonModule(admission.admissionModule),
    toJsonModule(scheduling.scheduler),
    toJsonModule(operations.operationModule),
    toJsonModule(quarantine.quarantineModule),
    toJsonModule(orders.rolloutModule),
    toJsonModule(orders.sweepModule),
    toJsonModule(upstream.assemblyModule),
];

/** Wraps a typed module so that it can be run by name with JSON input. */
export function toJsonModule<Settings, State, Event, Action>(
    module: decision.DecisionModule<Settings, State, Event, Action>,
): JsonModule {
    return { name: module.name, openSession: () => openSession(module) };
}

/**
 * Runs a session line by line. `decision.runSession` takes whole sessions, so each line runs as its own session that
 * starts from the state after the line before it.
 */
function openSession<Settings, State, Event, Action>(
    module: decision.DecisionModule<Settings, State, Event, Action>,
): LineHandler {
    let state: { readonly current: State; } | undefined;
    const keepState = (next: State) => {
        state = { current: next };
        return next;
    };
    return (input) => {
        const line = input as decision.SessionInput<Settings, Event>;
        const previous = state;
        if ("settings" in line || !previous) {
            const started = {
                ...module,
                start: (settings: Settings, now: number) => keepState(module.start(settings, now)),
            };
            return decision.runSession(started, [line])[0] ?? "";
        }
        const continued: decision.DecisionModule<undefined, State, Event, Action> = {
            name: module.name,
            start: () => previous.current,
            decide: (current, event, now) => {
                const next = module.decide(current, event, now);
                keepState(next.state);
                return next;
            },
        };
        return decision.runSession(continued, [{ now: line.now, settings: undefined }, line])[1] ?? "";
    };
}
