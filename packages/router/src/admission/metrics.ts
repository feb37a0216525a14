import type * as admission from "@citronlead/admission";
import * as promClient from "prom-client";
import type * as metrics from "../metrics.js";

/** Counters for the part of rate limiting that this host does. */
export interface AdmissionMetrics {
    readonly countTokens: (record: admission.RecordTokens) => void;
    readonly countSentMessage: (message: admission.Message) => void;
}

/** Registers the counters with the router's metrics. */
export function makeAdmissionMetrics(routerMetrics: metrics.Metrics): AdmissionMetrics {
    const tokens = new promClient.Counter({
        name: "citronlead_admission_tokens_total",
        help: "Tokens that the slices owned here granted, took back or booked as used beyond the charge.",
        labelNames: ["workspace", "kind"] as const,
        registers: [routerMetrics.registry],
    });
    const sentMessages = new promClient.Counter({
        name: "citronlead_admission_messages_total",
        help: "Messages about rates sent to other hosts.",
        labelNames: ["kind"] as const,
        registers: [routerMetrics.registry],
    });
    return {
        countTokens: (record) =>
            tokens.inc(
                { workspace: routerMetrics.workspaceLabel(record.workspace), kind: record.record },
                record.tokens,
            ),
        countSentMessage: (message) => sentMessages.inc({ kind: message.kind }),
    };
}
