import * as configuration from "@citronlead/configuration";
import * as zod from "zod";

const lengthsSchema = zod.strictObject({
    median: zod.number().positive(),
    /** Standard deviation of the logarithm of the length. */
    spread: zod.number().nonnegative().default(0),
    least: zod.int().positive(),
    most: zod.int().positive(),
});
const shareSchema = zod.number().positive();
const completionSchema = zod.strictObject({
    kind: zod.literal("completion"),
    share: shareSchema,
    model: zod.string(),
    promptTokens: lengthsSchema,
    outputTokens: lengthsSchema,
});
const callSchema = zod.strictObject({
    kind: zod.literal("call"),
    share: shareSchema,
    method: zod.enum(["GET", "POST"]),
    path: zod.string().startsWith("/"),
    /** Whether each call carries a unique idempotency key. */
    idempotencyKey: zod.boolean().default(false),
});
const mixSchema = zod.strictObject({
    name: zod.string(),
    firstTokenTarget: configuration.durationSchema,
    betweenTokensTarget: configuration.durationSchema,
    /** Relative request rate of each workspace. */
    workspaces: zod.record(zod.string(), zod.number().positive()),
    requests: zod.array(zod.discriminatedUnion("kind", [completionSchema, callSchema])).min(1),
});

/** The composition of a load: workspaces, kinds of requests, lengths and latency targets. */
export type Mix = zod.output<typeof mixSchema>;
/** One kind of request in a mix. */
export type MixRequest = Mix["requests"][number];
/** A log-normal distribution of text lengths in tokens, cut off at `least` and `most`. */
export type Lengths = zod.output<typeof lengthsSchema>;

const PEDRA_MACIA = `
name: pedra-macia
firstTokenTarget: 2s
betweenTokensTarget: 60ms
workspaces: { guild: 10, north-workshops: 4, school-of-arts: 2, sculptors-porto: 1, studio-gomes: 1 }
requests:
  - kind: completion
    share: 6
    model: dossierllm
    promptTokens: { median: 4000, spread: 0.9, least: 50, most: 30000 }
    outputTokens: { median: 200, spread: 0.5, least: 20, most: 1000 }
  - { kind: call, share: 3, method: GET, path: /stock/lot }
  - { kind: call, share: 1, method: POST, path: /orders, idempotencyKey: true }
`;

const PONCEURS_ARMOR = `
name: ponceurs-armor
firstTokenTarget: 1500ms
betweenTokensTarget: 50ms
workspaces: { franchise-rennes: 6, franchise-brest: 5, franchise-vannes: 2, franchise-quimper: 1, homeowners: 1 }
requests:
  - kind: completion
    share: 5
    model: redac
    promptTokens: { median: 2500, spread: 0.8, least: 50, most: 20000 }
    outputTokens: { median: 120, spread: 0.4, least: 20, most: 500 }
  - { kind: call, share: 4, method: GET, path: /availability/week }
  - { kind: call, share: 1, method: POST, path: /confirmations, idempotencyKey: true }
`;

const BUILT_IN: Readonly<Record<string, string>> = { "pedra-macia": PEDRA_MACIA, "ponceurs-armor": PONCEURS_ARMOR };

/** The names of the built-in mixes. */
export const builtInMixes = Object.keys(BUILT_IN);

/** The YAML text of a built-in mix. */
export function builtInMix(name: string): string | undefined {
    return Object.hasOwn(BUILT_IN, name) ? BUILT_IN[name] : undefined;
}

/** Parses and validates the YAML text of a mix. */
export function parseMix(file: string, text: string): configuration.ParseResult<Mix> {
    return configuration.parseYaml(file, text, mixSchema);
}

/** Parses and validates a YAML file with the key of each workspace. */
export function parseKeys(file: string, text: string): configuration.ParseResult<Readonly<Record<string, string>>> {
    return configuration.parseYaml(file, text, zod.record(zod.string(), zod.string().min(1)));
}
