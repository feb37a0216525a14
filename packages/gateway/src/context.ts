import type * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";
import type * as lifecycle from "@citronlead/lifecycle";
import type * as http from "node:http";
import type * as exchanges from "./exchange.js";
import type * as logs from "./log.js";
import type * as metrics from "./metrics.js";
import type * as peers from "./peers.js";
import type * as settings from "./settings.js";
import type * as views from "./store/view.js";
import type * as agents from "./upstream/agent.js";
import type * as pools from "./upstream/pool.js";
import type * as wires from "./wire.js";

/** What the parts of a gateway share. */
export interface GatewayContext {
    readonly scope: lifecycle.Lifecycle;
    readonly settings: settings.GatewaySettings;
    readonly clock: decision.Clock;
    /** Draws from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    readonly wire: wires.Wire;
    readonly agent: agents.UpstreamAgent;
    readonly pool: pools.UpstreamPool;
    readonly storeView: views.StoreView;
    readonly peers: peers.Peers;
    readonly retryBudget: dispatch.RetryBudget;
    readonly outputForecast: dispatch.OutputForecast;
    readonly crashSuspects: dispatch.CrashSuspects;
    /** Answers a request by the gateway itself. */
    readonly sendRefusal: (
        response: http.ServerResponse,
        requestId: string | undefined,
        refusal: exchanges.Refusal,
    ) => void;
    /** Writes the line that tells how a request ended. */
    readonly logOutcome: (exchange: exchanges.Exchange, reason: exchanges.FinalReason, status: number) => void;
}
