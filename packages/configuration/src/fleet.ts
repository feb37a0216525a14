import * as zod from "zod";
import * as source from "./source.js";
import * as units from "./units.js";

/** The kind of upstreams in a pool. */
export enum PoolKind {
    /** Model engines that prefill and decode. */
    Model = "model",
    /** Plain services over HTTP. */
    Service = "service",
}

/** Whether an upstream checks the fencing token of an order. */
export enum Fencing {
    /** It refuses an order whose fencing token is lower than one it has already seen. */
    Checked = "checked",
    /** It carries out every order, whatever its fencing token. */
    Ignored = "ignored",
}

const nameSchema = zod.string().regex(/^[a-z0-9][a-z0-9.-]*$/, "expected lower-case letters, digits, dots and dashes");
const workspaceLimitsSchema = zod.strictObject({
    /** The workspace's share of the pool, relative to the weights of the others. */
    weight: zod.number().positive().default(1),
    /** Sustained rate over all hosts together. */
    tokensPerSecond: zod.number().positive(),
    /** Tokens that may be spent at once, over all hosts together. */
    burstTokens: zod.number().positive(),
});
const profileSchema = zod.strictObject({
    /** 0 is the highest priority. */
    priority: zod.int().min(0).max(9),
    firstTokenTarget: units.positiveDurationSchema,
    betweenTokensTarget: units.positiveDurationSchema,
    /** Time within which a request is answered or refused, unless the caller sets a shorter deadline. */
    deadline: units.positiveDurationSchema,
    /** The version of each model that serves requests under this profile. */
    modelVersions: zod.record(nameSchema, zod.string()).default({}),
    workspaces: zod.record(nameSchema, workspaceLimitsSchema).default({}),
});
const modelPoolSchema = zod.strictObject({
    kind: zod.literal(PoolKind.Model),
    /** Requests that a decode engine holds at once. */
    decodeSlots: zod.int().positive(),
    /** How long an engine keeps the KV cache of a prefill that is not transferred to a decode engine. */
    prefillSurvival: units.positiveDurationSchema,
    /** Blocks of an engine's KV cache memory; each holds `pieceTokens` tokens. */
    memoryPieces: zod.int().positive(),
    pieceTokens: zod.int().positive().default(16),
    /** KV cache size of one token. */
    cacheBytesPerToken: units.positiveSizeSchema,
    /** Bandwidth of one link. */
    linkBytesPerSecond: units.positiveSizeSchema,
    fencing: zod.enum(Fencing),
    /** Decode slots that stay in service at each step of a planned change. */
    minimumSlots: zod.int().nonnegative().default(0),
});
const servicePoolSchema = zod.strictObject({
    kind: zod.literal(PoolKind.Service),
    /** Calls that an upstream handles at once. */
    concurrentCalls: zod.int().positive(),
});
const modelSchema = zod.strictObject({
    pool: nameSchema,
    profile: nameSchema,
    longestPromptTokens: zod.int().positive(),
    longestOutputTokens: zod.int().positive(),
    /** The smallest charge of one request. */
    smallestChargeTokens: zod.int().positive().default(16),
});
const serviceSchema = zod.strictObject({
    name: nameSchema,
    pool: nameSchema,
    profile: nameSchema,
    /** Calls whose path starts with this prefix use this service; the longest matching prefix wins. */
    pathPrefix: zod.string().regex(
        /^(\/[A-Za-z0-9._~-]+)+$/,
        "expected a path such as /orders, without a slash at its end",
    ),
    methods: zod.array(zod.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    /** Whether a call that may already have run may be retried. */
    idempotent: zod.boolean(),
    /** Whether callers may use the route without a key. */
    open: zod.boolean().default(false),
    /** The charge of one call. */
    chargeTokens: zod.int().positive().default(1),
});

const fleetObjectSchema = zod.strictObject({
    fleet: nameSchema,
    region: nameSchema,
    availabilityZones: zod.array(nameSchema).min(1),
    /** One-way network delay between availability zones. */
    zoneDelay: units.durationSchema,
    /** One-way network delay to callers. */
    callerDelay: units.durationSchema,
    profiles: zod.record(nameSchema, profileSchema),
    pools: zod.record(nameSchema, zod.discriminatedUnion("kind", [modelPoolSchema, servicePoolSchema])),
    models: zod.record(nameSchema, modelSchema).default({}),
    services: zod.array(serviceSchema).default([]),
});

/** Validates a fleet's configuration: each value, and the values against each other. */
export const fleetSchema = fleetObjectSchema.superRefine(checkCombinations);

/** A validated fleet configuration. Durations are in milliseconds, sizes in bytes. */
export type Fleet = zod.output<typeof fleetObjectSchema>;
/** A profile: latency targets, priority, the limits of its workspaces and the model versions. */
export type Profile = zod.output<typeof profileSchema>;
/** The weight, rate and burst of a workspace. */
export type WorkspaceLimits = zod.output<typeof workspaceLimitsSchema>;
/** A pool of model engines. */
export type ModelPool = zod.output<typeof modelPoolSchema>;
/** A pool of plain services. */
export type ServicePool = zod.output<typeof servicePoolSchema>;
/** A model that callers can request. */
export type Model = zod.output<typeof modelSchema>;
/** A route to a plain service. */
export type Service = zod.output<typeof serviceSchema>;

/** Parses and validates the YAML text of a fleet's configuration. */
export function parseFleet(file: string, text: string): source.ParseResult<Fleet> {
    return source.parseYaml(file, text, fleetSchema);
}

/** Finds the limits of a workspace. At most one profile defines them. */
export function findWorkspaceLimits(fleet: Fleet, workspace: string): WorkspaceLimits | undefined {
    for (const candidate of Object.values(fleet.profiles)) {
        const limits = candidate.workspaces[workspace];
        if (limits) {
            return limits;
        }
    }
    return undefined;
}

type ReportIssue = (path: PropertyKey[], message: string) => void;

function checkCombinations(fleet: Fleet, context: zod.RefinementCtx): void {
    const report: ReportIssue = (path, message) => context.addIssue({ code: "custom", path, message });
    fleet.availabilityZones.forEach((zone, index) => {
        if (fleet.availabilityZones.indexOf(zone) !== index) {
            report(["availabilityZones", index], "this availability zone is listed twice");
        }
    });
    checkProfiles(fleet, report);
    checkModels(fleet, report);
    checkServices(fleet, report);
    checkBursts(fleet, report);
}

function checkProfiles(fleet: Fleet, report: ReportIssue): void {
    const profileByWorkspace = new Map<string, string>();
    const roundTrip = 2 * (fleet.callerDelay + fleet.zoneDelay);
    for (const [profileName, candidate] of Object.entries(fleet.profiles)) {
        if (candidate.firstTokenTarget <= roundTrip) {
            const message = `the target is below the network's round trip of ${roundTrip} ms`;
            report(["profiles", profileName, "firstTokenTarget"], message);
        }
        if (candidate.deadline < candidate.firstTokenTarget) {
            report(["profiles", profileName, "deadline"], "the deadline is shorter than firstTokenTarget");
        }
        for (const workspace of Object.keys(candidate.workspaces)) {
            const other = profileByWorkspace.get(workspace);
            if (other !== undefined) {
                const message = `this workspace already has a rate in profile ${other}`;
                report(["profiles", profileName, "workspaces", workspace], message);
            }
            profileByWorkspace.set(workspace, profileName);
        }
        for (const modelName of Object.keys(candidate.modelVersions)) {
            if (!fleet.models[modelName]) {
                report(["profiles", profileName, "modelVersions", modelName], "no model has this name");
            }
        }
    }
}

function checkModels(fleet: Fleet, report: ReportIssue): void {
    for (const [modelName, candidate] of Object.entries(fleet.models)) {
        const pool = fleet.pools[candidate.pool];
        if (pool?.kind !== PoolKind.Model) {
            report(["models", modelName, "pool"], "no pool of kind model has this name");
        }
        else if (candidate.longestPromptTokens + candidate.longestOutputTokens > pool.memoryPieces * pool.pieceTokens) {
            report(["models", modelName, "longestPromptTokens"], "the longest request does not fit an engine's memory");
        }
        if (!fleet.profiles[candidate.profile]) {
            report(["models", modelName, "profile"], "no profile has this name");
        }
        else if (fleet.profiles[candidate.profile]?.modelVersions[modelName] === undefined) {
            report(["models", modelName, "profile"], "the profile sets no version for this model");
        }
    }
}

function checkServices(fleet: Fleet, report: ReportIssue): void {
    const names = new Set<string>();
    fleet.services.forEach((candidate, index) => {
        if (fleet.pools[candidate.pool]?.kind !== PoolKind.Service) {
            report(["services", index, "pool"], "no pool of kind service has this name");
        }
        if (!fleet.profiles[candidate.profile]) {
            report(["services", index, "profile"], "no profile has this name");
        }
        if (names.has(candidate.name)) {
            report(["services", index, "name"], "another service has this name");
        }
        if (candidate.pathPrefix === "/v1" || candidate.pathPrefix.startsWith("/v1/")) {
            report(["services", index, "pathPrefix"], "paths under /v1 are reserved for models");
        }
        if (candidate.open && !candidate.idempotent) {
            const message = "an open route must be idempotent: calls that must run only once are recorded by workspace";
            report(["services", index, "open"], message);
        }
        const conflicting = fleet.services.slice(0, index).find((other) =>
            other.pathPrefix === candidate.pathPrefix
            && other.methods.some((method) => candidate.methods.includes(method))
        );
        if (conflicting) {
            report(
                ["services", index, "pathPrefix"],
                `service ${conflicting.name} already handles one of these methods on this path`,
            );
        }
        names.add(candidate.name);
    });
}

function checkBursts(fleet: Fleet, report: ReportIssue): void {
    const modelCharge = Math.max(0, ...Object.values(fleet.models).map((candidate) => candidate.smallestChargeTokens));
    const callCharge = Math.max(0, ...fleet.services.map((candidate) => candidate.chargeTokens));
    for (const [profileName, candidate] of Object.entries(fleet.profiles)) {
        for (const [workspace, limits] of Object.entries(candidate.workspaces)) {
            const path = ["profiles", profileName, "workspaces", workspace, "burstTokens"];
            if (limits.burstTokens < modelCharge) {
                report(path, `the burst is below the smallest charge of a model, ${modelCharge} tokens`);
            }
            else if (limits.burstTokens < callCharge) {
                report(path, `the burst is below the charge of a call to a service, ${callCharge} tokens`);
            }
        }
    }
}
