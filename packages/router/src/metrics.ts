import * as promClient from "prom-client";

/** The Prometheus metrics of a router. Durations are in seconds, as is usual for Prometheus. */
export interface Metrics {
    readonly registry: promClient.Registry;
    readonly timeToFirstToken: promClient.Histogram<"workspace">;
    readonly timeBetweenTokens: promClient.Histogram<"workspace">;
    readonly queueing: promClient.Histogram<"workspace">;
    readonly duration: promClient.Histogram<"workspace">;
    readonly requests: promClient.Counter<"workspace" | "outcome">;
    readonly upstreamCalls: promClient.Counter<"call" | "result">;
    readonly openRequests: promClient.Gauge;
    /** Maps a workspace to its label value. Workspaces beyond the limit share the label "other". */
    readonly workspaceLabel: (workspace: string | undefined) => string;
}

/** Bounds the number of time series per metric. */
const MAX_WORKSPACE_LABELS = 50;
const OTHER_WORKSPACES = "other";
const NO_WORKSPACE = "none";
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.036, 0.06, 0.1, 0.2, 0.35, 0.53, 1, 2, 5, 10, 30, 60, 120];

/** Creates the metrics of a router, with at most `labelLimit` distinct workspace labels. */
export function makeMetrics(labelLimit: number = MAX_WORKSPACE_LABELS): Metrics {
    const registry = new promClient.Registry();
    promClient.collectDefaultMetrics({ register: registry });
    const histogram = (name: string, help: string) =>
        new promClient.Histogram({
            name,
            help,
            labelNames: ["workspace"] as const,
            buckets: LATENCY_BUCKETS_SECONDS,
            registers: [registry],
        });
    const registers = [registry];
    return {
        registry,
        timeToFirstToken: histogram("citronlead_time_to_first_token_seconds", "From arrival to the first token."),
        timeBetweenTokens: histogram("citronlead_time_between_tokens_seconds", "Between two tokens of a stream."),
        queueing: histogram("citronlead_queueing_seconds", "From arrival to the start at an upstream."),
        duration: histogram("citronlead_request_duration_seconds", "From arrival to the last byte."),
        requests: new promClient.Counter({
            name: "citronlead_requests_total",
            help: "Requests by outcome.",
            labelNames: ["workspace", "outcome"] as const,
            registers,
        }),
        upstreamCalls: new promClient.Counter({
            name: "citronlead_upstream_calls_total",
            help: "Calls to upstreams by result.",
            labelNames: ["call", "result"] as const,
            registers,
        }),
        openRequests: new promClient.Gauge({
            name: "citronlead_open_requests",
            help: "Requests under way.",
            registers,
        }),
        workspaceLabel: makeBoundedLabel(labelLimit),
    };
}

function makeBoundedLabel(limit: number): (value: string | undefined) => string {
    const seen = new Set<string>();
    return (value) => {
        if (value === undefined) {
            return NO_WORKSPACE;
        }
        if (!seen.has(value) && seen.size >= limit) {
            return OTHER_WORKSPACES;
        }
        seen.add(value);
        return value;
    };
}
