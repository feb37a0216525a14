import type * as http from "node:http";
import * as openai from "./openai.js";
import type * as operations from "./operationsshell.js";
import * as refusals from "./refusal.js";

const REQUEST_ID_HEADER = "x-request-id";

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

/** Sends a refusal as the final answer: as JSON, or as the last event of a stream that has begun. */
export function sendRefusal(response: http.ServerResponse, requestId: string, refusal: refusals.Refusal): void {
    const body = refusals.refusalBody(refusal, requestId);
    if (response.headersSent) {
        response.end(`data: ${JSON.stringify(body)}\n\n`);
        return;
    }
    const headers: http.OutgoingHttpHeaders = { [REQUEST_ID_HEADER]: requestId };
    if (refusal.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000)));
    }
    if (refusal.reason === refusals.Reason.BodyTooLarge || refusal.reason === refusals.Reason.Stopping) {
        headers["connection"] = "close";
    }
    sendJson(response, refusals.statusOf(refusal), body, headers);
}

/** Sends the answer of a plain service. */
export function sendStored(
    response: http.ServerResponse,
    requestId: string,
    outcome: Extract<operations.OperationOutcome, { answered: true; }>,
): void {
    const payload = Buffer.from(outcome.answer.body, "base64");
    response.writeHead(outcome.answer.status, {
        "content-type": outcome.answer.contentType,
        "content-length": payload.length,
        [REQUEST_ID_HEADER]: requestId,
        ...(outcome.replayed ? { "idempotent-replayed": "true" } : {}),
    });
    response.end(payload);
}

/** Sends the tokens of an answer as they come. The head goes out with the first token. */
export class AnswerStream {
    constructor(private readonly response: http.ServerResponse, private readonly head: openai.AnswerHead) {}

    /** Sends one token. Resolves when the connection takes more. */
    async token(text: string): Promise<void> {
        this.begin();
        await this.write(openai.streamChunk(this.head, text, null));
    }

    /** Sends the end of a whole answer. */
    finish(finishReason: string): void {
        this.begin();
        this.response.end(`data: ${openai.streamChunk(this.head, "", finishReason)}\n\ndata: [DONE]\n\n`);
    }

    private begin(): void {
        if (!this.response.headersSent) {
            this.response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-store",
                [REQUEST_ID_HEADER]: this.head.id,
            });
        }
    }

    private write(data: string): Promise<void> | undefined {
        if (this.response.destroyed || this.response.write(`data: ${data}\n\n`)) {
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
