import * as configuration from "@citronlead/configuration";
import * as commander from "commander";

/** Makes an option that may be given more than once; its value is a list. */
export function repeatable(flags: string, description: string): commander.Option {
    const collect = (value: string, former: readonly string[] | undefined) => [...(former ?? []), value];
    return new commander.Option(flags, description).argParser(collect);
}

/** Reads a number above 0. */
export function readPositive(text: string): number {
    const value = Number(text);
    if (!Number.isFinite(value) || value <= 0) {
        throw new commander.InvalidArgumentError("Expected a number above 0.");
    }
    return value;
}

/** Reads a time with its unit, as milliseconds. */
export function readDuration(text: string): number {
    const parsed = configuration.durationSchema.safeParse(text);
    if (!parsed.success || parsed.data <= 0) {
        throw new commander.InvalidArgumentError("Expected a time with a unit, such as 30s.");
    }
    return parsed.data;
}
