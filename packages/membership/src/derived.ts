import type * as records from "./records.js";

/**
 * Keeps what is worked out from a view as long as the view is the newest one, since the decisions look at it many times a
 * second while it changes a few times an hour.
 */
export function derived<Value>(workOut: (view: records.View) => Value): (view: records.View) => Value {
    const known = new WeakMap<records.View, Value>();
    return (view) => {
        const former = known.get(view);
        if (former !== undefined) {
            return former;
        }
        const value = workOut(view);
        known.set(view, value);
        return value;
    };
}
