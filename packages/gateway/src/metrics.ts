import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as promClient from "prom-client";

/** Metrics of a gateway. Times are in seconds. */
export interface GatewayMetrics {
    readonly registry: promClient.Registry;
    readonly requests: promClient.Counter<"service" | "outcome">;
    readonly sends: promClient.Counter<"service" | "call" | "result">;
    readonly firstByte: promClient.Histogram<"service">;
    readonly duration: promClient.Histogram<"service">;
    readonly waiting: promClient.Histogram<"service">;
    readonly turnWaiting: promClient.Histogram<"service" | "urgency" | "outcome">;
    readonly turns: promClient.Counter<"service" | "urgency" | "decision">;
    readonly turnWaiters: promClient.Gauge<"service" | "urgency">;
    readonly connections: promClient.Counter;
    readonly closedConnections: promClient.Counter<"reason">;
    /** Starts to report the memory that is held for callers. */
    readonly watchHeldBytes: (heldBytes: () => number) => void;
    readonly stoppingRequests: promClient.Counter<"decision">;
    readonly droppedRequests: promClient.Counter;
    readonly droppedLogLines: promClient.Counter;
    readonly answerEnds: promClient.Counter<"call" | "framing" | "end">;
    readonly malformedHeads: promClient.Counter<"call" | "problem">;
    readonly endProofs: promClient.Counter<"proof">;
    readonly foreignAnswers: promClient.Counter<"call">;
    readonly notRunAnswers: promClient.Counter<"service" | "status" | "basis">;
    readonly resends: promClient.Counter<"call" | "kind" | "basis">;
    readonly unreadMessages: promClient.Counter<"reason">;
    readonly crashReports: promClient.Counter<"report" | "source">;
    readonly observations: promClient.Counter<"state" | "source">;
    readonly storeCalls: promClient.Counter<"call" | "result">;
    readonly configurationVersion: promClient.Gauge;
    readonly emptiedZones: promClient.Gauge<"zone">;
}

/** Buckets of the latency histograms: latency targets are tenths of a second, and deadlines are some seconds. */
const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.9, 1.5, 3, 6, 14];

/** What this host makes of an upstream, for the metrics. */
export interface UpstreamDescription {
    readonly upstream: string;
    readonly service: string;
    readonly belief: dispatch.Belief;
    /** Age of the newest report on it in milliseconds; infinite if there is none. */
    readonly reportAgeMs: number;
    /** How long it takes in relation to others. */
    readonly slowness: number;
}

/** Values of the metric of beliefs. */
const BELIEF_VALUES: Readonly<Record<dispatch.Belief, number>> = {
    [dispatch.Belief.Sound]: 0,
    [dispatch.Belief.Suspected]: 1,
    [dispatch.Belief.Down]: 2,
};

/**
 * Makes the metrics; `countExcluded` counts the upstreams to which this host sends nothing for a reason, `countWarmingUp` those
 * that warm up, `describeUpstreams` lists what it makes of them.
 */
export function makeGatewayMetrics(
    countExcluded: (reason: dispatch.Exclusion) => number,
    countWarmingUp: () => number = () => 0,
    describeUpstreams: () => readonly UpstreamDescription[] = () => [],
): GatewayMetrics {
    const registry = new promClient.Registry();
    const registers = [registry];
    const counter = <Label extends string>(name: string, help: string, labelNames: readonly Label[]) =>
        new promClient.Counter({ name, help, labelNames, registers });
    const histogram = (name: string, help: string) =>
        new promClient.Histogram({
            name,
            help,
            labelNames: ["service"] as const,
            buckets: LATENCY_BUCKETS_SECONDS,
            registers,
        });
    const excluded = new promClient.Gauge({
        name: "citronlead_gateway_excluded_upstreams",
        help: "Upstreams to which nothing is sent now, by reason.",
        labelNames: ["reason"] as const,
        registers,
        collect: () =>
            Object.values(dispatch.Exclusion).forEach((reason) => excluded.set({ reason }, countExcluded(reason))),
    });
    const warmingUp: promClient.Gauge = new promClient.Gauge({
        name: "citronlead_gateway_warming_upstreams",
        help: "Upstreams that warm up, and get what they bear meanwhile.",
        registers,
        collect: () => warmingUp.set(countWarmingUp()),
    });
    const byUpstream = (name: string, help: string, valueOf: (description: UpstreamDescription) => number) => {
        const gauge = new promClient.Gauge({
            name,
            help,
            labelNames: ["service", "upstream"] as const,
            registers,
            collect: () => {
                gauge.reset();
                for (const description of describeUpstreams()) {
                    const { service, upstream } = description;
                    const value = valueOf(description);
                    if (Number.isFinite(value)) {
                        gauge.set({ service, upstream }, value);
                    }
                }
            },
        });
    };
    byUpstream(
        "citronlead_gateway_upstream_belief",
        "What all hosts have seen of an upstream: 0 sound, 1 suspected, 2 down.",
        ({ belief }) => BELIEF_VALUES[belief],
    );
    byUpstream(
        "citronlead_gateway_upstream_report_age_seconds",
        "Age of the newest report on an upstream, if there is one.",
        ({ reportAgeMs }) => reportAgeMs / decision.SECOND_MS,
    );
    byUpstream(
        "citronlead_gateway_upstream_slowness",
        "How long an upstream takes in relation to others of its service.",
        ({ slowness }) => slowness,
    );
    return {
        registry,
        requests: counter("citronlead_gateway_requests_total", "Requests by outcome.", ["service", "outcome"]),
        sends: counter("citronlead_gateway_sends_total", "Sends to upstreams by result.", [
            "service",
            "call",
            "result",
        ]),
        firstByte: histogram("citronlead_gateway_first_byte_seconds", "From arrival to the first byte of the answer."),
        duration: histogram("citronlead_gateway_duration_seconds", "From arrival to the end of the answer."),
        waiting: histogram("citronlead_gateway_waiting_seconds", "Time spent waiting for room at an engine."),
        turnWaiting: new promClient.Histogram({
            name: "citronlead_gateway_turn_waiting_seconds",
            help: "Time that requests waited for a turn, by how the wait ended.",
            labelNames: ["service", "urgency", "outcome"] as const,
            buckets: LATENCY_BUCKETS_SECONDS,
            registers,
        }),
        turns: counter("citronlead_gateway_turns_total", "Decisions of this host on who gets room next.", [
            "service",
            "urgency",
            "decision",
        ]),
        turnWaiters: new promClient.Gauge({
            name: "citronlead_gateway_turn_waiters",
            help: "Requests of all hosts that wait for a turn that this host decides.",
            labelNames: ["service", "urgency"] as const,
            registers,
        }),
        connections: counter("citronlead_gateway_connections_total", "Connections opened to upstreams.", []),
        closedConnections: counter(
            "citronlead_gateway_closed_connections_total",
            "Connections of callers and hosts that were closed to stay within a bound, by reason.",
            ["reason"],
        ),
        watchHeldBytes: (heldBytes) => {
            const gauge: promClient.Gauge = new promClient.Gauge({
                name: "citronlead_gateway_held_bytes",
                help: "Memory that is held for callers.",
                registers,
                collect: () => gauge.set(heldBytes()),
            });
        },
        stoppingRequests: counter("citronlead_gateway_stopping_requests_total", "Requests while stopping.", [
            "decision",
        ]),
        droppedRequests: counter(
            "citronlead_gateway_dropped_requests_total",
            "Requests behind the last answer of a connection.",
            [],
        ),
        droppedLogLines: counter("citronlead_gateway_dropped_log_lines_total", "Log lines beyond the bound.", []),
        answerEnds: counter("citronlead_gateway_answer_ends_total", "How answers of upstreams were framed and ended.", [
            "call",
            "framing",
            "end",
        ]),
        malformedHeads: counter("citronlead_gateway_malformed_heads_total", "Answers refused for their head.", [
            "call",
            "problem",
        ]),
        endProofs: counter("citronlead_gateway_end_proofs_total", "What ends of answers without framing rest on.", [
            "proof",
        ]),
        foreignAnswers: counter("citronlead_gateway_foreign_answers_total", "Answers that belonged to another call.", [
            "call",
        ]),
        notRunAnswers: counter(
            "citronlead_gateway_not_run_answers_total",
            "Final answers that promise that nothing ran, by the weakest of what they rest on.",
            ["service", "status", "basis"],
        ),
        resends: counter(
            "citronlead_gateway_resends_total",
            "Sends of a request after others, by the weakest of what says that those did not run it.",
            ["call", "kind", "basis"],
        ),
        unreadMessages: counter(
            "citronlead_gateway_unread_messages_total",
            "Datagrams that were not read, by reason.",
            [
                "reason",
            ],
        ),
        crashReports: counter(
            "citronlead_gateway_crash_reports_total",
            "Reports on requests that may crash upstreams.",
            ["report", "source"],
        ),
        observations: counter(
            "citronlead_gateway_observations_total",
            "News on upstreams, own and told by other hosts.",
            ["state", "source"],
        ),
        storeCalls: counter("citronlead_gateway_store_calls_total", "Calls to the store.", ["call", "result"]),
        configurationVersion: new promClient.Gauge({
            name: "citronlead_gateway_configuration_version",
            help: "Version of the configuration in force.",
            registers,
        }),
        emptiedZones: new promClient.Gauge({
            name: "citronlead_gateway_emptied_zones",
            help: "Unix time since when this host sends nothing new to an emptied availability zone.",
            labelNames: ["zone"] as const,
            registers,
        }),
    };
}
