import type * as http from "node:http";
import type * as operations from "../operations/shell.js";
import * as refusals from "../refusal.js";
import * as openai from "./openai.js";

/** The answer header with the id under which a request appears in logs and traces. */
export const REQUEST_ID_HEADER = "x-request-id";

/** Sends a complete JSON answer. */
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

/** Sends a refusal as the final answer: as JSON, or as the last event of a stream that has already started. */
export function sendRefusal(response: http.ServerResponse, requestId: string, refusal: refusals.Refusal): void {
    const body = refusals.refusalBody(refusal, requestId);
    if (response.headersSent) {
        response.end(`data: ${JSON.stringify(body)}\n\n`);
        return;
    }
    sendJson(response, refusals.statusOf(refusal), body, refusalHeaders(refusal));
}

/** Statuses whose answers have neither a body nor a content-length header. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Sends the answer of a plain service: its status, content type and body. */
export function sendServiceAnswer(
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

/** Writes the answer to a completion. */
export interface AnswerWriter {
    /** Writes one token. A returned promise resolves when the connection can take more. */
    readonly writeToken: (text: string) => void | Promise<void>;
    /** Completes the answer. */
    readonly finish: (finishReason: string, usage: openai.TokenCounts) => void;
}

/** Buffers the tokens and sends them as one JSON body. */
export class BufferedAnswer implements AnswerWriter {
    private readonly texts: string[] = [];

    constructor(private readonly response: http.ServerResponse, private readonly metadata: openai.AnswerMetadata) {}

    writeToken(text: string): void {
        this.texts.push(text);
    }

    finish(finishReason: string, usage: openai.TokenCounts): void {
        sendJson(this.response, 200, openai.completionBody(this.metadata, this.texts.join(""), finishReason, usage));
    }
}

/** Streams the tokens as server-sent events. The headers are sent with the first event. */
export class StreamedAnswer implements AnswerWriter {
    private readonly chunks: openai.ChunkWriter;

    constructor(
        private readonly response: http.ServerResponse,
        metadata: openai.AnswerMetadata,
        private readonly includeUsage: boolean,
    ) {
        this.chunks = openai.makeChunkWriter(metadata, includeUsage);
    }

    writeToken(text: string): void | Promise<void> {
        this.writeHead();
        return this.write(`data: ${this.chunks.text(text)}\n\n`);
    }

    finish(finishReason: string, usage: openai.TokenCounts): void {
        this.writeHead();
        const counts = this.includeUsage ? `data: ${this.chunks.usage(usage)}\n\n` : "";
        this.response.end(`data: ${this.chunks.end(finishReason)}\n\n${counts}data: [DONE]\n\n`);
    }

    private writeHead(): void {
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
