import * as dispatch from "@citronlead/dispatch";
import type * as routing from "@citronlead/routing";
import type * as exchanges from "./exchange.js";

/** Whether a request may use an upstream, by the regions that its route and its workspace allow. */
export function mayUse(
    { allowedRegions, context }: exchanges.Exchange,
    { availabilityZone }: routing.Upstream,
): boolean {
    return dispatch.mayUseRegion(allowedRegions, context.regionOf(availabilityZone));
}

/** Whether a request's body may be sent to another host, given by its address; the same regions decide. */
export function mayReachHost({ allowedRegions, context }: exchanges.Exchange, address: string): boolean {
    return dispatch.mayUseRegion(allowedRegions, context.regionOfHost(address));
}
