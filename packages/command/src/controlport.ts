import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import type * as commander from "commander";
import type * as zod from "zod";
import * as options from "./option.js";

const REQUEST_TIMEOUT_MS = 5_000;

/** The response of one router's control port. */
export interface ControlResponse<Value> {
    /** Base address of the control port. */
    readonly control: string;
    /** Undefined if the request failed or the router has no such page. */
    readonly value: Value | undefined;
    /** Why there is no usable response; undefined if the router has no such page. */
    readonly problem: string | undefined;
}

/** Creates the mandatory `--control` option, which lists the control ports. */
export function controlOption(): commander.Option {
    return options.repeatableOption("--control <address>", "base address of a router's control port; may be repeated")
        .makeOptionMandatory();
}

/** Fetches a page from every control port in parallel. */
export function queryAll<Schema extends zod.ZodType>(
    controls: readonly string[],
    path: string,
    schema: Schema,
): Promise<ControlResponse<zod.output<Schema>>[]> {
    return Promise.all(controls.map(async (control) => {
        const outcome = await platform.callJson({ url: control + path, timeoutMs: REQUEST_TIMEOUT_MS });
        if (outcome.effect !== decision.Effect.Known) {
            return { control, value: undefined, problem: outcome.reason };
        }
        if (outcome.value.status === 404) {
            return { control, value: undefined, problem: undefined };
        }
        const parsed = schema.safeParse(outcome.value.body);
        return parsed.success
            ? { control, value: parsed.data, problem: undefined }
            : { control, value: undefined, problem: "unexpected response format" };
    }));
}
