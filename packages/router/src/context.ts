import type * as configuration from "@citronlead/configuration";
import type * as decision from "@citronlead/decision";
import type * as lifecycle from "@citronlead/lifecycle";
import type * as platform from "@citronlead/platform";
import type * as http from "node:http";
import type * as pino from "pino";
import type * as metrics from "./metrics.js";
import type * as traces from "./trace.js";
import type * as traffics from "./traffic.js";

/** What every part of one router process works with. */
export interface Context {
    readonly settings: configuration.RouterSettings;
    /** New at every start of the process. */
    readonly incarnation: string;
    /** Closes when the process stops; parts make children of it. */
    readonly scope: lifecycle.Lifecycle;
    readonly clock: decision.Clock;
    readonly log: pino.Logger;
    readonly metrics: metrics.Metrics;
    readonly traces: traces.Traces;
    readonly keyValue: platform.KeyValue;
    /** Keeps connections to upstreams open between calls. */
    readonly agent: http.Agent;
    /** Connections to the platform and to other routers, counted. */
    readonly control: traffics.ControlTraffic;
}

/** The name under which this process holds engine memory: its host and incarnation. */
export function holderOf(context: Context): string {
    return `${context.settings.host}/${context.incarnation}`;
}
