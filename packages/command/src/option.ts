import * as configuration from "@citronlead/configuration";
import * as commander from "commander";

/** Creates an option that may be repeated; its value is a list. */
export function repeatableOption(flags: string, description: string): commander.Option {
    const collect = (value: string, previous: readonly string[] | undefined) => [...(previous ?? []), value];
    return new commander.Option(flags, description).argParser(collect);
}

/** Parses the value of an option as a number above 0. */
export function parsePositiveNumber(text: string): number {
    const value = Number(text);
    if (!Number.isFinite(value) || value <= 0) {
        throw new commander.InvalidArgumentError("Expected a number above 0.");
    }
    return value;
}

/** Parses the value of an option, a duration above 0 with a unit, into milliseconds. */
export function parseDuration(text: string): number {
    const parsed = configuration.durationSchema.safeParse(text);
    if (!parsed.success || parsed.data <= 0) {
        throw new commander.InvalidArgumentError("Expected a duration with a unit, such as 30s.");
    }
    return parsed.data;
}
