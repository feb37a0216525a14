import * as admission from "@citronlead/admission";
import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as operations from "@citronlead/operations";
import * as orders from "@citronlead/orders";
import * as propagation from "@citronlead/propagation";
import * as quarantine from "@citronlead/quarantine";
import * as scheduling from "@citronlead/scheduling";
import * as upstream from "@citronlead/upstream";

/** A decision module whose settings, events and actions are known only as JSON. */
export interface NamedModule {
    readonly name: string;
    /** Opens a session that is fed one input line after another. */
    readonly open: () => FeedSession;
}

/** Takes one input line and returns it with the actions that it led to. Throws when an invariant breaks. */
export type FeedSession = (input: unknown) => string;

/** The decision modules that `citronlead decide` drives. */
export const decisionModules: readonly NamedModule[] = [
    nameModule(membership.membershipModule),
    nameModule(propagation.propagationModule),
    nameModule(admission.admissionModule),
    nameModule(scheduling.scheduler),
    nameModule(operations.operationModule),
    nameModule(quarantine.quarantineModule),
    nameModule(orders.rollingModule),
    nameModule(orders.sweepModule),
    nameModule(upstream.assemblyModule),
];

/** Makes a module's sessions known by its name only. */
export function nameModule<Settings, State, Event, Action>(
    module: decision.DecisionModule<Settings, State, Event, Action>,
): NamedModule {
    return { name: module.name, open: () => openSession(module) };
}

/** Runs a session line by line: each line is a session of its own that goes on from the state of the one before. */
function openSession<Settings, State, Event, Action>(
    module: decision.DecisionModule<Settings, State, Event, Action>,
): FeedSession {
    let state: { readonly current: State; } | undefined;
    const kept = (next: State) => {
        state = { current: next };
        return next;
    };
    return (input) => {
        const line = input as decision.SessionInput<Settings, Event>;
        const former = state;
        if ("settings" in line || !former) {
            const started = {
                ...module,
                start: (settings: Settings, now: number) => kept(module.start(settings, now)),
            };
            return decision.runSession(started, [line])[0] ?? "";
        }
        const continued: decision.DecisionModule<undefined, State, Event, Action> = {
            name: module.name,
            start: () => former.current,
            decide: (current, event, now) => {
                const next = module.decide(current, event, now);
                kept(next.state);
                return next;
            },
        };
        return decision.runSession(continued, [{ now: line.now, settings: undefined }, line])[1] ?? "";
    };
}
