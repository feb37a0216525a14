import * as zod from "zod";
import * as source from "./source.js";
import * as units from "./units.js";

const endpointSchema = zod.strictObject({
    /** An IP address of this host. */
    address: zod.union([zod.ipv4(), zod.ipv6()]),
    port: zod.int().min(0).max(65535),
});

/** The log levels. */
export enum LogLevel {
    Debug = "debug",
    Info = "info",
    Warn = "warn",
    Error = "error",
    Silent = "silent",
}

/** The base URL of a platform service, without a path. */
const baseAddressSchema = zod.string().regex(
    /^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "expected an address with an IP address and a port, such as http://192.0.2.7:2379",
);

const settingsObjectSchema = zod.strictObject({
    /** The name of this host, unique in the fleet. */
    host: zod.string().regex(/^[a-z0-9][a-z0-9.-]*$/),
    availabilityZone: zod.string().min(1),
    /** Address that callers connect to. */
    callers: endpointSchema,
    /** Address that other routers connect to. */
    peers: endpointSchema,
    /** Address for operators and the platform's load balancer: health, metrics, status and request traces. */
    control: endpointSchema,
    platform: zod.strictObject({
        /** Base URLs of the key-value service. */
        keyValue: zod.array(baseAddressSchema).min(1),
        hostList: baseAddressSchema,
        weightStore: baseAddressSchema.optional(),
        timeout: units.positiveDurationSchema.default(1_000),
        /** How often the host list, which names the upstreams, is read. */
        hostListPeriod: units.positiveDurationSchema.default(1_000),
    }),
    stop: zod.strictObject({
        /** How long the router still accepts requests after it reports not ready, so that the load balancer notices. */
        noticePeriod: units.durationSchema.default(1_000),
        /** The longest wait for requests in flight. */
        drainPeriod: units.positiveDurationSchema.default(600_000),
    }).prefault({}),
    limits: zod.strictObject({
        body: units.positiveSizeSchema.default(1024 * 1024),
        headers: units.positiveSizeSchema.default(16 * 1024),
        /** Time within which a caller must have sent its headers. */
        headerTimeout: units.positiveDurationSchema.default(5_000),
        /** Time within which a caller must have sent its whole request. */
        requestTimeout: units.positiveDurationSchema.default(15_000),
        openRequests: zod.int().positive().default(4_000),
    }).prefault({}),
    log: zod.strictObject({ level: zod.enum(LogLevel).default(LogLevel.Info) }).prefault({}),
});

/** Validates the settings of one router process: each value, and the values against each other. */
export const routerSettingsSchema = settingsObjectSchema.superRefine(checkCombinations);

/** Validated settings of one router process. Durations are in milliseconds, sizes in bytes. */
export type RouterSettings = zod.output<typeof settingsObjectSchema>;

/** Parses and validates the YAML text of a router's settings. */
export function parseRouterSettings(file: string, text: string): source.ParseResult<RouterSettings> {
    return source.parseYaml(file, text, routerSettingsSchema);
}

const ENDPOINTS = ["callers", "peers", "control"] as const;
/** Wildcard addresses: a process can listen on them, but others cannot connect to them. */
const UNSPECIFIED_ADDRESSES = new Set(["0.0.0.0", "::"]);
const MIN_HEADERS_BYTES = 1024;

function checkCombinations(settings: RouterSettings, context: zod.RefinementCtx): void {
    const report = (path: string[], message: string) => context.addIssue({ code: "custom", path, message });
    ENDPOINTS.forEach((name, index) => {
        const { address, port } = settings[name];
        const conflicting = ENDPOINTS.slice(0, index).find((other) =>
            port !== 0 && settings[other].port === port
            && (settings[other].address === address || UNSPECIFIED_ADDRESSES.has(address)
                || UNSPECIFIED_ADDRESSES.has(settings[other].address))
        );
        if (conflicting !== undefined) {
            report([name, "port"], `${conflicting} already listens on this port`);
        }
    });
    if (UNSPECIFIED_ADDRESSES.has(settings.peers.address)) {
        report(["peers", "address"], "other routers connect to this address: set an IP address of this host");
    }
    if (settings.peers.port === 0) {
        report(["peers", "port"], "other routers connect to this port: set one other than 0");
    }
    if (settings.limits.headerTimeout > settings.limits.requestTimeout) {
        report(["limits", "headerTimeout"], "must not exceed limits.requestTimeout");
    }
    if (settings.limits.headers < MIN_HEADERS_BYTES) {
        report(["limits", "headers"], `must be at least ${MIN_HEADERS_BYTES} bytes, which typical callers need`);
    }
}
