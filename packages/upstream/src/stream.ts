import * as decision from "@citronlead/decision";
import * as eventsourceParser from "eventsource-parser";
import * as http from "node:http";
import * as contract from "./contract.js";
import * as engine from "./engine.js";

/** How the reading of a token stream ended. */
export enum StreamEnd {
    /** The reader stopped, at the end event or earlier. */
    Stopped = "stopped",
    /** The engine refused the request; it generated no token. */
    Refused = "refused",
    /** The engine could not be reached. */
    Unreachable = "unreachable",
    /** The connection broke or was idle for too long before the end event. */
    Cut = "cut",
    /** The engine sent an invalid event, an event that is too long, or more tokens than were requested. */
    Invalid = "garbage",
}

/** Outcome of reading a stream. */
export interface StreamOutcome {
    readonly end: StreamEnd;
    readonly refusal?: contract.UpstreamRefusal;
    readonly retryAfterMs?: decision.Milliseconds;
}

/** Whether the reader wants further events. */
export enum Continue {
    Yes = "yes",
    No = "no",
}

/** Options for reading a stream. */
export interface StreamOptions {
    /** A stream without data for this long is treated as cut. */
    readonly idleTimeoutMs: decision.Milliseconds;
    /** Called with each event in the order of arrival. Reading pauses until a returned promise resolves. */
    readonly onEvent: (event: contract.StreamEvent) => Continue | Promise<Continue>;
}

/** Maximum length of an event; also the limit for a refusal's body. */
const MAX_EVENT_CHARACTERS = 64 * 1024;

/** Requests tokens from a decode engine and passes each stream event to the reader. */
export function decode(
    target: engine.EngineTarget,
    request: contract.DecodeRequest,
    options: StreamOptions,
): Promise<StreamOutcome> {
    return new Promise((resolve) => {
        const payload = Buffer.from(JSON.stringify(request));
        let settled = false;
        let readerBusy = false;
        const settle = (outcome: StreamOutcome) => {
            if (!settled) {
                settled = true;
                clearTimeout(idleTimer);
                resolve(outcome);
                call.destroy();
            }
        };
        const call = http.request(`${target.address}/engine/decode`, {
            method: "POST",
            agent: target.agent,
            signal: target.signal,
            headers: { "content-type": "application/json", "content-length": payload.length },
        });
        // While the reader processes an event, a pause of the stream does not count as idle time of the engine.
        const idleTimer = setTimeout(
            () => readerBusy ? void idleTimer.refresh() : settle({ end: StreamEnd.Cut }),
            options.idleTimeoutMs,
        );
        call.on(
            "error",
            (error: NodeJS.ErrnoException) =>
                settle({ end: error.code === "ECONNREFUSED" ? StreamEnd.Unreachable : StreamEnd.Cut }),
        );
        const passToReader = async (event: contract.StreamEvent): Promise<Continue> => {
            readerBusy = true;
            const next = await options.onEvent(event);
            readerBusy = false;
            return next;
        };
        const context: ReadContext = {
            outputTokens: request.outputTokens,
            onData: () => void idleTimer.refresh(),
            isSettled: () => settled,
            onEvent: passToReader,
        };
        call.on("response", (response) => void readResponse(response, context).then(settle));
        call.end(payload);
    });
}

/** Parameters and callbacks for reading a response. */
interface ReadContext {
    /** Number of tokens requested. */
    readonly outputTokens: number;
    readonly onData: () => void;
    /** Whether the outcome is already settled; no event is passed on after that. */
    readonly isSettled: () => boolean;
    readonly onEvent: (event: contract.StreamEvent) => Promise<Continue>;
}

async function readResponse(response: http.IncomingMessage, context: ReadContext): Promise<StreamOutcome> {
    if (response.statusCode !== 200) {
        return readRefusal(response);
    }
    const parsedEvents: contract.StreamEvent[] = [];
    let invalid = false;
    let lengthSinceEvent = 0;
    const parser = eventsourceParser.createParser({
        onEvent: (message) => {
            lengthSinceEvent = 0;
            const event = parseStreamEvent(message.event, message.data);
            invalid ||= !event || exceedsLimits(event, context.outputTokens);
            if (event && !invalid) {
                parsedEvents.push(event);
            }
        },
    });
    response.setEncoding("utf8");
    try {
        for await (const chunk of response) {
            context.onData();
            lengthSinceEvent += (chunk as string).length;
            parser.feed(chunk as string);
            for (const event of parsedEvents.splice(0)) {
                if (context.isSettled() || await context.onEvent(event) === Continue.No) {
                    return { end: StreamEnd.Stopped };
                }
            }
            if (invalid || lengthSinceEvent > MAX_EVENT_CHARACTERS) {
                return { end: StreamEnd.Invalid };
            }
        }
    }
    catch {
        return { end: StreamEnd.Cut };
    }
    return { end: StreamEnd.Cut };
}

function exceedsLimits(event: contract.StreamEvent, outputTokens: number): boolean {
    return event.kind === contract.StreamEventKind.Token
        ? event.index >= outputTokens || event.text.length > MAX_EVENT_CHARACTERS
        : event.outputTokens > outputTokens;
}

async function readRefusal(response: http.IncomingMessage): Promise<StreamOutcome> {
    let text = "";
    response.setEncoding("utf8");
    try {
        for await (const chunk of response) {
            text += chunk as string;
            if (text.length > MAX_EVENT_CHARACTERS) {
                return { end: StreamEnd.Invalid };
            }
        }
        const parsed = contract.refusalSchema.safeParse(JSON.parse(text));
        return parsed.success ? { end: StreamEnd.Refused, ...parsed.data } : { end: StreamEnd.Invalid };
    }
    catch {
        return { end: StreamEnd.Invalid };
    }
}

function parseStreamEvent(name: string | undefined, data: string): contract.StreamEvent | undefined {
    let json: unknown;
    try {
        json = JSON.parse(data);
    }
    catch {
        return undefined;
    }
    if (name === contract.StreamEventKind.Token) {
        const token = contract.tokenSchema.safeParse(json);
        return token.success ? { kind: contract.StreamEventKind.Token, ...token.data } : undefined;
    }
    if (name === contract.StreamEventKind.End) {
        const end = contract.endSchema.safeParse(json);
        return end.success ? { kind: contract.StreamEventKind.End, ...end.data } : undefined;
    }
    return undefined;
}
