import type * as decision from "@citronlead/decision";
import type * as configuration from "./configuration.js";
import * as tables from "./table.js";

/** The configuration that a host applies. */
export interface ActiveConfiguration {
    readonly table: tables.RouteTable;
    /** When it was adopted, on the monotonic clock. */
    readonly adoptedAt: decision.Milliseconds;
}

/**
 * Returns the newer of the active and the offered configuration, so that a late read or another host's copy never
 * reverts it.
 */
export function adoptConfiguration(
    active: ActiveConfiguration | undefined,
    offered: configuration.RoutingConfiguration,
    now: decision.Milliseconds,
): ActiveConfiguration {
    if (active && active.table.configuration.version >= offered.version) {
        return active;
    }
    return { table: tables.makeRouteTable(offered), adoptedAt: now };
}
