import type * as http from "node:http";
import * as openai from "./openai.js";
import type * as operations from "./operationsshell.js";
import * as refusals from "./refusal.js";

/** The header that names a request in answers, logs and explanations. */
export const REQUEST_ID_HEADER = "x-request-id";

/** Sends JSON as the whole answer. */
export function sendJson(
    response: http.ServerResponse,
    status: number,
    body: object,
    headers: http.OutgoingHttpHeaders = {},
): void {
    const payload = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { ...headers, "content-type": "application/json", "content-length": payload.length });
    response.end(payload);
}

/** The headers of a refusal. */
export function refusalHeaders(refusal: refusals.Refusal): Record<string, string> {
    return refusal.retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000))) };
}

/** Sends a refusal as the final answer: as JSON, or as the last event of a stream that has begun. */
export function sendRefusal(response: http.ServerResponse, requestId: string, refusal: refusals.Refusal): void {
    const body = refusals.refusalBody(refusal, requestId);
    if (response.headersSent) {
        response.end(`data: ${JSON.stringify(body)}\n\n`);
        return;
    }
    sendJson(response, refusals.statusOf(refusal), body, refusalHeaders(refusal));
}

/** Statuses whose answers have no body and no length. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Sends the answer of a plain service: its status, content type and body. */
export function sendStored(
    response: http.ServerResponse,
    outcome: Extract<operations.OperationOutcome, { answered: true; }>,
): void {
    const { status, contentType, body } = outcome.answer;
    const payload = Buffer.from(body, "base64");
    const bodiless = response.req.method === "HEAD" || BODILESS_STATUSES.has(status);
    response.writeHead(status, {
        "content-type": contentType,
        ...(bodiless ? {} : { "content-length": payload.length }),
        ...(outcome.replayed ? { "idempotent-replayed": "true" } : {}),
    });
    response.end(bodiless ? undefined : payload);
}

/** The answer to a completion, on its way to the caller. */
export interface Answer {
    /** Takes one token. A promise holds the stream back until the connection takes more. */
    readonly token: (text: string) => void | Promise<void>;
    /** Sends the end of a whole answer. */
    readonly finish: (finishReason: string, usage: openai.TokenCounts) => void;
}

/** Keeps the tokens and sends them as one JSON body at the end. */
export class WholeAnswer implements Answer {
    private readonly texts: string[] = [];

    constructor(private readonly response: http.ServerResponse, private readonly head: openai.AnswerHead) {}

    token(text: string): void {
        this.texts.push(text);
    }

    finish(finishReason: string, usage: openai.TokenCounts): void {
        sendJson(this.response, 200, openai.wholeAnswer(this.head, this.texts.join(""), finishReason, usage));
    }
}

/** Sends the tokens as they come. The head goes out with the first token. */
export class StreamedAnswer implements Answer {
    private readonly chunks: openai.ChunkWriter;

    constructor(
        private readonly response: http.ServerResponse,
        head: openai.AnswerHead,
        private readonly includeUsage: boolean,
    ) {
        this.chunks = openai.makeChunkWriter(head, includeUsage);
    }

    token(text: string): void | Promise<void> {
        this.begin();
        return this.write(`data: ${this.chunks.text(text)}\n\n`);
    }

    finish(finishReason: string, usage: openai.TokenCounts): void {
        this.begin();
        const counts = this.includeUsage ? `data: ${this.chunks.usage(usage)}\n\n` : "";
        this.response.end(`data: ${this.chunks.end(finishReason)}\n\n${counts}data: [DONE]\n\n`);
    }

    private begin(): void {
        if (!this.response.headersSent) {
            this.response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        }
    }

    private write(data: string): Promise<void> | undefined {
        if (this.response.destroyed || this.response.write(data)) {
            return undefined;
        }
        return new Promise((resolve) => {
            const done = () => {
                this.response.off("drain", done);
                this.response.off("close", done);
                resolve();
            };
            this.response.once("drain", done);
            this.response.once("close", done);
        });
    }
}
