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

/** The base address of a service of the platform, without a path. */
const baseAddress = zod.string().regex(
    /^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "expected an address with an IP number and a port, such as http://192.0.2.7:2379",
);

const settingsShape = zod.strictObject({
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
        keyValue: zod.array(baseAddress).min(1),
        hostList: baseAddress,
        weightStore: baseAddress.optional(),
        timeout: units.positiveDuration.default(1_000),
        /** How often the list of upstream hosts is read. */
        hostListPeriod: units.positiveDuration.default(1_000),
    }),
    stop: zod.strictObject({
        /** How long the router goes on accepting after it reports that it is not ready, for the balancer to notice. */
        noticePeriod: units.duration.default(1_000),
        /** The longest that requests under way are waited for. */
        drainPeriod: units.positiveDuration.default(600_000),
    }).prefault({}),
    limits: zod.strictObject({
        body: units.positiveSize.default(1024 * 1024),
        headers: units.positiveSize.default(16 * 1024),
        /** A caller must have sent its headers by then. */
        headerTimeout: units.positiveDuration.default(5_000),
        /** A caller must have sent its whole request by then. */
        requestTimeout: units.positiveDuration.default(15_000),
        openRequests: zod.int().positive().default(4_000),
    }).prefault({}),
    log: zod.strictObject({ level: zod.enum(LogLevel).default(LogLevel.Info) }).prefault({}),
});

/** Checks the settings of one router process, single values and their combinations. */
export const routerSettingsSchema = settingsShape.superRefine(checkCombinations);

/** The settings of one router process; durations in milliseconds, sizes in bytes. */
export type RouterSettings = zod.output<typeof settingsShape>;

/** Parses and checks the YAML text of a router's settings. */
export function parseRouterSettings(file: string, text: string): source.Checked<RouterSettings> {
    return source.parseYaml(file, text, routerSettingsSchema);
}

const ENDPOINTS = ["callers", "peers", "control"] as const;
/** Addresses that mean every address of the host: nobody can connect to them by that number. */
const UNSPECIFIED = new Set(["0.0.0.0", "::"]);
const LEAST_HEADERS_BYTES = 1024;

function checkCombinations(settings: RouterSettings, context: zod.RefinementCtx): void {
    const report = (path: string[], message: string) => context.addIssue({ code: "custom", path, message });
    ENDPOINTS.forEach((name, index) => {
        const { address, port } = settings[name];
        const rival = ENDPOINTS.slice(0, index).find((other) =>
            port !== 0 && settings[other].port === port
            && (settings[other].address === address || UNSPECIFIED.has(address)
                || UNSPECIFIED.has(settings[other].address))
        );
        if (rival !== undefined) {
            report([name, "port"], `${rival} listens on this port already`);
        }
    });
    if (UNSPECIFIED.has(settings.peers.address)) {
        report(["peers", "address"], "other routers connect to this number: name one of this host's own");
    }
    if (settings.peers.port === 0) {
        report(["peers", "port"], "other routers connect to this port: name one");
    }
    if (settings.limits.headerTimeout > settings.limits.requestTimeout) {
        report(["limits", "headerTimeout"], "the headers may not take longer than the whole request");
    }
    if (settings.limits.headers < LEAST_HEADERS_BYTES) {
        report(["limits", "headers"], `usual callers need ${LEAST_HEADERS_BYTES} bytes of headers`);
    }
}
