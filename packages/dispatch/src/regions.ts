/** The regions that a request may use: its upstreams, the hosts that get its body, and its KV cache; undefined for all. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/**
 * The regions that a request may use by its route and its workspace, each undefined or empty if it names none. Answers for
 * requests whose data must not leave some regions: where both name regions, both bind, and none may be left.
 */
export function intersectRegions(
    ofRoute: readonly string[] | undefined,
    ofWorkspace: readonly string[] | undefined,
): AllowedRegions {
    const byRoute = ofRoute?.length ? ofRoute : undefined;
    const byWorkspace = ofWorkspace?.length ? ofWorkspace : undefined;
    if (byRoute && byWorkspace) {
        return new Set(byRoute.filter((region) => byWorkspace.includes(region)));
    }
    const named = byRoute ?? byWorkspace;
    return named && new Set(named);
}

/** Whether a request may use a region; undefined is one that is not known, which a request that names regions may not use. */
export function mayUseRegion(allowed: AllowedRegions, region: string | undefined): boolean {
    return allowed === undefined || (region !== undefined && allowed.has(region));
}
