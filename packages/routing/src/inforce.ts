import type * as decision from "@citronlead/decision";
import type * as configuration from "./configuration.js";
import * as routetable from "./routetable.js";

/** The configuration that a host acts on. */
export interface InForce {
    readonly table: routetable.RouteTable;
    /** When it was adopted, on the monotonic clock. */
    readonly adoptedAt: decision.Milliseconds;
}

/** Adopts a configuration unless one as new is in force: late reads and other hosts' copies never revert a host. */
export function adopt(
    inForce: InForce | undefined,
    offered: configuration.RoutedConfiguration,
    now: decision.Milliseconds,
): InForce {
    if (inForce && inForce.table.configuration.version >= offered.version) {
        return inForce;
    }
    return { table: routetable.makeRouteTable(offered), adoptedAt: now };
}
