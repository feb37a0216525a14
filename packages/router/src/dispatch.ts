import type * as configuration from "@citronlead/configuration";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as authenticate from "./authenticate.js";
import type * as callerRequests from "./callerrequest.js";
import * as modelpath from "./modelpath.js";
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

/** Finds the route of a path, or the refusal of a path that leads nowhere. */
export function findRoute(fleet: configuration.Fleet, method: string, pathAndQuery: string): Route | refusals.Refusal {
    const path = pathAndQuery.split("?")[0] ?? "/";
    const modelRoute = MODEL_ROUTES[path];
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

/** The profile that a route runs under, as far as the path tells; models name theirs in the body. */
export function profileOf(
    fleet: configuration.Fleet,
    route: Route,
    body: Buffer,
): configuration.Profile | undefined {
    if (route.kind === RouteKind.Service) {
        return fleet.profiles[route.service.profile];
    }
    if (route.kind === RouteKind.Completion) {
        const completion = openai.readCompletion(route.completion, body);
        const model = typeof completion === "string" ? undefined : fleet.models[completion.model];
        return model ? fleet.profiles[model.profile] : undefined;
    }
    return undefined;
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
    current: configuration.Configuration,
    route: Route,
    request: callerRequests.CallerRequest,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    switch (route.kind) {
        case RouteKind.Models:
            reply.sendJson(response, 200, openai.modelList(Object.keys(current.fleet.models)));
            return undefined;
        case RouteKind.Service:
            return serveCall(served, route.service, request, response);
        case RouteKind.Completion:
            return serveCompletion(served, current, route.completion, request, response);
    }
}

async function serveCall(
    served: parts.Parts,
    service: configuration.Service,
    request: callerRequests.CallerRequest,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    const charge = await chargeRequest(served, request, service.chargeTokens);
    if (isRefusal(charge)) {
        reply.sendRefusal(response, request.requestId, charge);
        return charge;
    }
    const outcome = await servicepath.serveService(served, request, service);
    charge(service.chargeTokens);
    if (outcome.answered) {
        reply.sendStored(response, request.requestId, outcome);
        return undefined;
    }
    reply.sendRefusal(response, request.requestId, outcome.refusal);
    return outcome.refusal;
}

type Settle = (usedTokens: number) => void;

function isRefusal(value: Settle | refusals.Refusal): value is refusals.Refusal {
    return typeof value !== "function";
}

async function chargeRequest(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    tokens: number,
): Promise<Settle | refusals.Refusal> {
    const workspace = request.credential?.workspace;
    if (workspace === undefined) {
        return () => undefined;
    }
    const charge = await served.admission.charge({
        requestId: request.requestId,
        workspace,
        tokens,
        deadline: request.deadline,
        signal: request.signal,
    });
    request.note("admission", charge.granted ? "charged" : "refused", { tokens });
    if (charge.granted) {
        return charge.settle;
    }
    return request.signal.aborted
        ? { ...modelpath.abortRefusal(request), ran: refusals.Ran.No }
        : refusals.notRun(refusals.Reason.RateExceeded, "the workspace's rate is used up", charge.retryAfterMs);
}

async function serveCompletion(
    served: parts.Parts,
    current: configuration.Configuration,
    kind: openai.CompletionKind,
    request: callerRequests.CallerRequest,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    const completion = openai.readCompletion(kind, request.body);
    const checked = typeof completion === "string"
        ? refusals.notRun(refusals.Reason.BadRequest, completion)
        : checkModel(current.fleet, completion);
    if (typeof completion === "string" || "reason" in checked) {
        const refusal = checked as refusals.Refusal;
        reply.sendRefusal(response, request.requestId, refusal);
        return refusal;
    }
    const wish = makeWish(completion, checked, request);
    const charge = await chargeRequest(
        served,
        request,
        Math.max(checked.model.smallestChargeTokens, wish.promptTokens + wish.outputTokens),
    );
    if (isRefusal(charge)) {
        reply.sendRefusal(response, request.requestId, charge);
        return charge;
    }
    return sendCompletion(served, completion, wish, charge, request, response);
}

async function sendCompletion(
    served: parts.Parts,
    completion: openai.Completion,
    wish: modelpath.ModelWish,
    settle: Settle,
    request: callerRequests.CallerRequest,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    const head: openai.AnswerHead = {
        id: request.requestId,
        kind: completion.kind,
        model: completion.model,
        created: Math.floor(new Date().getTime() / 1_000),
    };
    const answer = new reply.AnswerStream(response, head);
    const texts: string[] = [];
    const watch = watchTokens(served, request);
    const outcome = await modelpath.serveModel(served, request, wish, (text) => {
        watch();
        if (completion.stream) {
            return answer.token(text);
        }
        texts.push(text);
        return undefined;
    });
    if (!outcome.whole) {
        settle(outcome.refusal.ran === refusals.Ran.No ? 0 : wish.promptTokens + outcome.outputTokens);
        reply.sendRefusal(response, request.requestId, outcome.refusal);
        return outcome.refusal;
    }
    settle(outcome.promptTokens + outcome.outputTokens);
    if (completion.stream) {
        answer.finish(outcome.finishReason);
    }
    else {
        const text = texts.join("");
        const { finishReason, promptTokens, outputTokens } = outcome;
        reply.sendJson(response, 200, openai.wholeAnswer(head, text, finishReason, promptTokens, outputTokens), {
            "x-request-id": request.requestId,
        });
    }
    return undefined;
}

/** Measures the time to the first token and between tokens. */
function watchTokens(served: parts.Parts, request: callerRequests.CallerRequest): () => void {
    const { clock, metrics } = served.context;
    const labels = { workspace: metrics.label(request.credential?.workspace) };
    let last: number | undefined;
    return () => {
        const now = clock();
        if (last === undefined) {
            metrics.timeToFirstToken.observe(labels, (now - request.arrivedAt) / 1_000);
            request.note("router", "first token");
        }
        else {
            metrics.timeBetweenTokens.observe(labels, (now - last) / 1_000);
        }
        last = now;
    };
}

interface CheckedModel {
    readonly model: configuration.Model;
    readonly profile: configuration.Profile;
}

function checkModel(fleet: configuration.Fleet, completion: openai.Completion): CheckedModel | refusals.Refusal {
    const model = fleet.models[completion.model];
    const profile = model ? fleet.profiles[model.profile] : undefined;
    if (!model || !profile) {
        return refusals.notRun(refusals.Reason.UnknownModel, "no model of this name");
    }
    if (estimateTokens(completion.prompt) > model.longestPromptTokens) {
        return refusals.notRun(refusals.Reason.PromptTooLong, "the prompt is longer than the model takes");
    }
    return { model, profile };
}

const BYTES_PER_TOKEN = 3;
const DEFAULT_OUTPUT_TOKENS = 256;
const PREFIX_BYTES = 1_024;
const PREFIX_LIMIT = 64;

/** An upper bound of a text's tokens for usual texts; the engine's own count settles the charge. */
function estimateTokens(text: string): number {
    return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}

function makeWish(
    completion: openai.Completion,
    { model, profile }: CheckedModel,
    request: callerRequests.CallerRequest,
): modelpath.ModelWish {
    return {
        pool: model.pool,
        workspace: request.credential?.workspace ?? "",
        priority: profile.priority,
        prompt: completion.prompt,
        promptTokens: estimateTokens(completion.prompt),
        outputTokens: Math.min(model.longestOutputTokens, completion.outputTokens ?? DEFAULT_OUTPUT_TOKENS),
        fingerprint: fingerprint(completion),
        prefixHashes: prefixHashes(completion),
        firstTokenTargetMs: profile.firstTokenTarget,
    };
}

/** Names the content of a completion, whoever sends it. */
function fingerprint(completion: openai.Completion): string {
    return crypto.createHash("sha256").update(`${completion.model}\n${completion.prompt}`).digest("hex");
}

/** Hashes of the prompt's prefixes, each a fixed length longer than the one before. */
function prefixHashes(completion: openai.Completion): string[] {
    const bytes = Buffer.from(completion.prompt);
    const hash = crypto.createHash("sha256").update(completion.model);
    const hashes: string[] = [];
    for (let end = PREFIX_BYTES; end <= bytes.length && hashes.length < PREFIX_LIMIT; end += PREFIX_BYTES) {
        hash.update(bytes.subarray(end - PREFIX_BYTES, end));
        hashes.push(hash.copy().digest("hex").slice(0, 16));
    }
    return hashes;
}
