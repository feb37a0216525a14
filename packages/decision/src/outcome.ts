/** What is known about the effect of a call to an external system. */
export enum Effect {
    /** The answer arrived and tells whether the call took effect or was refused. */
    Known = "known",
    /** The call had no effect: it never reached the other side. */
    None = "none",
    /** The call may or may not have taken effect: its answer was lost. */
    Unknown = "unknown",
}

/** The outcome of a call to an external system. */
export type Outcome<Value> =
    | { readonly effect: Effect.Known; readonly value: Value; }
    | { readonly effect: Effect.None; readonly reason: string; }
    | { readonly effect: Effect.Unknown; readonly reason: string; };

/** Creates the outcome of a call whose answer arrived. */
export function knownEffect<Value>(value: Value): Outcome<Value> {
    return { effect: Effect.Known, value };
}

/** Creates the outcome of a call that had no effect. */
export function noEffect<Value>(reason: string): Outcome<Value> {
    return { effect: Effect.None, reason };
}

/** Creates the outcome of a call that may or may not have taken effect. */
export function unknownEffect<Value>(reason: string): Outcome<Value> {
    return { effect: Effect.Unknown, reason };
}
