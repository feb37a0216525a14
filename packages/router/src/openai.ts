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
}

const content = zod.union([
    zod.string(),
    zod.array(zod.object({ type: zod.literal("text"), text: zod.string() })),
]);
const common = {
    model: zod.string().min(1),
    stream: zod.boolean().nullish(),
    max_tokens: zod.int().positive().nullish(),
};
const chatSchema = zod.looseObject({
    ...common,
    max_completion_tokens: zod.int().positive().nullish(),
    messages: zod.array(zod.looseObject({ role: zod.string(), content })).min(1),
});
const textSchema = zod.looseObject({ ...common, prompt: zod.string() });

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
    const { messages, max_completion_tokens: newer, max_tokens: older, model, stream } = parsed.data;
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
        stream: stream === true,
    };
}

function readText(json: unknown): Completion | string {
    const parsed = textSchema.safeParse(json);
    if (!parsed.success) {
        return describe(parsed.error);
    }
    const { prompt, max_tokens: limit, model, stream } = parsed.data;
    return { kind: CompletionKind.Text, model, prompt, outputTokens: limit ?? undefined, stream: stream === true };
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

/** The data of one event of a streamed answer; an empty text with a reason ends the choice. */
export function streamChunk(head: AnswerHead, text: string, finishReason: string | null): string {
    const choice = head.kind === CompletionKind.Chat
        ? { index: 0, delta: finishReason === null ? { content: text } : {}, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    const object = head.kind === CompletionKind.Chat ? "chat.completion.chunk" : "text_completion";
    return JSON.stringify({ id: head.id, object, created: head.created, model: head.model, choices: [choice] });
}

/** The body of a whole answer. */
export function wholeAnswer(
    head: AnswerHead,
    text: string,
    finishReason: string,
    promptTokens: number,
    outputTokens: number,
): object {
    const choice = head.kind === CompletionKind.Chat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    return {
        id: head.id,
        object: head.kind === CompletionKind.Chat ? "chat.completion" : "text_completion",
        created: head.created,
        model: head.model,
        choices: [choice],
        usage: {
            prompt_tokens: promptTokens,
            completion_tokens: outputTokens,
            total_tokens: promptTokens + outputTokens,
        },
    };
}

/** The answer to a list of models. */
export function modelList(names: readonly string[]): object {
    return {
        object: "list",
        data: names.map((id) => ({ id, object: "model", created: 0, owned_by: "citronlead" })),
    };
}
