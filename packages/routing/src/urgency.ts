import type * as configuration from "./configuration.js";

/**
 * The services whose requests compete by kind: their generative routes have several priorities. The others have little to decide
 * between but times and sizes.
 */
export function servicesWithUrgencies(routes: readonly configuration.Route[]): ReadonlySet<string> {
    const prioritiesByService = new Map<string, Set<number>>();
    for (const { generative, priority, targets } of routes) {
        for (const { service } of generative ? targets : []) {
            const priorities = prioritiesByService.get(service) ?? new Set();
            prioritiesByService.set(service, priorities.add(priority));
        }
    }
    return new Set([...prioritiesByService].filter(([, { size }]) => size > 1).map(([service]) => service));
}
