import type * as records from "./records.js";

/** Caches a value computed from a view. Decisions read it many times a second; views change a few times an hour. */
export function memoizePerView<Value>(compute: (view: records.View) => Value): (view: records.View) => Value {
    const cache = new WeakMap<records.View, Value>();
    return (view) => {
        const cached = cache.get(view);
        if (cached !== undefined) {
            return cached;
        }
        const value = compute(view);
        cache.set(view, value);
        return value;
    };
}
