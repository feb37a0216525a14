import * as v8 from "node:v8";
import * as vm from "node:vm";

v8.setFlagsFromString("--expose-gc");
/** Collects garbage at once. */
export const collectGarbage = vm.runInNewContext("gc") as () => void;

/** Errors that nothing in the process caught, from `recordUncaught` on. */
export interface UncaughtRecord {
    readonly errors: unknown[];
    /** Lets mocha handle such errors again. */
    readonly end: () => void;
}

/** Records uncaught errors in place of mocha, which would end the test that runs. */
export function recordUncaught(event: "uncaughtException" | "unhandledRejection"): UncaughtRecord {
    const errors: unknown[] = [];
    const record = (error: unknown) => void errors.push(error);
    const former = process.rawListeners(event) as ((error: unknown) => void)[];
    process.removeAllListeners(event);
    process.on(event, record);
    return {
        errors,
        end: () => {
            process.off(event, record);
            former.forEach((listener) => process.on(event, listener));
        },
    };
}
