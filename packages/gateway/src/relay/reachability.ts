import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as net from "node:net";
import * as background from "../background.js";
import type * as logs from "../log.js";
import type * as agents from "../upstream/agent.js";
import * as calls from "../upstream/call.js";
import type * as pools from "../upstream/pool.js";

/** Failures of calls that say nothing of the upstream. */
const SILENT_FAILURES: ReadonlySet<calls.CallFailure> = new Set([
    calls.CallFailure.Aborted,
    calls.CallFailure.Excluded,
    calls.CallFailure.Unwritable,
]);
/** Interval between the rounds of probes of a service that cannot be reached. */
const PROBE_PERIOD_MS = 250;
/** Number of upstreams that are probed in a round. */
const PROBES_PER_ROUND = 3;
/** Timeout of a probe. */
const PROBE_TIMEOUT_MS = 350;

export interface UpstreamReachabilityOptions {
    readonly scope: lifecycle.Scope;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly pool: pools.UpstreamPool;
    readonly agent: agents.UpstreamAgent;
    /** Draws a number in [0, 1). */
    readonly random: () => number;
}

/** Knows which services this host cannot reach, and probes their upstreams until it can. */
export class UpstreamReachability {
    private readonly services = new Map<string, dispatch.ServiceReachability>();

    constructor(private readonly options: UpstreamReachabilityOptions) {}

    stateOf(service: string): dispatch.Reachability {
        return this.services.get(service)?.state ?? dispatch.Reachability.Reachable;
    }

    /** Records how a call to an upstream ended, up to the headers of the response. */
    record(upstream: routing.Upstream, outcome: calls.CallOutcome): void {
        if (outcome.progress === calls.CallProgress.Responded || outcome.failure === calls.CallFailure.Malformed) {
            this.recordContact(upstream.service, "response");
        }
        else if (!SILENT_FAILURES.has(outcome.failure)) {
            this.recordFailure(upstream, outcome.reason);
        }
    }

    /** Records that an upstream is silent for so long that it may be gone, while its answer is still waited for. */
    recordSilence(upstream: routing.Upstream): void {
        this.recordFailure(upstream, "silent");
    }

    private recordContact(service: string, source: string): void {
        const known = this.services.get(service);
        if (!known) {
            return;
        }
        if (known.state !== dispatch.Reachability.Reachable) {
            this.options.log.notice("upstreams reachable again", { service, source });
            const now = this.options.clock();
            this.options.pool.candidates(service, now).forEach(({ health }) => health.endSuspension());
        }
        known.recordContact();
    }

    private recordFailure(upstream: routing.Upstream, reason: string): void {
        const { agent, clock, log, pool } = this.options;
        const { service } = upstream;
        const known = this.services.get(service) ?? new dispatch.ServiceReachability();
        this.services.set(service, known);
        const before = known.state;
        const candidates = pool.candidates(service, clock());
        known.recordFailure(routing.incarnationOf(upstream), candidates.length);
        if (before === dispatch.Reachability.Reachable && known.state !== before) {
            log.notice("upstreams unreachable", { service, state: known.state, upstreams: candidates.length, reason });
            // Idle connections may have gone silent.
            candidates.forEach((candidate) => agent.closeIdle(routing.incarnationOf(candidate.upstream)));
            background.runInBackground(log, "probe upstreams", () => this.probeUntilReachable(service, known));
        }
    }

    private async probeUntilReachable(service: string, known: dispatch.ServiceReachability): Promise<void> {
        const { clock, log, pool, random, scope } = this.options;
        while (!scope.closed && known.state !== dispatch.Reachability.Reachable) {
            const drawn = pool.candidates(service, clock())
                .map(({ upstream }) => ({
                    upstream,
                    order: random() + (known.hasFailed(routing.incarnationOf(upstream)) ? 1 : 0),
                }))
                .sort((one, other) => one.order - other.order)
                .slice(0, PROBES_PER_ROUND);
            const results = await Promise.all(drawn.map(({ upstream }) => canConnect(upstream)));
            if (results.includes(true)) {
                this.recordContact(service, "probe");
                return;
            }
            if (known.state === dispatch.Reachability.Suspected && drawn.length > 0) {
                log.notice("upstreams unreachable", {
                    service,
                    state: dispatch.Reachability.Lost,
                    probed: drawn.length,
                });
                known.recordFailedProbes();
            }
            await lifecycle.pause(scope, PROBE_PERIOD_MS);
        }
    }
}

/** Whether a connection to the upstream can be established. Nothing is sent on it. */
function canConnect({ address }: routing.Upstream): Promise<boolean> {
    const { host, port } = calls.splitAddress(address);
    return new Promise((resolve) => {
        const socket = net.connect({ host, port, timeout: PROBE_TIMEOUT_MS });
        const finish = (connected: boolean) => {
            socket.destroy();
            resolve(connected);
        };
        socket.on("connect", () => finish(true));
        socket.on("timeout", () => finish(false));
        socket.on("error", () => finish(false));
    });
}
