import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import type * as commander from "commander";
import type * as zod from "zod";
import * as options from "./option.js";

const TIMEOUT_MS = 5_000;

/** What the control port of one router answered. */
export interface ControlAnswer<Value> {
    readonly control: string;
    /** Undefined when the router has no such page. */
    readonly value: Value | undefined;
    /** Why there was no usable answer. */
    readonly problem: string | undefined;
}

/** Makes the option that names the control ports. */
export function controlOption(): commander.Option {
    return options.repeatable("--control <address>", "base address of a router's control port; may be repeated")
        .makeOptionMandatory();
}

/** Asks every control port for a page. */
export function askAll<Shape extends zod.ZodType>(
    controls: readonly string[],
    path: string,
    shape: Shape,
): Promise<ControlAnswer<zod.output<Shape>>[]> {
    return Promise.all(controls.map(async (control) => {
        const outcome = await platform.callJson({ url: control + path, timeoutMs: TIMEOUT_MS });
        if (outcome.effect !== decision.Effect.Known) {
            return { control, value: undefined, problem: outcome.reason };
        }
        if (outcome.value.status === 404) {
            return { control, value: undefined, problem: undefined };
        }
        const parsed = shape.safeParse(outcome.value.body);
        return parsed.success
            ? { control, value: parsed.data, problem: undefined }
            : { control, value: undefined, problem: "the answer has an unknown shape" };
    }));
}
