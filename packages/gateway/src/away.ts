import type * as decision from "@citronlead/decision";
import * as exchanges from "./exchange.js";
import * as regions from "./regions.js";

/** Time by which callers are spread that come back once an upstream takes requests again. */
const RETURN_SPREAD_MS = 400;
/** Mean Retry-After while all zones of a service are emptied: operators take them back some seconds later at the earliest. */
const EMPTIED_RETRY_AFTER_MS = 3_000;

/**
 * Refuses a request while each upstream leaves, wants nothing or is in an emptied zone. `leavingRetryAfterMs` is told if all of
 * them leave.
 */
export function refuseWhileAway(exchange: exchanges.Exchange, leavingRetryAfterMs: decision.Milliseconds): void {
    const { clock, pool, random } = exchange.context;
    const now = clock();
    if (pool.isEmptied(exchange.service, now)) {
        const retryAfterMs = EMPTIED_RETRY_AFTER_MS * (0.5 + random());
        exchange.refuse({ status: 503, reason: exchanges.FinalReason.ZonesEmptied, retryAfterMs });
        return;
    }
    const returnsInMs = pool.returnsInMs(exchange.service, now, (upstream) => regions.mayUse(exchange, upstream))
        ?? Infinity;
    exchange.refuse({
        status: 503,
        reason: exchanges.FinalReason.UpstreamsAway,
        retryAfterMs: Number.isFinite(returnsInMs)
            ? returnsInMs + RETURN_SPREAD_MS * random()
            : leavingRetryAfterMs,
    });
}
