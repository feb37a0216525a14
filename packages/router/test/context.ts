import * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as crypto from "node:crypto";
import type * as contexts from "../src/context.js";
import * as logs from "../src/log.js";
import * as metrics from "../src/metrics.js";
import * as traces from "../src/trace.js";
import * as traffic from "../src/traffic.js";

const ZONES = ["braga-a", "porto-b", "gmr-c"];

/** Makes the context of a router in the test's process, with the platform stand-in at the given port. */
export function makeRouterContext(scope: lifecycle.Scope, index: number, platformPort: number): contexts.Context {
    const service = `http://127.0.0.1:${platformPort}`;
    const port = platformPort + 1 + index;
    const endpoint = (last: number) => ({ address: `127.0.0.${last}`, port });
    const settings = configuration.routerSettingsSchema.parse({
        host: `host-${index}`,
        availabilityZone: ZONES[index % ZONES.length],
        callers: endpoint(32),
        peers: endpoint(31),
        control: endpoint(33),
        platform: { keyValue: [service], hostList: service, weightStore: service },
        log: { level: "silent" },
    });
    const incarnation = crypto.randomUUID();
    const agent = platform.makeAgent();
    scope.defer(() => agent.destroy());
    const routerMetrics = metrics.makeMetrics();
    return {
        settings,
        incarnation,
        scope,
        agent,
        clock: lifecycle.monotonicClock,
        log: logs.makeLog(settings, incarnation),
        metrics: routerMetrics,
        control: traffic.countControlTraffic(scope, routerMetrics.registry),
        traces: traces.makeTraces(settings.host, 1, lifecycle.monotonicClock),
        keyValue: platform.connectKeyValue({ addresses: [service], timeoutMs: 500, agent }),
    };
}
