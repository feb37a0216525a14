import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as http from "node:http";
import type * as contexts from "../context.js";
import type * as wires from "../wire.js";
import * as calls from "./call.js";

/** Status with which an upstream names itself as another one than the request expects. */
export const WRONG_UPSTREAM_STATUS = 421;
/** Status with which an upstream turns a request away. */
const UNAVAILABLE_STATUS = 503;
/** Maximum number of values that have been logged as unreadable. */
const MAX_REPORTED = 1_000;

/** Whether another incarnation or another upstream has answered a call. */
export function isWrongUpstream(outcome: calls.CallOutcome): boolean {
    return outcome.progress === calls.CallProgress.Responded
        && outcome.response.statusCode === WRONG_UPSTREAM_STATUS;
}

/** Call and request whose response holds a notice, for the log. */
export interface NoticeSource {
    readonly call: string;
    readonly requestId: string | undefined;
}

/** Reads in every response what an upstream says of itself: that it leaves, or wants nothing for a time. */
export class UpstreamNotices {
    private readonly reported = new Set<string>();

    constructor(
        private readonly context: Pick<contexts.GatewayContext, "clock" | "limits" | "log" | "pool" | "random">,
    ) {}

    /** Takes in a response of an upstream. One of another upstream at its address says nothing of this one. */
    observe(
        upstream: routing.Upstream,
        response: http.IncomingMessage,
        metadata: wires.ResponseMetadata,
        source: NoticeSource,
    ): void {
        const { clock, pool, random } = this.context;
        const gate = pool.gateOf(upstream);
        if (response.statusCode === WRONG_UPSTREAM_STATUS) {
            gate.recordReplaced(clock());
            this.log(upstream, dispatch.Exclusion.Replaced, source);
            return;
        }
        this.context.limits.warmUps.observe(upstream, metadata.warmUpLeftMs);
        metadata.unreadableNotices.forEach((notice) => this.reportUnreadable(upstream, notice, source));
        if (metadata.leaving && gate.recordLeaving()) {
            this.log(upstream, dispatch.Exclusion.Leaving, source);
        }
        const { retryAfterMs } = metadata;
        const wantsNothing = response.statusCode === UNAVAILABLE_STATUS && retryAfterMs !== undefined
            && retryAfterMs > 0;
        if (wantsNothing && gate.recordWait(retryAfterMs, random(), clock())) {
            this.log(upstream, dispatch.Exclusion.Waiting, source, retryAfterMs);
        }
    }

    /** Takes in what another host has read in a response that it relayed. */
    observeRelayed(incarnation: string, source: NoticeSource): void {
        const upstream = this.context.pool.find(incarnation);
        if (upstream && this.context.pool.gateOf(upstream).recordLeaving()) {
            this.log(upstream, dispatch.Exclusion.Leaving, source);
        }
    }

    private log(
        upstream: routing.Upstream,
        reason: dispatch.Exclusion,
        source: NoticeSource,
        retryAfterMs?: number,
    ): void {
        const { clock, log, pool } = this.context;
        const returnsInMs = pool.gateOf(upstream).returnsInMs(clock());
        log.decision("upstream excluded", {
            upstream: upstream.id,
            service: upstream.service,
            incarnation: routing.incarnationOf(upstream),
            reason,
            ...source,
            retryAfterMs,
            returnsInMs: Number.isFinite(returnsInMs) ? Math.round(returnsInMs) : undefined,
            endsAt: Number.isFinite(returnsInMs) ? new Date(Date.now() + returnsInMs).toISOString() : undefined,
        });
    }

    private reportUnreadable(upstream: routing.Upstream, notice: string, source: NoticeSource): void {
        const key = `${routing.incarnationOf(upstream)} ${notice}`;
        if (this.reported.has(key) || this.reported.size >= MAX_REPORTED) {
            return;
        }
        this.reported.add(key);
        this.context.log.decision("unreadable notice of an upstream", { upstream: upstream.id, notice, ...source });
    }
}
