import type * as configuration from "@citronlead/configuration";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as openai from "../callers/openai.js";
import * as reply from "../callers/reply.js";
import type * as callerRequests from "../callers/request.js";
import type * as components from "../components.js";
import * as refusals from "../refusal.js";
import * as charging from "./charge.js";
import * as modelServing from "./model.js";

/** A parsed completion request with its model and profile. */
export interface ResolvedCompletion {
    readonly completion: openai.Completion;
    /** Estimated from the length of the prompt; usually an upper bound. */
    readonly promptTokens: number;
    readonly model: configuration.Model;
    readonly profile: configuration.Profile;
}

/** Below the average of usual texts, so that the estimated token count is an upper bound for them. */
const ESTIMATED_BYTES_PER_TOKEN = 3;
const DEFAULT_OUTPUT_TOKENS = 256;
/** The difference in length between two hashed prefixes of a prompt. */
const PREFIX_STEP_BYTES = 1_024;
const MAX_PREFIX_HASHES = 64;

/** Parses the body of a completion request and looks up its model and profile. */
export function resolveCompletion(
    fleet: configuration.Fleet,
    kind: openai.CompletionKind,
    body: Buffer,
): ResolvedCompletion | refusals.Refusal {
    const completion = openai.parseCompletion(kind, body);
    if (typeof completion === "string") {
        return refusals.notRun(refusals.Reason.BadRequest, completion);
    }
    const model = Object.hasOwn(fleet.models, completion.model) ? fleet.models[completion.model] : undefined;
    const profile = model ? fleet.profiles[model.profile] : undefined;
    if (!model || !profile) {
        return refusals.notRun(refusals.Reason.UnknownModel, "no model of this name");
    }
    const promptTokens = estimateTokens(completion.prompt);
    return promptTokens > model.longestPromptTokens
        ? refusals.notRun(refusals.Reason.PromptTooLong, "the prompt is longer than the model takes")
        : { completion, promptTokens, model, profile };
}

/** Estimates the number of tokens in a text. The charge is later settled by the engine's own count. */
function estimateTokens(text: string): number {
    return Math.max(1, Math.ceil(Buffer.byteLength(text) / ESTIMATED_BYTES_PER_TOKEN));
}

/** Serves a completion and sends its final answer. Returns the refusal if that is the answer. */
export async function serveCompletion(
    router: components.RouterComponents,
    resolved: ResolvedCompletion,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    const modelRequest = makeModelRequest(resolved, request);
    const tokens = Math.max(resolved.model.smallestChargeTokens, modelRequest.promptTokens + modelRequest.outputTokens);
    const charge = await charging.chargeRequest(router, request, tokens);
    if (!charge.granted) {
        reply.sendRefusal(response, request.requestId, charge.refusal);
        return charge.refusal;
    }
    const timedRouter = recordQueueingOnPlacement(router, request, timings);
    const answer = makeAnswerWriter(resolved.completion, request, response);
    const recordToken = makeTokenTimer(router, request, timings);
    const outcome = await modelServing.serveModel(timedRouter, request, modelRequest, (text) => {
        recordToken();
        return answer.writeToken(text);
    });
    if (!outcome.completed) {
        charge.settle(outcome.refusal.ran === refusals.Ran.No ? 0 : modelRequest.promptTokens + outcome.outputTokens);
        reply.sendRefusal(response, request.requestId, outcome.refusal);
        return outcome.refusal;
    }
    charge.settle(outcome.promptTokens + outcome.outputTokens);
    answer.finish(outcome.finishReason, outcome);
    return undefined;
}

function makeAnswerWriter(
    completion: openai.Completion,
    request: callerRequests.CallerRequest,
    response: http.ServerResponse,
): reply.AnswerWriter {
    const metadata: openai.AnswerMetadata = {
        id: request.requestId,
        kind: completion.kind,
        model: completion.model,
        created: Math.floor(Date.now() / 1_000),
    };
    return completion.stream
        ? new reply.StreamedAnswer(response, metadata, completion.includeUsage)
        : new reply.BufferedAnswer(response, metadata);
}

/** Wraps scheduling so that the queueing time is recorded when the request is placed. */
function recordQueueingOnPlacement(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
): components.RouterComponents {
    const place: components.RouterComponents["scheduling"]["place"] = async (placementRequest) => {
        const outcome = await router.scheduling.place(placementRequest);
        if (outcome.placed) {
            charging.recordQueueing(router, request, timings);
        }
        return outcome;
    };
    return { ...router, scheduling: { ...router.scheduling, place } };
}

/** Returns a function to call for each token, which records the time to the first token and between tokens. */
function makeTokenTimer(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
): () => void {
    const { clock, metrics } = router.context;
    const labels = { workspace: metrics.workspaceLabel(request.credential?.workspace) };
    let lastTokenAt: number | undefined;
    return () => {
        const now = clock();
        timings.outputTokens++;
        if (lastTokenAt === undefined) {
            timings.firstTokenMs = now - request.arrivedAt;
            metrics.timeToFirstToken.observe(labels, timings.firstTokenMs / 1_000);
            request.addTraceStep("router", "first token");
        }
        else {
            metrics.timeBetweenTokens.observe(labels, (now - lastTokenAt) / 1_000);
        }
        lastTokenAt = now;
    };
}

function makeModelRequest(
    resolved: ResolvedCompletion,
    request: callerRequests.CallerRequest,
): modelServing.ModelRequest {
    const { completion, model, profile, promptTokens } = resolved;
    return {
        pool: model.pool,
        workspace: request.credential?.workspace ?? "",
        priority: profile.priority,
        prompt: completion.prompt,
        promptTokens,
        outputTokens: Math.min(model.longestOutputTokens, completion.outputTokens ?? DEFAULT_OUTPUT_TOKENS),
        fingerprint: contentFingerprint(completion),
        prefixHashes: prefixHashes(completion),
        firstTokenTargetMs: profile.firstTokenTarget,
    };
}

/** Hash of a completion's model and prompt, the same for every caller. */
function contentFingerprint(completion: openai.Completion): string {
    return crypto.createHash("sha256").update(`${completion.model}\n${completion.prompt}`).digest("hex");
}

/** Hashes of the prompt's prefixes, shortest first. Each prefix is PREFIX_STEP_BYTES longer than the one before. */
function prefixHashes(completion: openai.Completion): string[] {
    const bytes = Buffer.from(completion.prompt);
    const hash = crypto.createHash("sha256").update(completion.model);
    const hashes: string[] = [];
    for (
        let end = PREFIX_STEP_BYTES;
        end <= bytes.length && hashes.length < MAX_PREFIX_HASHES;
        end += PREFIX_STEP_BYTES
    ) {
        hash.update(bytes.subarray(end - PREFIX_STEP_BYTES, end));
        hashes.push(hash.copy().digest("hex").slice(0, 16));
    }
    return hashes;
}
