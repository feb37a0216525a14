import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import type * as http from "node:http";
import type * as authenticate from "./authenticate.js";
import type * as callerRequests from "./callerrequest.js";
import * as charging from "./charge.js";
import * as completions from "./completion.js";
import * as openai from "./openai.js";
import type * as parts from "./parts.js";
import * as refusals from "./refusal.js";
import * as reply from "./reply.js";
import * as servicepath from "./servicepath.js";

/** What a request's path leads to. */
export type Route =
    | { readonly kind: RouteKind.Completion; readonly completion: openai.CompletionKind; }
    | { readonly kind: RouteKind.Models; }
    | { readonly kind: RouteKind.Service; readonly service: configuration.Service; };

/** The kinds of route. */
export enum RouteKind {
    Completion = "completion",
    Models = "models",
    Service = "service",
}

/** What is to be done for a request, once its body was read. */
export type Plan =
    | { readonly kind: RouteKind.Completion; readonly asked: completions.AskedCompletion; }
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

/** What parts a path for some server: slashes and backslashes, as they are or percent-encoded. */
const SEPARATOR = /[/\\]|%2f|%5c/i;
const DOT_SEGMENT = /^(\.|%2e){1,2}$/i;

/** Finds the route of a path, or the refusal of a path that leads nowhere. */
export function findRoute(fleet: configuration.Fleet, method: string, pathAndQuery: string): Route | refusals.Refusal {
    const path = pathAndQuery.split("?")[0] ?? "/";
    if (path.split(SEPARATOR).some((segment) => DOT_SEGMENT.test(segment))) {
        return refusals.notRun(refusals.Reason.BadRequest, "the path has dot segments");
    }
    const modelRoute = Object.hasOwn(MODEL_ROUTES, path) ? MODEL_ROUTES[path] : undefined;
    if (modelRoute) {
        return modelRoute.method === method ? modelRoute.route : wrongMethod();
    }
    const underPrefix = fleet.services
        .filter((candidate) => path === candidate.pathPrefix || path.startsWith(`${candidate.pathPrefix}/`))
        .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    const longest = underPrefix[0]?.pathPrefix;
    const service = underPrefix.find((candidate) =>
        candidate.pathPrefix === longest && candidate.methods.some((allowed) => allowed === method)
    );
    if (service) {
        return { kind: RouteKind.Service, service };
    }
    return underPrefix.length > 0
        ? wrongMethod()
        : refusals.notRun(refusals.Reason.UnknownRoute, "no route for this path");
}

function wrongMethod(): refusals.Refusal {
    return refusals.notRun(refusals.Reason.MethodNotAllowed, "the route does not take this method");
}

/** Whether the route needs no key. */
export function isOpen(route: Route): boolean {
    return route.kind === RouteKind.Service && route.service.open;
}

/** Reads what is to be done from the route and the body, which is parsed here and nowhere else. */
export function makePlan(fleet: configuration.Fleet, route: Route, body: Buffer): Plan | refusals.Refusal {
    switch (route.kind) {
        case RouteKind.Models:
            return { kind: RouteKind.Models, names: Object.keys(fleet.models) };
        case RouteKind.Service:
            return { kind: RouteKind.Service, service: route.service };
        case RouteKind.Completion: {
            const asked = completions.readAsked(fleet, route.completion, body);
            return "reason" in asked ? asked : { kind: RouteKind.Completion, asked };
        }
    }
}

/** The name of the profile that a plan runs under: the class of the request. */
export function profileName(plan: Plan): string | undefined {
    switch (plan.kind) {
        case RouteKind.Models:
            return undefined;
        case RouteKind.Service:
            return plan.service.profile;
        case RouteKind.Completion:
            return plan.asked.model.profile;
    }
}

/** The name of the model or service that a plan leads to. */
export function targetName(plan: Plan): string | undefined {
    switch (plan.kind) {
        case RouteKind.Models:
            return undefined;
        case RouteKind.Service:
            return plan.service.name;
        case RouteKind.Completion:
            return plan.asked.completion.model;
    }
}

/** Refuses a request whose key would reach an upstream with the body. */
export function checkKeyPlacement(
    credential: authenticate.Credential | undefined,
    body: Buffer,
): refusals.Refusal | undefined {
    return credential && body.includes(credential.key)
        ? refusals.notRun(refusals.Reason.KeyMisplaced, "the key stands in the body")
        : undefined;
}

/** Serves a request and sends its final answer. Returns the refusal, if it was one. */
export async function serve(
    served: parts.Parts,
    plan: Plan,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    switch (plan.kind) {
        case RouteKind.Models:
            reply.sendJson(response, 200, openai.modelList(plan.names));
            return undefined;
        case RouteKind.Service:
            return serveCall(served, plan.service, request, timings, response);
        case RouteKind.Completion:
            return completions.serveCompletion(served, plan.asked, request, timings, response);
        default:
            return decision.unreachable(plan);
    }
}

async function serveCall(
    served: parts.Parts,
    service: configuration.Service,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    const charge = await charging.chargeRequest(served, request, service.chargeTokens);
    if (!charge.granted) {
        reply.sendRefusal(response, request.requestId, charge.refusal);
        return charge.refusal;
    }
    charging.noteStart(served, request, timings);
    const outcome = await servicepath.serveService(served, request, service);
    if (outcome.answered) {
        charge.settle(service.chargeTokens);
        reply.sendStored(response, outcome);
        return undefined;
    }
    charge.settle(outcome.refusal.ran === refusals.Ran.No ? 0 : service.chargeTokens);
    reply.sendRefusal(response, request.requestId, outcome.refusal);
    return outcome.refusal;
}
