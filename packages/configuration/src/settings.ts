import * as zod from "zod";
import * as source from "./source.js";
import * as units from "./units.js";

const endpoint = zod.strictObject({
    /** An IP number of this host. */
    address: zod.union([zod.ipv4(), zod.ipv6()]),
    port: zod.int().min(0).max(65535),
});

/** The levels of the log. */
export enum LogLevel {
    Debug = "debug",
    Info = "info",
    Warn = "warn",
    Error = "error",
    Silent = "silent",
}

/** Checks the settings of one router process. */
export const routerSettingsSchema = zod.strictObject({
    /** The name of this host, unique in the fleet. */
    host: zod.string().regex(/^[a-z0-9][a-z0-9.-]*$/),
    availabilityZone: zod.string().min(1),
    /** Where callers connect. */
    callers: endpoint,
    /** Where other routers connect. */
    peers: endpoint,
    /** Where operators and the platform's balancer ask: health, metrics, status and explanations. */
    control: endpoint,
    platform: zod.strictObject({
        /** Base addresses of the key-value service. */
        keyValue: zod.array(zod.url()).min(1),
        hostList: zod.url(),
        weightStore: zod.url().optional(),
        timeout: units.duration.default(1_000),
        /** How often the list of upstream hosts is read. */
        hostListPeriod: units.duration.default(1_000),
    }),
    stop: zod.strictObject({
        /** How long the router goes on accepting after it reports that it is not ready, for the balancer to notice. */
        noticePeriod: units.duration.default(1_000),
        /** The longest that requests under way are waited for. */
        drainPeriod: units.duration.default(600_000),
    }).prefault({}),
    limits: zod.strictObject({
        body: units.byteSize.default(1024 * 1024),
        headers: units.byteSize.default(16 * 1024),
        /** A caller must have sent its headers by then. */
        headerTimeout: units.duration.default(5_000),
        /** A caller must have sent its whole request by then. */
        requestTimeout: units.duration.default(15_000),
        openRequests: zod.int().positive().default(4_000),
    }).prefault({}),
    log: zod.strictObject({ level: zod.enum(LogLevel).default(LogLevel.Info) }).prefault({}),
});

/** The settings of one router process; durations in milliseconds, sizes in bytes. */
export type RouterSettings = zod.output<typeof routerSettingsSchema>;

/** Parses and checks the YAML text of a router's settings. */
export function parseRouterSettings(file: string, text: string): source.Checked<RouterSettings> {
    return source.parseYaml(file, text, routerSettingsSchema);
}
