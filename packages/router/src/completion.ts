import type * as configuration from "@citronlead/configuration";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as callerRequests from "./callerrequest.js";
import * as charging from "./charge.js";
import * as modelpath from "./modelpath.js";
import * as openai from "./openai.js";
import type * as parts from "./parts.js";
import * as refusals from "./refusal.js";
import * as reply from "./reply.js";

/** A completion that was asked for, with the model and the profile that it runs under. */
export interface AskedCompletion {
    readonly completion: openai.Completion;
    readonly promptTokens: number;
    readonly model: configuration.Model;
    readonly profile: configuration.Profile;
}

const BYTES_PER_TOKEN = 3;
const DEFAULT_OUTPUT_TOKENS = 256;
const PREFIX_BYTES = 1_024;
const PREFIX_LIMIT = 64;

/** Reads the body of a completion and finds its model. */
export function readAsked(
    fleet: configuration.Fleet,
    kind: openai.CompletionKind,
    body: Buffer,
): AskedCompletion | refusals.Refusal {
    const completion = openai.readCompletion(kind, body);
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

/** An upper bound of a text's tokens for usual texts; the engine's own count settles the charge. */
function estimateTokens(text: string): number {
    return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}

/** Serves a completion and sends its final answer. Returns the refusal, if it was one. */
export async function serveCompletion(
    served: parts.Parts,
    asked: AskedCompletion,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
    response: http.ServerResponse,
): Promise<refusals.Refusal | undefined> {
    const wish = makeWish(asked, request);
    const tokens = Math.max(asked.model.smallestChargeTokens, wish.promptTokens + wish.outputTokens);
    const charge = await charging.chargeRequest(served, request, tokens);
    if (!charge.granted) {
        reply.sendRefusal(response, request.requestId, charge.refusal);
        return charge.refusal;
    }
    const timed = timePlacement(served, request, timings);
    const answer = makeAnswer(asked.completion, request, response);
    const watch = watchTokens(served, request, timings);
    const outcome = await modelpath.serveModel(timed, request, wish, (text) => {
        watch();
        return answer.token(text);
    });
    if (!outcome.whole) {
        charge.settle(outcome.refusal.ran === refusals.Ran.No ? 0 : wish.promptTokens + outcome.outputTokens);
        reply.sendRefusal(response, request.requestId, outcome.refusal);
        return outcome.refusal;
    }
    charge.settle(outcome.promptTokens + outcome.outputTokens);
    answer.finish(outcome.finishReason, outcome);
    return undefined;
}

function makeAnswer(
    completion: openai.Completion,
    request: callerRequests.CallerRequest,
    response: http.ServerResponse,
): reply.Answer {
    const head: openai.AnswerHead = {
        id: request.requestId,
        kind: completion.kind,
        model: completion.model,
        created: Math.floor(Date.now() / 1_000),
    };
    return completion.stream
        ? new reply.StreamedAnswer(response, head, completion.includeUsage)
        : new reply.WholeAnswer(response, head);
}

/** Notes the start at an upstream when a request is placed. */
function timePlacement(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
): parts.Parts {
    const place: parts.Parts["scheduling"]["place"] = async (wish) => {
        const outcome = await served.scheduling.place(wish);
        if (outcome.placed) {
            charging.noteStart(served, request, timings);
        }
        return outcome;
    };
    return { ...served, scheduling: { ...served.scheduling, place } };
}

/** Measures the time to the first token and between tokens. */
function watchTokens(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
): () => void {
    const { clock, metrics } = served.context;
    const labels = { workspace: metrics.label(request.credential?.workspace) };
    let last: number | undefined;
    return () => {
        const now = clock();
        timings.outputTokens++;
        if (last === undefined) {
            timings.firstToken = now - request.arrivedAt;
            metrics.timeToFirstToken.observe(labels, timings.firstToken / 1_000);
            request.note("router", "first token");
        }
        else {
            metrics.timeBetweenTokens.observe(labels, (now - last) / 1_000);
        }
        last = now;
    };
}

function makeWish(asked: AskedCompletion, request: callerRequests.CallerRequest): modelpath.ModelWish {
    const { completion, model, profile, promptTokens } = asked;
    return {
        pool: model.pool,
        workspace: request.credential?.workspace ?? "",
        priority: profile.priority,
        prompt: completion.prompt,
        promptTokens,
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
