import * as lifecycle from "@citronlead/lifecycle";
import type * as contexts from "./context.js";
import type * as schedulings from "./schedulingshell.js";

/** A prefill that takes this much longer than thought is told of before it is done. */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MS = 50;

/** Tells the owner of a prefill that takes much longer than thought. Returns a function that ends the watch. */
export function watchOverdue(context: contexts.Context, placement: schedulings.Placement): () => void {
    if (placement.prefillMs === undefined) {
        return () => undefined;
    }
    const overdueMs = placement.prefillMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
    return lifecycle.after(
        context.scope,
        overdueMs,
        () => placement.progress?.({ prefillMs: overdueMs, prefillDone: false }),
    );
}
