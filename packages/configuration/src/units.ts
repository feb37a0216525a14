import * as zod from "zod";

const MILLISECONDS_PER_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };
const BYTES_PER_UNIT: Readonly<Record<string, number>> = {
    B: 1,
    KB: 1e3,
    MB: 1e6,
    GB: 1e9,
    KiB: 1024,
    MiB: 1024 ** 2,
    GiB: 1024 ** 3,
};

function quantitySchema(units: Readonly<Record<string, number>>, example: string) {
    const pattern = new RegExp(`^(\\d+(?:\\.\\d+)?)\\s*(${Object.keys(units).join("|")})$`);
    const message = `expected a number with a unit, such as ${example}`;
    return zod.string({ error: message }).transform((text, context) => {
        const match = pattern.exec(text);
        if (!match) {
            context.addIssue({ code: "custom", message });
            return zod.NEVER;
        }
        return Number(match[1]) * (units[match[2] ?? ""] ?? 0);
    });
}

/** Parses a duration such as 36ms, 7s or 2m into milliseconds. */
export const durationSchema = quantitySchema(MILLISECONDS_PER_UNIT, "530ms or 7s");

/** Parses a size such as 64KiB or 2GB into bytes. */
export const byteSizeSchema = quantitySchema(BYTES_PER_UNIT, "64KiB or 2GB");

/** Parses a duration above zero into milliseconds. */
export const positiveDurationSchema = durationSchema.refine((value) => value > 0, "expected a duration above 0");

/** Parses a size above zero into bytes. */
export const positiveSizeSchema = byteSizeSchema.refine((value) => value > 0, "expected a size above 0");
