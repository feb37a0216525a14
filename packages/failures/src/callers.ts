import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import type * as subjects from "./subjects.js";

/** The kinds of request that the callers send. */
export enum RequestKind {
    Stream = "stream",
    Enquiry = "enquiry",
    /** An order that is sent again, through other routers, until its outcome is final. */
    OrderAgain = "order-again",
    /** An order that is sent once. */
    OrderOnce = "order-once",
}

/** How one try of a request ended, as the caller saw it. */
export interface Try {
    readonly kind: RequestKind;
    readonly workspace: string;
    readonly host: string;
    readonly from: number;
    readonly until: number;
    /** The HTTP status, or undefined when the connection broke or was never made. */
    readonly status: number | undefined;
    /** What a refusal said of whether the request ran. */
    readonly ran: string | undefined;
    readonly reason: string | undefined;
    /** The text of the whole answer, if it was whole. */
    readonly text: string | undefined;
    /** The prompt of a stream, or the idempotency key of an order. */
    readonly subject: string;
    readonly outputTokens: number;
}

/** Who calls, with which key. */
export interface Caller {
    readonly workspace: string;
    readonly key: string;
}

const ORDER_TRIES = 12;
const ORDER_PAUSE_MS = 1_000;
const PROMPT_LINES = 40;
const OUTPUT_TOKENS_LIMIT = 40;
const DEADLINE_MS = 30_000;

interface Sent {
    readonly path: string;
    readonly method: string;
    readonly headers: Record<string, string>;
    readonly body: string | undefined;
}

interface Received {
    readonly status: number | undefined;
    readonly text: string;
    readonly whole: boolean;
}

async function send(router: subjects.RouterSubject, sent: Sent): Promise<Received> {
    let status: number | undefined;
    let text = "";
    try {
        const response = await fetch(router.router.callers + sent.path, {
            method: sent.method,
            headers: sent.headers,
            body: sent.body,
            signal: AbortSignal.timeout(2 * DEADLINE_MS),
        });
        status = response.status;
        for await (const piece of response.body ?? []) {
            text += Buffer.from(piece).toString("utf8");
        }
        return { status, text, whole: true };
    }
    catch {
        return { status, text, whole: false };
    }
}

function readRefusal(text: string): { ran?: string; reason?: string; } {
    const json = text.slice(text.indexOf('{"error"'));
    try {
        return (JSON.parse(json.split("\n")[0] ?? "") as { error: { ran: string; reason: string; }; }).error;
    }
    catch {
        return {};
    }
}

/** Sends one request through one router and writes down how it ended. */
async function attempt(
    router: subjects.RouterSubject,
    caller: Caller,
    kind: RequestKind,
    subject: string,
    outputTokens: number,
): Promise<Try> {
    const from = lifecycle.monotonicClock();
    const received = await send(router, compose(caller, kind, subject, outputTokens));
    const answered = received.whole && received.status === 200 && !received.text.includes('{"error"');
    const refusal = answered ? {} : readRefusal(received.text);
    return {
        kind,
        workspace: caller.workspace,
        host: router.router.host,
        from,
        until: lifecycle.monotonicClock(),
        status: received.whole ? received.status : undefined,
        ran: refusal.ran,
        reason: refusal.reason,
        text: answered ? answerText(kind, received.text) : undefined,
        subject,
        outputTokens,
    };
}

function compose(caller: Caller, kind: RequestKind, subject: string, outputTokens: number): Sent {
    const headers: Record<string, string> = {
        "authorization": `Bearer ${caller.key}`,
        "content-type": "application/json",
        "x-deadline-ms": String(DEADLINE_MS),
    };
    switch (kind) {
        case RequestKind.Stream: {
            const body = JSON.stringify({
                model: "dossierllm",
                prompt: subject,
                max_tokens: outputTokens,
                stream: true,
            });
            return { path: "/v1/completions", method: "POST", headers, body };
        }
        case RequestKind.Enquiry:
            return { path: `/stock/${subject}`, method: "GET", headers, body: undefined };
        case RequestKind.OrderAgain:
        case RequestKind.OrderOnce: {
            headers["idempotency-key"] = subject;
            return { path: "/orders", method: "POST", headers, body: JSON.stringify({ order: subject }) };
        }
    }
}

/** The text of a streamed answer, or the body as it is. */
function answerText(kind: RequestKind, text: string): string {
    if (kind !== RequestKind.Stream) {
        return text;
    }
    return text.split("\n\n")
        .filter((event) => event.startsWith("data: {"))
        .map((event) => JSON.parse(event.slice("data: ".length)) as { choices: { text?: string; }[]; })
        .map((chunk) => chunk.choices[0]?.text ?? "")
        .join("");
}

/** Sends random requests through random routers at a mean rate until the scope closes. Returns all tries. */
export function startCallers(
    scope: lifecycle.Lifecycle,
    subject: subjects.Subjects,
    callers: readonly Caller[],
    random: decision.Random,
    requestsPerSecond: number,
): { readonly tries: Try[]; readonly settle: () => Promise<void>; } {
    const tries: Try[] = [];
    const underWay = new Set<Promise<void>>();
    let count = 0;
    const start = (caller: Caller) => {
        count++;
        const running = sendOne(subject, caller, random, count, tries).finally(() => underWay.delete(running));
        underWay.add(running);
    };
    const next = () => {
        start(random.pick(callers));
        lifecycle.after(scope, random.exponential(decision.SECOND_MS / requestsPerSecond), next);
    };
    next();
    return { tries, settle: async () => void await Promise.all(underWay) };
}

async function sendOne(
    subject: subjects.Subjects,
    caller: Caller,
    random: decision.Random,
    number: number,
    tries: Try[],
): Promise<void> {
    const kind = random.pick(Object.values(RequestKind));
    const up = () => random.pick(subject.routers.filter((router) => router.up));
    const name = `${caller.workspace}-${number}`;
    if (kind === RequestKind.Stream) {
        const prompt = `Dossier ${name}. `.repeat(random.integer(1, PROMPT_LINES));
        tries.push(await attempt(up(), caller, kind, prompt, random.integer(1, OUTPUT_TOKENS_LIMIT)));
        return;
    }
    if (kind !== RequestKind.OrderAgain) {
        tries.push(await attempt(up(), caller, kind, name, 0));
        return;
    }
    for (let again = 0; again < ORDER_TRIES; again++) {
        const [one, two] = await Promise.all([
            attempt(up(), caller, kind, name, 0),
            attempt(up(), caller, kind, name, 0),
        ]);
        tries.push(one, two);
        if (one.text !== undefined && two.text !== undefined) {
            return;
        }
        await lifecycle.pause(subject.scope, ORDER_PAUSE_MS);
    }
}
