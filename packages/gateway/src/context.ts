import type * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";
import type * as lifecycle from "@citronlead/lifecycle";
import type * as http from "node:http";
import type * as exchanges from "./exchange.js";
import type * as limits from "./limits.js";
import type * as logs from "./log.js";
import type * as metrics from "./metrics.js";
import type * as versions from "./model/versions.js";
import type * as observations from "./observations.js";
import type * as peers from "./peers.js";
import type * as quarantines from "./quarantine.js";
import type * as relays from "./relay/client.js";
import type * as reachabilities from "./relay/reachability.js";
import type * as settings from "./settings.js";
import type * as speeds from "./speeds.js";
import type * as stops from "./stop.js";
import type * as views from "./store/view.js";
import type * as turns from "./turns.js";
import type * as agents from "./upstream/agent.js";
import type * as notices from "./upstream/notices.js";
import type * as polling from "./upstream/polls.js";
import type * as pools from "./upstream/pool.js";
import type * as wires from "./wire.js";

/** Services and state shared by the modules of a gateway. */
export interface GatewayContext {
    readonly scope: lifecycle.Scope;
    readonly settings: settings.GatewaySettings;
    readonly clock: decision.Clock;
    /** Draws a number in [0, 1). */
    readonly random: () => number;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    readonly wireFormat: wires.WireFormat;
    readonly agent: agents.UpstreamAgent;
    readonly polls: polling.PollRecorder;
    readonly pool: pools.UpstreamPool;
    readonly notices: notices.UpstreamNotices;
    readonly storeView: views.StoreView;
    readonly peers: peers.Peers;
    readonly retryBudget: dispatch.RetryBudget;
    readonly outputForecast: dispatch.OutputForecast;
    readonly durationForecast: dispatch.DurationForecast;
    readonly quarantine: quarantines.Quarantine;
    readonly limits: limits.UpstreamLimits;
    readonly longBodies: dispatch.Pace;
    readonly longStreams: dispatch.Pace;
    readonly observations: observations.UpstreamObservations;
    readonly turns: turns.HostTurns;
    readonly speeds: speeds.EngineSpeeds;
    readonly reachability: reachabilities.UpstreamReachability;
    readonly relay: relays.RelayClient;
    /** Region of an availability zone; undefined if it is not known. */
    readonly regionOf: (zone: string) => string | undefined;
    /** Region of another host, by its address; undefined if it is not known. */
    readonly regionOfHost: (address: string) => string | undefined;
    readonly hostStop: stops.HostStop;
    readonly streamVersions: versions.StreamVersions;
    /** Sends the gateway's own response to a request that is not served. */
    readonly sendRefusal: (
        response: http.ServerResponse,
        requestId: string | undefined,
        refusal: exchanges.Refusal,
    ) => void;
    /** Logs how a request ended and counts it in the metrics. */
    readonly logOutcome: (exchange: exchanges.Exchange, reason: exchanges.FinalReason, status: number) => void;
}
