import type * as configuration from "./configuration.js";

/**
 * The services whose requests may differ in urgency: by the priorities of workspaces, or by those of their routes where workspaces
 * are alike. The others have nothing to decide between but times and sizes.
 */
export function servicesWithUrgencies(
    { routes, workspaces }: Pick<configuration.RoutingConfiguration, "routes" | "workspaces">,
): ReadonlySet<string> {
    const prioritiesByService = new Map<string, Set<number>>();
    for (const { priority, targets } of routes) {
        for (const { service } of targets) {
            const priorities = prioritiesByService.get(service) ?? new Set();
            prioritiesByService.set(service, priorities.add(priority));
        }
    }
    const workspacesDiffer = new Set((workspaces ?? []).map(({ priority }) => priority)).size > 1;
    const services = [...prioritiesByService].filter(([, priorities]) => workspacesDiffer || priorities.size > 1);
    return new Set(services.map(([service]) => service));
}
