import * as zod from "zod";

/** The two routes of the protocol that make text. */
export enum CompletionKind {
    Chat = "chat",
    Text = "text",
}

/** What a caller asks of a model, whichever route it used. */
export interface Completion {
    readonly kind: CompletionKind;
    readonly model: string;
    readonly prompt: string;
    readonly outputTokens: number | undefined;
    readonly stream: boolean;
    /** Whether a stream ends with the counts of tokens. */
    readonly includeUsage: boolean;
}

const content = zod.union([
    zod.string(),
    zod.array(zod.object({ type: zod.literal("text"), text: zod.string() })),
]);
/** Options that would change the answer and that engines are not asked for; only their neutral values are taken. */
const unserved = {
    n: zod.literal(1).nullish(),
    best_of: zod.literal(1).nullish(),
    echo: zod.literal(false).nullish(),
    suffix: zod.literal("").nullish(),
    stop: zod.array(zod.string()).max(0).nullish(),
    tools: zod.array(zod.unknown()).max(0).nullish(),
    logprobs: zod.literal([false, 0]).nullish(),
};
const common = {
    ...unserved,
    model: zod.string().min(1),
    stream: zod.boolean().nullish(),
    stream_options: zod.looseObject({ include_usage: zod.boolean().nullish() }).nullish(),
    max_tokens: zod.int().positive().nullish(),
};
const chatSchema = zod.looseObject({
    ...common,
    max_completion_tokens: zod.int().positive().nullish(),
    messages: zod.array(zod.looseObject({ role: zod.string(), content })).min(1),
});
const textSchema = zod.looseObject({ ...common, prompt: zod.union([zod.string(), zod.tuple([zod.string()])]) });

/** Reads the body of a completion. Returns what is wrong with it as text. */
export function readCompletion(kind: CompletionKind, body: Buffer): Completion | string {
    let json: unknown;
    try {
        json = JSON.parse(body.toString("utf8"));
    }
    catch {
        return "the body is not JSON";
    }
    return kind === CompletionKind.Chat ? readChat(json) : readText(json);
}

function readChat(json: unknown): Completion | string {
    const parsed = chatSchema.safeParse(json);
    if (!parsed.success) {
        return describe(parsed.error);
    }
    const { messages, max_completion_tokens: newer, max_tokens: older, model } = parsed.data;
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
        outputTokens: newer ?? older ?? undefined,
        ...readStreaming(parsed.data),
    };
}

function readText(json: unknown): Completion | string {
    const parsed = textSchema.safeParse(json);
    if (!parsed.success) {
        return describe(parsed.error);
    }
    const { prompt, max_tokens: limit, model } = parsed.data;
    return {
        kind: CompletionKind.Text,
        model,
        prompt: typeof prompt === "string" ? prompt : prompt[0],
        outputTokens: limit ?? undefined,
        ...readStreaming(parsed.data),
    };
}

function readStreaming(
    data: Pick<zod.output<typeof textSchema>, "stream" | "stream_options">,
): Pick<Completion, "stream" | "includeUsage"> {
    const stream = data.stream === true;
    return { stream, includeUsage: stream && data.stream_options?.include_usage === true };
}

/** Names the fields that are wrong, without their values. */
function describe(error: zod.ZodError): string {
    return error.issues.map((issue) => `${issue.path.map(String).join(".") || "body"}: ${issue.code}`).join("; ");
}

/** What the answer of a completion starts with. */
export interface AnswerHead {
    readonly id: string;
    readonly kind: CompletionKind;
    readonly model: string;
    /** Seconds since 1970. */
    readonly created: number;
}

/** How many tokens a request took. */
export interface TokenCounts {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Writes the data of the events of one streamed answer. */
export interface ChunkWriter {
    readonly text: (text: string) => string;
    readonly end: (finishReason: string) => string;
    readonly usage: (counts: TokenCounts) => string;
}

/** Makes the writer of a streamed answer. What all events share is encoded once. */
export function makeChunkWriter(head: AnswerHead, includeUsage: boolean): ChunkWriter {
    const chat = head.kind === CompletionKind.Chat;
    const object = chat ? "chat.completion.chunk" : "text_completion";
    const shared = JSON.stringify({ id: head.id, object, created: head.created, model: head.model }).slice(0, -1);
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
            const nothing = chat ? '"delta":{}' : '"text":""';
            return `${shared},"choices":[{"index":0,${nothing},"finish_reason":${
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

/** The body of a whole answer. */
export function wholeAnswer(head: AnswerHead, text: string, finishReason: string, counts: TokenCounts): object {
    const chat = head.kind === CompletionKind.Chat;
    const choice = chat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    return {
        id: head.id,
        object: chat ? "chat.completion" : "text_completion",
        created: head.created,
        model: head.model,
        choices: [choice],
        usage: usageBody(counts),
    };
}

/** The answer to a list of models. */
export function modelList(names: readonly string[]): object {
    return {
        object: "list",
        data: names.map((id) => ({ id, object: "model", created: 0, owned_by: "citronlead" })),
    };
}
