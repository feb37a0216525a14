import type * as configurations from "./configurationshell.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as upstreams from "./upstreams.js";

/** What this host is doing about the upstreams that it owns. */
export interface Orders {
    /** One line for each change under way, for `citronlead status`. */
    readonly underWay: () => readonly string[];
}

/** Starts the work on owned upstreams: orders, version changes, sweeps of memory that nobody answers for. */
export function startOrders(
    _context: contexts.Context,
    _configuration: configurations.ConfigurationInForce,
    _membership: memberships.Membership,
    _known: upstreams.Upstreams,
): Orders {
    return { underWay: () => [] };
}
