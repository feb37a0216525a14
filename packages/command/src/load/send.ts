import * as decision from "@citronlead/decision";
import * as eventsourceParser from "eventsource-parser";
import * as http from "node:http";
import * as zod from "zod";
import type * as plans from "./plan.js";

/** The result of one request of a load. */
export interface RequestResult {
    readonly workspace: string;
    /** The model, or the method and path of a call. */
    readonly kind: string;
    /** "answered", the reason of a refusal, or "broken" if the connection broke before the response was complete. */
    readonly outcome: string;
    readonly durationMs: decision.Milliseconds;
    /** Undefined if no token arrived. */
    readonly firstTokenMs: decision.Milliseconds | undefined;
    /** The gaps between tokens. */
    readonly gapsMs: readonly decision.Milliseconds[];
}

/** How requests are sent. */
export interface SendOptions {
    readonly agent: http.Agent;
    readonly clock: decision.Clock;
    /** Keys by workspace. */
    readonly keys: Readonly<Record<string, string>>;
    readonly signal: AbortSignal;
    /** Prefix of the idempotency keys of this load. */
    readonly loadId: string;
}

/** The outcome of a request whose connection broke. */
export const BROKEN = "broken";
/** The outcome of a request whose response was complete. */
export const ANSWERED = "answered";

const CHARACTERS_PER_TOKEN = 4;
/** Each has CHARACTERS_PER_TOKEN characters, so a prompt of n words counts as n tokens at the stand-in engines. */
const PROMPT_WORDS = ["lot ", "oak ", "vein", "edge", "fine", "hard", "room", "coat", "tone", "soft", "flaw", "pale"];
const errorSchema = zod.looseObject({ error: zod.looseObject({ reason: zod.string() }) });
const chunkSchema = zod.looseObject({
    choices: zod.array(zod.looseObject({ finish_reason: zod.string().nullable() })),
});

/** Sends one request to a router and reads its response to the end. */
export function sendRequest(
    router: string,
    planned: plans.PlannedRequest,
    options: SendOptions,
): Promise<RequestResult> {
    const { template, workspace } = planned;
    const startedAt = options.clock();
    const tokenTimes: number[] = [];
    return new Promise((resolve) => {
        const end = (outcome: string) =>
            resolve({
                workspace,
                kind: template.kind === "completion" ? template.model : `${template.method} ${template.path}`,
                outcome,
                durationMs: options.clock() - startedAt,
                firstTokenMs: tokenTimes[0] === undefined ? undefined : tokenTimes[0] - startedAt,
                gapsMs: tokenTimes.slice(1).map((time, index) => time - (tokenTimes[index] ?? time)),
            });
        const request = http.request(router + pathOf(planned), {
            method: template.kind === "completion" ? "POST" : template.method,
            agent: options.agent,
            signal: options.signal,
            headers: headersOf(planned, options),
        });
        request.on("error", () => end(BROKEN));
        request.on("response", (response) => {
            const onToken = () => void tokenTimes.push(options.clock());
            void readResponse(response, onToken).then(end, () => end(BROKEN));
        });
        request.end(bodyOf(planned));
    });
}

function pathOf({ template }: plans.PlannedRequest): string {
    return template.kind === "completion" ? "/v1/completions" : template.path;
}

function headersOf(planned: plans.PlannedRequest, options: SendOptions): http.OutgoingHttpHeaders {
    const { template, workspace, number } = planned;
    const key = options.keys[workspace];
    return {
        "content-type": "application/json",
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(template.kind === "call" && template.idempotencyKey
            ? { "idempotency-key": `${options.loadId}-${number}` }
            : {}),
    };
}

function bodyOf(
    { template, promptTokens, outputTokens, number, workspace }: plans.PlannedRequest,
): string | undefined {
    if (template.kind === "call") {
        return template.method === "POST" ? JSON.stringify({ number }) : undefined;
    }
    const start = `${workspace} ${number} `;
    const words = Array.from(
        { length: promptTokens },
        (_, index) => PROMPT_WORDS[(number + index * index) % PROMPT_WORDS.length],
    );
    const prompt = (start + words.join("")).slice(0, promptTokens * CHARACTERS_PER_TOKEN);
    return JSON.stringify({ model: template.model, prompt, max_tokens: outputTokens, stream: true });
}

/** Reads a response to its end. Returns its outcome. */
async function readResponse(response: http.IncomingMessage, onToken: () => void): Promise<string> {
    response.setEncoding("utf8");
    const streamed = response.headers["content-type"] === "text/event-stream";
    let text = "";
    let done = false;
    let refusal: string | undefined;
    const parser = eventsourceParser.createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                done = true;
                return;
            }
            const chunk = chunkSchema.safeParse(JSON.parse(data));
            if (!chunk.success) {
                refusal = parseRefusalReason(data);
            }
            else if (chunk.data.choices[0]?.finish_reason === null) {
                onToken();
            }
        },
    });
    for await (const chunk of response) {
        if (streamed) {
            parser.feed(chunk as string);
        }
        else {
            text += chunk as string;
        }
    }
    if (streamed) {
        return refusal ?? (done ? ANSWERED : BROKEN);
    }
    return response.statusCode === 200 ? ANSWERED : parseRefusalReason(text);
}

function parseRefusalReason(text: string): string {
    try {
        const parsed = errorSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data.error.reason : "refused without a reason";
    }
    catch {
        return "refused without a reason";
    }
}
