import type * as configuration from "@citronlead/configuration";
import * as pino from "pino";

/** Makes the logger of a router, which writes JSON lines to standard output. */
export function makeLog(settings: configuration.RouterSettings, incarnation: string): pino.Logger {
    return pino.pino({
        level: settings.log.level,
        base: { host: settings.host, availabilityZone: settings.availabilityZone, incarnation },
        timestamp: pino.stdTimeFunctions.isoTime,
        redact: ["headers.authorization", "headers.cookie", "body", "prompt", "key"],
    });
}
