import type * as configuration from "./configuration.js";
import * as urgency from "./urgency.js";

/** A configuration with indexes for request lookup. */
export interface RouteTable {
    readonly configuration: configuration.RoutingConfiguration;
    readonly routesByHostName: ReadonlyMap<string, readonly configuration.Route[]>;
    readonly workspaceByKey: ReadonlyMap<string, configuration.Workspace>;
    readonly serviceByName: ReadonlyMap<string, configuration.Service>;
    readonly servicesWithUrgencies: ReadonlySet<string>;
}

export function makeRouteTable(source: configuration.RoutingConfiguration): RouteTable {
    const routesByHostName = new Map<string, configuration.Route[]>();
    for (const route of source.routes) {
        const routes = routesByHostName.get(route.hostName) ?? [];
        routes.push(route);
        routesByHostName.set(route.hostName, routes);
    }
    for (const routes of routesByHostName.values()) {
        routes.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length);
    }
    const workspaceByKey = new Map<string, configuration.Workspace>();
    for (const workspace of source.workspaces ?? []) {
        workspace.keys.forEach((key) => workspaceByKey.set(key, workspace));
    }
    return {
        configuration: source,
        routesByHostName,
        workspaceByKey,
        serviceByName: new Map(source.services.map((service) => [service.name, service])),
        servicesWithUrgencies: urgency.servicesWithUrgencies(source.routes),
    };
}

/** The host name in a Host header, in lower case and without the port. */
export function hostNameOf(header: string): string {
    return header.trim().toLowerCase().replace(/:\d*$/, "");
}

/** The route with the longest path prefix that matches, or undefined. `pathAndQuery` may contain a query. */
export function findRoute(
    table: RouteTable,
    hostHeader: string,
    pathAndQuery: string,
): configuration.Route | undefined {
    const query = pathAndQuery.indexOf("?");
    const path = query < 0 ? pathAndQuery : pathAndQuery.slice(0, query);
    return table.routesByHostName.get(hostNameOf(hostHeader))?.find((route) => path.startsWith(route.pathPrefix));
}

/** Picks the service of a target by weight, for a random fraction in [0, 1). Undefined if all weights are zero. */
export function pickTarget(route: configuration.Route, fraction: number): string | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = fraction * total;
    for (const target of route.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return undefined;
}

/** Outcome of a key check. */
export enum Access {
    /** The route needs no key. */
    Open = "open",
    Granted = "granted",
    /** No workspace holds the key. */
    Denied = "denied",
}

/** Outcome of a key check, with the workspace that holds the key. */
export type KeyCheck =
    | { readonly access: Access.Open | Access.Denied; }
    | { readonly access: Access.Granted; readonly workspace: configuration.Workspace; };

/** Checks the key of a request to a route. */
export function checkKey(table: RouteTable, route: configuration.Route, key: string | undefined): KeyCheck {
    if (route.allowsAnonymous || table.configuration.workspaces === undefined) {
        return { access: Access.Open };
    }
    const workspace = key === undefined ? undefined : table.workspaceByKey.get(key);
    return workspace ? { access: Access.Granted, workspace } : { access: Access.Denied };
}
