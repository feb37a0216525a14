import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import type * as fleets from "./fleet.js";

/** Kinds of requests that callers send. */
export enum RequestKind {
    Stream = "stream",
    Enquiry = "enquiry",
    /** An order that is sent twice at once through random routers, in several rounds until both are answered. */
    RepeatedOrder = "order-again",
    /** An order that is sent once. */
    SingleOrder = "order-once",
}

/** Outcome of one attempt of a request, as seen by the caller. Times are of the monotonic clock. */
export interface Attempt {
    readonly kind: RequestKind;
    readonly workspace: string;
    readonly host: string;
    readonly startedAt: number;
    readonly endedAt: number;
    /** The HTTP status; undefined if the connection broke or was not established. */
    readonly status: number | undefined;
    /** Field of a refusal that says whether the request ran. */
    readonly ran: string | undefined;
    readonly reason: string | undefined;
    /** Text of the answer; undefined if the request was refused or the answer incomplete. */
    readonly answer: string | undefined;
    /** Prompt of a stream, idempotency key of an order, or item of an enquiry. */
    readonly promptOrKey: string;
    readonly outputTokens: number;
}

/** A workspace and the key with which it sends requests. */
export interface Caller {
    readonly workspace: string;
    readonly key: string;
}

const ORDER_ROUNDS = 12;
const ORDER_PAUSE_MS = 1_000;
const MAX_PROMPT_SENTENCES = 40;
const MAX_OUTPUT_TOKENS = 40;
const DEADLINE_MS = 30_000;

interface HttpRequest {
    readonly path: string;
    readonly method: string;
    readonly headers: Record<string, string>;
    readonly body: string | undefined;
}

interface HttpResponse {
    readonly status: number | undefined;
    readonly text: string;
    /** Whether the response was received completely. */
    readonly whole: boolean;
}

async function send(router: fleets.RouterUnderTest, request: HttpRequest): Promise<HttpResponse> {
    let status: number | undefined;
    let text = "";
    try {
        const response = await fetch(router.router.callerAddress + request.path, {
            method: request.method,
            headers: request.headers,
            body: request.body,
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

/** Sends a request through a router and returns its outcome. */
async function sendAttempt(
    router: fleets.RouterUnderTest,
    caller: Caller,
    kind: RequestKind,
    promptOrKey: string,
    outputTokens: number,
): Promise<Attempt> {
    const startedAt = lifecycle.monotonicClock();
    const received = await send(router, makeRequest(caller, kind, promptOrKey, outputTokens));
    const answered = received.whole && received.status === 200 && !received.text.includes('{"error"');
    const refusal = answered ? {} : readRefusal(received.text);
    return {
        kind,
        workspace: caller.workspace,
        host: router.router.host,
        startedAt,
        endedAt: lifecycle.monotonicClock(),
        status: received.whole ? received.status : undefined,
        ran: refusal.ran,
        reason: refusal.reason,
        answer: answered ? readAnswer(kind, received.text) : undefined,
        promptOrKey,
        outputTokens,
    };
}

function makeRequest(caller: Caller, kind: RequestKind, promptOrKey: string, outputTokens: number): HttpRequest {
    const headers: Record<string, string> = {
        "authorization": `Bearer ${caller.key}`,
        "content-type": "application/json",
        "x-deadline-ms": String(DEADLINE_MS),
    };
    switch (kind) {
        case RequestKind.Stream: {
            const body = JSON.stringify({
                model: "dossierllm",
                prompt: promptOrKey,
                max_tokens: outputTokens,
                stream: true,
            });
            return { path: "/v1/completions", method: "POST", headers, body };
        }
        case RequestKind.Enquiry:
            return { path: `/stock/${promptOrKey}`, method: "GET", headers, body: undefined };
        case RequestKind.RepeatedOrder:
        case RequestKind.SingleOrder: {
            headers["idempotency-key"] = promptOrKey;
            return { path: "/orders", method: "POST", headers, body: JSON.stringify({ order: promptOrKey }) };
        }
    }
}

/** Returns the concatenated text of a streamed answer, or the unchanged body of any other. */
function readAnswer(kind: RequestKind, text: string): string {
    if (kind !== RequestKind.Stream) {
        return text;
    }
    return text.split("\n\n")
        .filter((event) => event.startsWith("data: {"))
        .map((event) => JSON.parse(event.slice("data: ".length)) as { choices: { text?: string; }[]; })
        .map((chunk) => chunk.choices[0]?.text ?? "")
        .join("");
}

/**
 * Sends random requests through random routers at a mean rate until the scope closes. Finished attempts are added to
 * `attempts`; `settle` waits for the requests in flight.
 */
export function startCallers(
    scope: lifecycle.Scope,
    underTest: fleets.FleetUnderTest,
    callers: readonly Caller[],
    random: decision.Random,
    requestsPerSecond: number,
): { readonly attempts: Attempt[]; readonly settle: () => Promise<void>; } {
    const attempts: Attempt[] = [];
    const inFlight = new Set<Promise<void>>();
    let count = 0;
    const startRequest = (caller: Caller) => {
        count++;
        const inFlightRequest = sendRandomRequest(underTest, caller, random, count, attempts).finally(() =>
            inFlight.delete(inFlightRequest)
        );
        inFlight.add(inFlightRequest);
    };
    const next = () => {
        startRequest(random.pick(callers));
        lifecycle.after(scope, random.exponential(decision.SECOND_MS / requestsPerSecond), next);
    };
    next();
    return { attempts, settle: async () => void await Promise.all(inFlight) };
}

async function sendRandomRequest(
    underTest: fleets.FleetUnderTest,
    caller: Caller,
    random: decision.Random,
    number: number,
    attempts: Attempt[],
): Promise<void> {
    const kind = random.pick(Object.values(RequestKind));
    const pickRouter = () => random.pick(underTest.routers.filter((router) => router.up));
    const name = `${caller.workspace}-${number}`;
    if (kind === RequestKind.Stream) {
        const prompt = `Dossier ${name}. `.repeat(random.integer(1, MAX_PROMPT_SENTENCES));
        attempts.push(await sendAttempt(pickRouter(), caller, kind, prompt, random.integer(1, MAX_OUTPUT_TOKENS)));
        return;
    }
    if (kind !== RequestKind.RepeatedOrder) {
        attempts.push(await sendAttempt(pickRouter(), caller, kind, name, 0));
        return;
    }
    for (let round = 0; round < ORDER_ROUNDS; round++) {
        const [one, two] = await Promise.all([
            sendAttempt(pickRouter(), caller, kind, name, 0),
            sendAttempt(pickRouter(), caller, kind, name, 0),
        ]);
        attempts.push(one, two);
        if (one.answer !== undefined && two.answer !== undefined) {
            return;
        }
        await lifecycle.pause(underTest.scope, ORDER_PAUSE_MS);
    }
}
