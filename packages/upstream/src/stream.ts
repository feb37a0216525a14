import * as decision from "@citronlead/decision";
import * as eventsourceParser from "eventsource-parser";
import * as http from "node:http";
import * as contract from "./contract.js";
import * as engine from "./engine.js";

/** How reading a stream of tokens ended. */
export enum StreamEnd {
    /** The reader asked to stop, after the end piece or earlier. */
    Stopped = "stopped",
    /** The engine refused; no token was made. */
    Refused = "refused",
    /** The engine could not be reached. */
    Unreachable = "unreachable",
    /** The connection broke or was silent before the end piece. */
    Cut = "cut",
    /** The engine sent something that is no piece, a piece that is too long, or more tokens than were asked for. */
    Garbage = "garbage",
}

/** The outcome of reading a stream. */
export interface StreamOutcome {
    readonly end: StreamEnd;
    readonly refusal?: contract.UpstreamRefusal;
    readonly retryAfterMs?: decision.Milliseconds;
}

/** What the reader wants after a piece. */
export enum Continue {
    Yes = "yes",
    No = "no",
}

/** How a stream is read. */
export interface StreamOptions {
    /** A stream without a piece for this long is taken for cut, in milliseconds. */
    readonly silenceMs: decision.Milliseconds;
    /** Takes each piece in the order of arrival. A promise holds the stream back until it resolves. */
    readonly take: (piece: contract.Piece) => Continue | Promise<Continue>;
}

/** The longest event that is read, in characters. */
const EVENT_LIMIT = 64 * 1024;

/** Asks a decode engine for tokens and hands each piece to the reader. */
export function decode(
    target: engine.EngineTarget,
    request: contract.DecodeRequest,
    options: StreamOptions,
): Promise<StreamOutcome> {
    return new Promise((resolve) => {
        const payload = Buffer.from(JSON.stringify(request));
        let settled = false;
        let taking = false;
        const settle = (outcome: StreamOutcome) => {
            if (!settled) {
                settled = true;
                clearTimeout(silence);
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
        // A reader that holds the stream back is no silence of the engine.
        const silence = setTimeout(
            () => taking ? void silence.refresh() : settle({ end: StreamEnd.Cut }),
            options.silenceMs,
        );
        call.on(
            "error",
            (error: NodeJS.ErrnoException) =>
                settle({ end: error.code === "ECONNREFUSED" ? StreamEnd.Unreachable : StreamEnd.Cut }),
        );
        const take = async (piece: contract.Piece): Promise<Continue> => {
            taking = true;
            const wanted = await options.take(piece);
            taking = false;
            return wanted;
        };
        const reading: Reading = {
            outputTokens: request.outputTokens,
            heard: () => void silence.refresh(),
            ended: () => settled,
            take,
        };
        call.on("response", (response) => void readResponse(response, reading).then(settle));
        call.end(payload);
    });
}

/** What reading a response needs to know and to tell. */
interface Reading {
    /** How many tokens were asked for. */
    readonly outputTokens: number;
    readonly heard: () => void;
    /** Whether the stream was given up on; nothing is handed on after that. */
    readonly ended: () => boolean;
    readonly take: (piece: contract.Piece) => Promise<Continue>;
}

async function readResponse(response: http.IncomingMessage, reading: Reading): Promise<StreamOutcome> {
    if (response.statusCode !== 200) {
        return readRefusal(response);
    }
    const pieces: contract.Piece[] = [];
    let garbage = false;
    let length = 0;
    const parser = eventsourceParser.createParser({
        onEvent: (event) => {
            length = 0;
            const piece = readPiece(event.event, event.data);
            garbage ||= !piece || isBeyond(piece, reading.outputTokens);
            if (piece && !garbage) {
                pieces.push(piece);
            }
        },
    });
    response.setEncoding("utf8");
    try {
        for await (const text of response) {
            reading.heard();
            length += (text as string).length;
            parser.feed(text as string);
            for (const piece of pieces.splice(0)) {
                if (reading.ended() || await reading.take(piece) === Continue.No) {
                    return { end: StreamEnd.Stopped };
                }
            }
            if (garbage || length > EVENT_LIMIT) {
                return { end: StreamEnd.Garbage };
            }
        }
    }
    catch {
        return { end: StreamEnd.Cut };
    }
    return { end: StreamEnd.Cut };
}

function isBeyond(piece: contract.Piece, outputTokens: number): boolean {
    return piece.kind === contract.PieceKind.Token
        ? piece.index >= outputTokens || piece.text.length > EVENT_LIMIT
        : piece.outputTokens > outputTokens;
}

async function readRefusal(response: http.IncomingMessage): Promise<StreamOutcome> {
    let text = "";
    response.setEncoding("utf8");
    try {
        for await (const piece of response) {
            text += piece as string;
            if (text.length > EVENT_LIMIT) {
                return { end: StreamEnd.Garbage };
            }
        }
        const parsed = contract.refusalSchema.safeParse(JSON.parse(text));
        return parsed.success ? { end: StreamEnd.Refused, ...parsed.data } : { end: StreamEnd.Garbage };
    }
    catch {
        return { end: StreamEnd.Garbage };
    }
}

function readPiece(name: string | undefined, data: string): contract.Piece | undefined {
    let json: unknown;
    try {
        json = JSON.parse(data);
    }
    catch {
        return undefined;
    }
    if (name === contract.PieceKind.Token) {
        const token = contract.tokenSchema.safeParse(json);
        return token.success ? { kind: contract.PieceKind.Token, ...token.data } : undefined;
    }
    if (name === contract.PieceKind.End) {
        const end = contract.endSchema.safeParse(json);
        return end.success ? { kind: contract.PieceKind.End, ...end.data } : undefined;
    }
    return undefined;
}
