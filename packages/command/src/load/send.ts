import * as decision from "@citronlead/decision";
import * as eventsourceParser from "eventsource-parser";
import * as http from "node:http";
import * as zod from "zod";
import type * as plans from "./plan.js";

/** How one request of a load ended. */
export interface Ending {
    readonly workspace: string;
    readonly kind: string;
    /** "answered", the reason of a refusal, or "broken" when the connection broke before the final answer. */
    readonly outcome: string;
    readonly durationMs: decision.Milliseconds;
    /** Undefined without a token. */
    readonly firstTokenMs: decision.Milliseconds | undefined;
    /** The times between tokens. */
    readonly gapsMs: readonly decision.Milliseconds[];
}

/** How requests are sent. */
export interface SendOptions {
    readonly agent: http.Agent;
    readonly clock: decision.Clock;
    readonly keys: Readonly<Record<string, string>>;
    readonly signal: AbortSignal;
    /** Names the load in idempotency keys. */
    readonly loadId: string;
}

/** The outcome of a request whose connection broke. */
export const BROKEN = "broken";
/** The outcome of a request that was answered whole. */
export const ANSWERED = "answered";

const CHARACTERS_PER_TOKEN = 4;
const WORDS = ["lot ", "oak ", "vein", "edge", "fine", "hard", "room", "coat", "tone", "soft", "flaw", "pale"];
const errorSchema = zod.looseObject({ error: zod.looseObject({ reason: zod.string() }) });
const chunkSchema = zod.looseObject({
    choices: zod.array(zod.looseObject({ finish_reason: zod.string().nullable() })),
});

/** Sends one request to a router and follows its answer to the end. */
export function sendPlanned(router: string, planned: plans.PlannedRequest, options: SendOptions): Promise<Ending> {
    const { wanted, workspace } = planned;
    const startedAt = options.clock();
    const tokenTimes: number[] = [];
    return new Promise((resolve) => {
        const end = (outcome: string) =>
            resolve({
                workspace,
                kind: wanted.kind === "completion" ? wanted.model : `${wanted.method} ${wanted.path}`,
                outcome,
                durationMs: options.clock() - startedAt,
                firstTokenMs: tokenTimes[0] === undefined ? undefined : tokenTimes[0] - startedAt,
                gapsMs: tokenTimes.slice(1).map((time, index) => time - (tokenTimes[index] ?? time)),
            });
        const request = http.request(router + pathOf(planned), {
            method: wanted.kind === "completion" ? "POST" : wanted.method,
            agent: options.agent,
            signal: options.signal,
            headers: headersOf(planned, options),
        });
        request.on("error", () => end(BROKEN));
        request.on("response", (response) => {
            const noteToken = () => void tokenTimes.push(options.clock());
            void readAnswer(response, noteToken).then(end, () => end(BROKEN));
        });
        request.end(bodyOf(planned));
    });
}

function pathOf({ wanted }: plans.PlannedRequest): string {
    return wanted.kind === "completion" ? "/v1/completions" : wanted.path;
}

function headersOf(planned: plans.PlannedRequest, options: SendOptions): http.OutgoingHttpHeaders {
    const { wanted, workspace, number } = planned;
    const key = options.keys[workspace];
    return {
        "content-type": "application/json",
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(wanted.kind === "call" && wanted.idempotencyKey
            ? { "idempotency-key": `${options.loadId}-${number}` }
            : {}),
    };
}

function bodyOf({ wanted, promptTokens, outputTokens, number, workspace }: plans.PlannedRequest): string | undefined {
    if (wanted.kind === "call") {
        return wanted.method === "POST" ? JSON.stringify({ number }) : undefined;
    }
    const start = `${workspace} ${number} `;
    const words = Array.from({ length: promptTokens }, (_, index) => WORDS[(number + index * index) % WORDS.length]);
    const prompt = (start + words.join("")).slice(0, promptTokens * CHARACTERS_PER_TOKEN);
    return JSON.stringify({ model: wanted.model, prompt, max_tokens: outputTokens, stream: true });
}

/** Reads an answer to its end. Returns its outcome. */
async function readAnswer(response: http.IncomingMessage, noteToken: () => void): Promise<string> {
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
                refusal = reasonOf(data);
            }
            else if (chunk.data.choices[0]?.finish_reason === null) {
                noteToken();
            }
        },
    });
    for await (const piece of response) {
        if (streamed) {
            parser.feed(piece as string);
        }
        else {
            text += piece as string;
        }
    }
    if (streamed) {
        return refusal ?? (done ? ANSWERED : BROKEN);
    }
    return response.statusCode === 200 ? ANSWERED : reasonOf(text);
}

function reasonOf(text: string): string {
    try {
        const parsed = errorSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data.error.reason : "refused without a reason";
    }
    catch {
        return "refused without a reason";
    }
}
