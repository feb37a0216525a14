import * as lifecycle from "@citronlead/lifecycle";
import type * as contexts from "../context.js";
import type * as schedulings from "../scheduling/shell.js";

/** A prefill is overdue when it exceeds its estimated duration by this factor and margin. */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MS = 50;

/**
 * Reports a prefill to the shard owner while it still runs, once it is overdue. Returns a function that cancels the
 * report. Does nothing when the placement has no estimated duration.
 */
export function reportOverduePrefill(context: contexts.Context, placement: schedulings.Placement): () => void {
    if (placement.prefillMs === undefined) {
        return () => undefined;
    }
    const overdueMs = placement.prefillMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
    return lifecycle.after(
        context.scope,
        overdueMs,
        () => placement.reportProgress?.({ prefillMs: overdueMs, prefillDone: false }),
    );
}
