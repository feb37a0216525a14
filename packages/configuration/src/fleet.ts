import * as zod from "zod";
import * as source from "./source.js";
import * as units from "./units.js";

/** What kind of upstreams a pool holds. */
export enum PoolKind {
    /** Model engines that prefill and decode. */
    Model = "model",
    /** Plain services over HTTP. */
    Service = "service",
}

/** What an upstream does with the fencing number of an order. */
export enum Fencing {
    /** It refuses an order that carries an older number than one it has seen. */
    Checked = "checked",
    /** It carries out every order. */
    Ignored = "ignored",
}

const name = zod.string().regex(/^[a-z0-9][a-z0-9.-]*$/, "expected lower-case letters, digits, dots and dashes");
const workspaceTerms = zod.strictObject({
    /** The share of the pool that the workspace is due, relative to the others. */
    weight: zod.number().positive().default(1),
    /** Tokens a second over all hosts together. */
    tokensPerSecond: zod.number().positive(),
    /** Tokens that may be spent at once over all hosts together. */
    burstTokens: zod.number().positive(),
});
const profile = zod.strictObject({
    /** 0 goes first. */
    priority: zod.int().min(0).max(9),
    firstTokenTarget: units.positiveDuration,
    betweenTokensTarget: units.positiveDuration,
    /** The time by which a request is answered or refused, unless its caller names a shorter one. */
    deadline: units.positiveDuration,
    /** The version of each model that requests under this profile are served with. */
    modelVersions: zod.record(name, zod.string()).default({}),
    workspaces: zod.record(name, workspaceTerms).default({}),
});
const modelPool = zod.strictObject({
    kind: zod.literal(PoolKind.Model),
    /** Requests that a decode engine holds at once. */
    decodeSlots: zod.int().positive(),
    /** How long the result of a prefill survives unless it is moved on. */
    prefillSurvival: units.positiveDuration,
    /** Pieces of engine memory, each holding piece tokens. */
    memoryPieces: zod.int().positive(),
    pieceTokens: zod.int().positive().default(16),
    /** KV cache of one token. */
    cacheBytesPerToken: units.positiveSize,
    /** What one link carries in a second. */
    linkBytesPerSecond: units.positiveSize,
    fencing: zod.enum(Fencing),
    /** Decode slots that a planned change keeps in service at each step. */
    minimumSlots: zod.int().nonnegative().default(0),
});
const servicePool = zod.strictObject({
    kind: zod.literal(PoolKind.Service),
    /** Calls that an upstream takes at once. */
    concurrentCalls: zod.int().positive(),
});
const model = zod.strictObject({
    pool: name,
    profile: name,
    longestPromptTokens: zod.int().positive(),
    longestOutputTokens: zod.int().positive(),
    /** The least that one request is charged. */
    smallestChargeTokens: zod.int().positive().default(16),
});
const service = zod.strictObject({
    name,
    pool: name,
    profile: name,
    /** Calls whose path starts with this go here; the longest prefix wins. */
    pathPrefix: zod.string().regex(
        /^(\/[A-Za-z0-9._~-]+)+$/,
        "expected a path such as /orders, without a slash at its end",
    ),
    methods: zod.array(zod.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    /** Whether a call may be run again after it may have run. */
    idempotent: zod.boolean(),
    /** Whether the route needs no key. */
    open: zod.boolean().default(false),
    /** What one call is charged. */
    chargeTokens: zod.int().positive().default(1),
});

const fleetShape = zod.strictObject({
    fleet: name,
    region: name,
    availabilityZones: zod.array(name).min(1),
    /** One way between availability zones. */
    zoneDelay: units.duration,
    /** One way to callers. */
    callerDelay: units.duration,
    profiles: zod.record(name, profile),
    pools: zod.record(name, zod.discriminatedUnion("kind", [modelPool, servicePool])),
    models: zod.record(name, model).default({}),
    services: zod.array(service).default([]),
});

/** Checks a fleet's configuration, single values and their combinations. */
export const fleetSchema = fleetShape.superRefine(checkCombinations);

/** The fleet's configuration as used by the programs: durations in milliseconds, sizes in bytes. */
export type Fleet = zod.output<typeof fleetShape>;
/** A profile: targets, priority, the rates of workspaces and the model versions. */
export type Profile = zod.output<typeof profile>;
/** A workspace's weight, rate and burst. */
export type WorkspaceTerms = zod.output<typeof workspaceTerms>;
/** A pool of model engines. */
export type ModelPool = zod.output<typeof modelPool>;
/** A pool of plain services. */
export type ServicePool = zod.output<typeof servicePool>;
/** A model that callers can name. */
export type Model = zod.output<typeof model>;
/** A route to a plain service. */
export type Service = zod.output<typeof service>;

/** Parses and checks the YAML text of a fleet's configuration. */
export function parseFleet(file: string, text: string): source.Checked<Fleet> {
    return source.parseYaml(file, text, fleetSchema);
}

/** Finds a workspace's terms, which stand in exactly one profile. */
export function findWorkspace(fleet: Fleet, workspace: string): WorkspaceTerms | undefined {
    for (const candidate of Object.values(fleet.profiles)) {
        const terms = candidate.workspaces[workspace];
        if (terms) {
            return terms;
        }
    }
    return undefined;
}

type Report = (path: PropertyKey[], message: string) => void;

function checkCombinations(fleet: Fleet, context: zod.RefinementCtx): void {
    const report: Report = (path, message) => context.addIssue({ code: "custom", path, message });
    fleet.availabilityZones.forEach((zone, index) => {
        if (fleet.availabilityZones.indexOf(zone) !== index) {
            report(["availabilityZones", index], "this availability zone is named twice");
        }
    });
    checkProfiles(fleet, report);
    checkModels(fleet, report);
    checkServices(fleet, report);
    checkBursts(fleet, report);
}

function checkProfiles(fleet: Fleet, report: Report): void {
    const statedBy = new Map<string, string>();
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
            const other = statedBy.get(workspace);
            if (other !== undefined) {
                const message = `the rate of this workspace stands in profile ${other} already`;
                report(["profiles", profileName, "workspaces", workspace], message);
            }
            statedBy.set(workspace, profileName);
        }
        for (const modelName of Object.keys(candidate.modelVersions)) {
            if (!fleet.models[modelName]) {
                report(["profiles", profileName, "modelVersions", modelName], "no model of this name");
            }
        }
    }
}

function checkModels(fleet: Fleet, report: Report): void {
    for (const [modelName, candidate] of Object.entries(fleet.models)) {
        const pool = fleet.pools[candidate.pool];
        if (pool?.kind !== PoolKind.Model) {
            report(["models", modelName, "pool"], "no pool of model engines of this name");
        }
        else if (candidate.longestPromptTokens + candidate.longestOutputTokens > pool.memoryPieces * pool.pieceTokens) {
            report(["models", modelName, "longestPromptTokens"], "the longest request does not fit an engine's memory");
        }
        if (!fleet.profiles[candidate.profile]) {
            report(["models", modelName, "profile"], "no profile of this name");
        }
        else if (fleet.profiles[candidate.profile]?.modelVersions[modelName] === undefined) {
            report(["models", modelName, "profile"], "the profile names no version of this model");
        }
    }
}

function checkServices(fleet: Fleet, report: Report): void {
    const names = new Set<string>();
    fleet.services.forEach((candidate, index) => {
        if (fleet.pools[candidate.pool]?.kind !== PoolKind.Service) {
            report(["services", index, "pool"], "no pool of plain services of this name");
        }
        if (!fleet.profiles[candidate.profile]) {
            report(["services", index, "profile"], "no profile of this name");
        }
        if (names.has(candidate.name)) {
            report(["services", index, "name"], "another service has this name");
        }
        if (candidate.pathPrefix === "/v1" || candidate.pathPrefix.startsWith("/v1/")) {
            report(["services", index, "pathPrefix"], "paths under /v1 are for models");
        }
        if (candidate.open && !candidate.idempotent) {
            const message = "an open route must be idempotent: operations that run once are kept by workspace";
            report(["services", index, "open"], message);
        }
        const rival = fleet.services.slice(0, index).find((other) =>
            other.pathPrefix === candidate.pathPrefix
            && other.methods.some((method) => candidate.methods.includes(method))
        );
        if (rival) {
            report(["services", index, "pathPrefix"], `service ${rival.name} takes a method of this path already`);
        }
        names.add(candidate.name);
    });
}

function checkBursts(fleet: Fleet, report: Report): void {
    const smallest = Math.max(0, ...Object.values(fleet.models).map((candidate) => candidate.smallestChargeTokens));
    const call = Math.max(0, ...fleet.services.map((candidate) => candidate.chargeTokens));
    for (const [profileName, candidate] of Object.entries(fleet.profiles)) {
        for (const [workspace, terms] of Object.entries(candidate.workspaces)) {
            const path = ["profiles", profileName, "workspaces", workspace, "burstTokens"];
            if (terms.burstTokens < smallest) {
                report(path, `the burst is below the smallest charge of a model, ${smallest} tokens`);
            }
            else if (terms.burstTokens < call) {
                report(path, `the burst is below the charge of a service's call, ${call} tokens`);
            }
        }
    }
}
