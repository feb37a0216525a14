import type * as admissions from "./admission/shell.js";
import type * as configurations from "./configuration/shell.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membership/shell.js";
import type * as operations from "./operations/shell.js";
import type * as orders from "./orders/shell.js";
import type * as quarantines from "./quarantine/shell.js";
import type * as schedulings from "./scheduling/shell.js";
import type * as upstreams from "./upstreams.js";

/** The components of a running router that handle requests. */
export interface RouterComponents {
    readonly context: contexts.Context;
    readonly configuration: configurations.ConfigurationInForce;
    readonly membership: memberships.Membership;
    readonly admission: admissions.Admission;
    readonly scheduling: schedulings.Scheduling;
    readonly operations: operations.Operations;
    readonly quarantine: quarantines.Quarantine;
    readonly orders: orders.Orders;
    readonly upstreams: upstreams.Upstreams;
}
