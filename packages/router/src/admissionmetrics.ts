import type * as admission from "@citronlead/admission";
import * as promClient from "prom-client";
import type * as metrics from "./metrics.js";

/** Counters of this host's share in keeping workspaces' rates. */
export interface AdmissionMetrics {
    readonly noteRecord: (record: admission.Record) => void;
    readonly noteMessage: (message: admission.Message) => void;
}

/** Makes the counters in the router's registry. */
export function makeAdmissionMetrics(known: metrics.Metrics): AdmissionMetrics {
    const tokens = new promClient.Counter({
        name: "citronlead_admission_tokens_total",
        help: "Tokens that the slices owned here granted, took back or booked as used beyond the charge.",
        labelNames: ["workspace", "kind"] as const,
        registers: [known.registry],
    });
    const sent = new promClient.Counter({
        name: "citronlead_admission_messages_total",
        help: "Messages about rates sent to other hosts.",
        labelNames: ["kind"] as const,
        registers: [known.registry],
    });
    return {
        noteRecord: (record) =>
            tokens.inc({ workspace: known.label(record.workspace), kind: record.record }, record.tokens),
        noteMessage: (message) => sent.inc({ kind: message.kind }),
    };
}
