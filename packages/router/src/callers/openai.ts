import * as zod from "zod";

/** The two completion endpoints of the protocol. */
export enum CompletionKind {
    Chat = "chat",
    Text = "text",
}

/** A parsed completion request, independent of the endpoint that received it. */
export interface Completion {
    readonly kind: CompletionKind;
    readonly model: string;
    readonly prompt: string;
    /** The caller's limit, if it set one. */
    readonly outputTokens: number | undefined;
    readonly stream: boolean;
    /** Whether a stream ends with a usage event, which holds the token counts. */
    readonly includeUsage: boolean;
}

const content = zod.union([
    zod.string(),
    zod.array(zod.object({ type: zod.literal("text"), text: zod.string() })),
]);
/** Options that would change the answer but are not passed to engines. Only values without an effect are accepted. */
const unsupportedOptions = {
    n: zod.literal(1).nullish(),
    best_of: zod.literal(1).nullish(),
    echo: zod.literal(false).nullish(),
    suffix: zod.literal("").nullish(),
    stop: zod.array(zod.string()).max(0).nullish(),
    tools: zod.array(zod.unknown()).max(0).nullish(),
    logprobs: zod.literal([false, 0]).nullish(),
};
const commonFields = {
    ...unsupportedOptions,
    model: zod.string().min(1),
    stream: zod.boolean().nullish(),
    stream_options: zod.looseObject({ include_usage: zod.boolean().nullish() }).nullish(),
    max_tokens: zod.int().positive().nullish(),
};
const chatSchema = zod.looseObject({
    ...commonFields,
    max_completion_tokens: zod.int().positive().nullish(),
    messages: zod.array(zod.looseObject({ role: zod.string(), content })).min(1),
});
const textSchema = zod.looseObject({ ...commonFields, prompt: zod.union([zod.string(), zod.tuple([zod.string()])]) });

/** Parses the body of a completion request. Returns an error message if the body is invalid. */
export function parseCompletion(kind: CompletionKind, body: Buffer): Completion | string {
    let json: unknown;
    try {
        json = JSON.parse(body.toString("utf8"));
    }
    catch {
        return "the body is not JSON";
    }
    return kind === CompletionKind.Chat ? parseChat(json) : parseText(json);
}

function parseChat(json: unknown): Completion | string {
    const parsed = chatSchema.safeParse(json);
    if (!parsed.success) {
        return describeIssues(parsed.error);
    }
    const { messages, max_completion_tokens: maxCompletionTokens, max_tokens: maxTokens, model } = parsed.data;
    const prompt = messages
        .map((message) => {
            const text = typeof message.content === "string"
                ? message.content
                : message.content.map((part) => part.text).join("");
            return `<|${message.role}|>\n${text}\n`;
        })
        .join("") + "<|assistant|>\n";
    return {
        kind: CompletionKind.Chat,
        model,
        prompt,
        outputTokens: maxCompletionTokens ?? maxTokens ?? undefined,
        ...streamingOptions(parsed.data),
    };
}

function parseText(json: unknown): Completion | string {
    const parsed = textSchema.safeParse(json);
    if (!parsed.success) {
        return describeIssues(parsed.error);
    }
    const { prompt, max_tokens: maxTokens, model } = parsed.data;
    return {
        kind: CompletionKind.Text,
        model,
        prompt: typeof prompt === "string" ? prompt : prompt[0],
        outputTokens: maxTokens ?? undefined,
        ...streamingOptions(parsed.data),
    };
}

function streamingOptions(
    data: Pick<zod.output<typeof textSchema>, "stream" | "stream_options">,
): Pick<Completion, "stream" | "includeUsage"> {
    const stream = data.stream === true;
    return { stream, includeUsage: stream && data.stream_options?.include_usage === true };
}

/** Lists the invalid fields and the kind of each error, without their values. */
function describeIssues(error: zod.ZodError): string {
    return error.issues.map((issue) => `${issue.path.map(String).join(".") || "body"}: ${issue.code}`).join("; ");
}

/** The fields that all parts of a completion's answer share. */
export interface AnswerMetadata {
    readonly id: string;
    readonly kind: CompletionKind;
    readonly model: string;
    /** Unix time in seconds. */
    readonly created: number;
}

/** The token counts of a request. */
export interface TokenCounts {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Encodes the data of the server-sent events of one streamed answer. */
export interface ChunkWriter {
    readonly text: (text: string) => string;
    readonly end: (finishReason: string) => string;
    readonly usage: (counts: TokenCounts) => string;
}

/** Makes the encoder of a streamed answer. The JSON that all events share is encoded only once. */
export function makeChunkWriter(metadata: AnswerMetadata, includeUsage: boolean): ChunkWriter {
    const chat = metadata.kind === CompletionKind.Chat;
    const object = chat ? "chat.completion.chunk" : "text_completion";
    const shared = JSON.stringify({ id: metadata.id, object, created: metadata.created, model: metadata.model }).slice(
        0,
        -1,
    );
    const tail = includeUsage ? ',"usage":null}' : "}";
    const textStart = `${shared},"choices":[{"index":0,${chat ? '"delta":{"content":' : '"text":'}`;
    const textEnd = `${chat ? "}" : ""},"finish_reason":null}]${tail}`;
    const firstStart = chat ? textStart.replace('{"content":', '{"role":"assistant","content":') : textStart;
    let first = true;
    return {
        text: (text) => {
            const start = first ? firstStart : textStart;
            first = false;
            return start + JSON.stringify(text) + textEnd;
        },
        end: (finishReason) => {
            const emptyDelta = chat ? '"delta":{}' : '"text":""';
            return `${shared},"choices":[{"index":0,${emptyDelta},"finish_reason":${
                JSON.stringify(finishReason)
            }}]${tail}`;
        },
        usage: (counts) => `${shared},"choices":[],"usage":${JSON.stringify(usageBody(counts))}}`,
    };
}

function usageBody({ promptTokens, outputTokens }: TokenCounts): object {
    return {
        prompt_tokens: promptTokens,
        completion_tokens: outputTokens,
        total_tokens: promptTokens + outputTokens,
    };
}

/** The body of an answer that is not streamed. */
export function completionBody(
    metadata: AnswerMetadata,
    text: string,
    finishReason: string,
    counts: TokenCounts,
): object {
    const chat = metadata.kind === CompletionKind.Chat;
    const choice = chat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    return {
        id: metadata.id,
        object: chat ? "chat.completion" : "text_completion",
        created: metadata.created,
        model: metadata.model,
        choices: [choice],
        usage: usageBody(counts),
    };
}

/** The body of the model list. */
export function modelListBody(names: readonly string[]): object {
    return {
        object: "list",
        data: names.map((id) => ({ id, object: "model", created: 0, owned_by: "citronlead" })),
    };
}
