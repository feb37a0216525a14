import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import type * as http from "node:http";
import type * as authenticate from "../callers/authenticate.js";
import * as openai from "../callers/openai.js";
import * as reply from "../callers/reply.js";
import type * as callerRequests from "../callers/request.js";
import type * as components from "../components.js";
import * as refusals from "../refusal.js";
import * as charging from "./charge.js";
import * as completions from "./completion.js";
import * as serviceServing from "./service.js";

/** The endpoint that a method and path select. */
export type Route =
    | { readonly kind: RouteKind.Completion; readonly completion: openai.CompletionKind; }
    | { readonly kind: RouteKind.Models; }
    | { readonly kind: RouteKind.Service; readonly service: configuration.Service; };

/** The kinds of Route and Plan. */
export enum RouteKind {
    Completion = "completion",
    Models = "models",
    Service = "service",
}

/** How to serve a request, decided once its body has been read. */
export type Plan =
    | { readonly kind: RouteKind.Completion; readonly resolved: completions.ResolvedCompletion; }
    | { readonly kind: RouteKind.Models; readonly names: readonly string[]; }
    | { readonly kind: RouteKind.Service; readonly service: configuration.Service; };

const MODEL_ROUTES: Readonly<Record<string, { readonly method: string; readonly route: Route; }>> = {
    "/v1/chat/completions": {
        method: "POST",
        route: { kind: RouteKind.Completion, completion: openai.CompletionKind.Chat },
    },
    "/v1/completions": {
        method: "POST",
        route: { kind: RouteKind.Completion, completion: openai.CompletionKind.Text },
    },
    "/v1/models": { method: "GET", route: { kind: RouteKind.Models } },
};

/** Everything that some server treats as a path separator: slashes and backslashes, literal or percent-encoded. */
const SEGMENT_SEPARATOR = /[/\\]|%2f|%5c/i;
const DOT_SEGMENT = /^(\.|%2e){1,2}$/i;

/** Finds the route for a method and path, or the refusal if there is none. */
export function findRoute(fleet: configuration.Fleet, method: string, pathAndQuery: string): Route | refusals.Refusal {
    const path = pathAndQuery.split("?")[0] ?? "/";
    if (path.split(SEGMENT_SEPARATOR).some((segment) => DOT_SEGMENT.test(segment))) {
        return refusals.notRun(refusals.Reason.BadRequest, "the path has dot segments");
    }
    const modelRoute = Object.hasOwn(MODEL_ROUTES, path) ? MODEL_ROUTES[path] : undefined;
    if (modelRoute) {
        return modelRoute.method === method ? modelRoute.route : methodNotAllowed();
    }
    const matching = fleet.services
        .filter((candidate) => path === candidate.pathPrefix || path.startsWith(`${candidate.pathPrefix}/`))
        .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    const longestPrefix = matching[0]?.pathPrefix;
    const service = matching.find((candidate) =>
        candidate.pathPrefix === longestPrefix && candidate.methods.some((allowed) => allowed === method)
    );
    if (service) {
        return { kind: RouteKind.Service, service };
    }
    return matching.length > 0
        ? methodNotAllowed()
        : refusals.notRun(refusals.Reason.UnknownRoute, "no route for this path");
}

function methodNotAllowed(): refusals.Refusal {
    return refusals.notRun(refusals.Reason.MethodNotAllowed, "the route does not take this method");
}

/** Whether the route serves requests without a key. */
export function allowsAnonymous(route: Route): boolean {
    return route.kind === RouteKind.Service && route.service.open;
}

/** Makes the plan for a route and body. This is the only place that parses the body. */
export function makePlan(fleet: configuration.Fleet, route: Route, body: Buffer): Plan | refusals.Refusal {
    switch (route.kind) {
        case RouteKind.Models:
            return { kind: RouteKind.Models, names: Object.keys(fleet.models) };
        case RouteKind.Service:
            return { kind: RouteKind.Service, service: route.service };
        case RouteKind.Completion: {
            const resolved = completions.resolveCompletion(fleet, route.completion, body);
            return "reason" in resolved ? resolved : { kind: RouteKind.Completion, resolved };
        }
    }
}

/** The name of the profile that applies to a plan, logged as the class of the request. */
export function profileName(plan: Plan): string | undefined {
    switch (plan.kind) {
        case RouteKind.Models:
            return undefined;
        case RouteKind.Service:
            return plan.service.profile;
        case RouteKind.Completion:
            return plan.resolved.model.profile;
    }
}

/** The name of the model or service that serves a plan. */
export function targetName(plan: Plan): string | undefined {
    switch (plan.kind) {
        case RouteKind.Models:
            return undefined;
        case RouteKind.Service:
            return plan.service.name;
        case RouteKind.Completion:
            return plan.resolved.completion.model;
    }
}

/** Refuses a request whose body contains its key, so that the key does not reach an upstream. */
export function refuseKeyInBody(
    credential: authenticate.Credential | undefined,
    body: Buffer,
): refusals.Refusal | undefined {
    return credential && body.includes(credential.key)
        ? refusals.notRun(refusals.Reason.KeyMisplaced, "the key stands in the body")
        : undefined;
}

/** Serves a request and sends its final answer. Returns the refusal if that is the answer. */
export async function serve(
    router: components.RouterComponents,
    plan: Plan,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    switch (plan.kind) {
        case RouteKind.Models:
            reply.sendJson(response, 200, openai.modelListBody(plan.names));
            return undefined;
        case RouteKind.Service:
            return serveServiceCall(router, plan.service, request, timings, response);
        case RouteKind.Completion:
            return completions.serveCompletion(router, plan.resolved, request, timings, response);
        default:
            return decision.unreachable(plan);
    }
}

async function serveServiceCall(
    router: components.RouterComponents,
    service: configuration.Service,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    const charge = await charging.chargeRequest(router, request, service.chargeTokens);
    if (!charge.granted) {
        reply.sendRefusal(response, request.requestId, charge.refusal);
        return charge.refusal;
    }
    charging.recordQueueing(router, request, timings);
    const outcome = await serviceServing.serveService(router, request, service);
    if (outcome.answered) {
        charge.settle(service.chargeTokens);
        reply.sendServiceAnswer(response, outcome);
        return undefined;
    }
    charge.settle(outcome.refusal.ran === refusals.Ran.No ? 0 : service.chargeTokens);
    reply.sendRefusal(response, request.requestId, outcome.refusal);
    return outcome.refusal;
}
