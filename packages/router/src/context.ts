import type * as configuration from "@citronlead/configuration";
import type * as decision from "@citronlead/decision";
import type * as lifecycle from "@citronlead/lifecycle";
import type * as platform from "@citronlead/platform";
import type * as http from "node:http";
import type * as pino from "pino";
import type * as metrics from "./metrics.js";
import type * as traces from "./trace.js";
import type * as traffics from "./traffic.js";

/** Resources shared by all components of a router process. */
export interface Context {
    readonly settings: configuration.RouterSettings;
    /** A unique id, generated at each start of the process. */
    readonly incarnation: string;
    /** Closes when the process stops; components create child scopes of it. */
    readonly scope: lifecycle.Scope;
    readonly clock: decision.Clock;
    readonly log: pino.Logger;
    readonly metrics: metrics.Metrics;
    readonly traces: traces.Traces;
    readonly keyValue: platform.KeyValue;
    /** Keep-alive agent for connections to upstreams. */
    readonly agent: http.Agent;
    /** Counts bytes on connections to the platform and to other routers. */
    readonly control: traffics.ControlTraffic;
}

/** The name under which engines record the memory that this process holds: its host and incarnation. */
export function memoryHolderName(context: Context): string {
    return `${context.settings.host}/${context.incarnation}`;
}
