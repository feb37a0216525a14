import * as bodies from "@citronlead/bodies";
import type * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";
import * as http from "node:http";
import type * as net from "node:net";
import * as agents from "./agent.js";
import * as answers from "./answer.js";
import * as traces from "./trace.js";

/** A request to an upstream. */
export interface UpstreamCall {
    /** Address and port. */
    readonly address: string;
    /** Pools its connections; see `UpstreamAgent`. */
    readonly incarnation: string;
    readonly method: string;
    readonly path: string;
    /** Flat list of names and values; Content-Length is added for the body. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    /** Maximum time until the response headers arrive. */
    readonly headersTimeoutMs: decision.Milliseconds;
    /** What in the headers of a response shows that it answers another call; undefined if it answers this one. */
    readonly findMismatch?: (headers: http.IncomingHttpHeaders) => string | undefined;
    /** Id that answers to the call bear. No connection carries two calls with one id: their answers look alike. */
    readonly id?: string | undefined;
    /** Whether the call gets a connection that no other call uses, before or after it. */
    readonly ownConnection?: boolean;
    /** Leave to send a request that the call could run; undefined for calls that run none, such as control calls. */
    readonly run: dispatch.RunEntry | undefined;
    /** Watches for the end of a response without framing; its upstream counts as running if undefined. */
    readonly endWatch?: answers.EndWatch | undefined;
    /** Called with the connection of the call. */
    readonly onConnection?: ((socket: net.Socket) => void) | undefined;
    /** Cancels the call and closes its connection when aborted. */
    readonly signal: AbortSignal | undefined;
}

/** How far a call got. */
export enum CallProgress {
    /** The response headers arrived. */
    Responded = "head",
    /** The connection was not established, so nothing was sent. */
    NotSent = "notSent",
    /** The request was sent, or may have been, and no response arrived. */
    NoResponse = "noAnswer",
}

/** Why a call got no response that can be used. */
export enum CallFailure {
    /** The connection was refused, closed by the upstream or failed. */
    Broken = "broken",
    /** No connection or no response in time. */
    TimedOut = "timedOut",
    /** The caller's abort ended the call, which says nothing of the upstream. */
    Aborted = "aborted",
    /** The upstream sent what is no head of a response, or a response that answers another call. */
    Malformed = "malformed",
    /** The upstream has said that nothing is to be sent to it, so that nothing was. */
    Excluded = "excluded",
    /** The request cannot be written, which says nothing of the upstream. */
    Unwritable = "unwritable",
}

/** Outcome of a call up to the response headers. */
export type CallOutcome =
    | {
        readonly progress: CallProgress.Responded;
        readonly response: http.IncomingMessage;
        readonly answer: answers.Answer;
        readonly trace?: traces.CallTrace;
    }
    | {
        readonly progress: CallProgress.NotSent | CallProgress.NoResponse;
        readonly failure: CallFailure;
        readonly reason: string;
        readonly trace?: traces.CallTrace;
        /** The response that answers another call, if that is why it is not used. */
        readonly foreign?: ForeignResponse | undefined;
        /** What is wrong with the head of the response, if that is why it is not used. */
        readonly headProblem?: bodies.HeadProblem | undefined;
    };

/** Head of a response that answers another call. */
export interface ForeignResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
}

/** Maximum number of interim responses before the final one. */
const MAX_INTERIM_RESPONSES = 16;

/** Codes of errors of Node's parser; a head that the close of its connection cuts has another. */
const PARSER_ERROR_PREFIX = "HPE_";

/** Number of connections that were opened for one call; names the pool of each. */
let ownConnections = 0;

/** Sends a request and waits for the response headers. */
export function startCall(agent: agents.UpstreamAgent, call: UpstreamCall): Promise<CallOutcome> {
    const { host, port } = splitAddress(call.address);
    const { id, incarnation } = call;
    const ownConnection = call.ownConnection === true || (id !== undefined && agent.mayHaveCarried(incarnation, id));
    return new Promise((resolve) => {
        if (call.signal?.aborted || call.run?.tryBegin() === false) {
            resolve({ progress: CallProgress.NotSent, failure: CallFailure.Aborted, reason: "aborted" });
            return;
        }
        const options: agents.UpstreamRequestOptions = {
            host,
            port,
            method: call.method,
            path: call.path,
            headers: headersOf(call, ownConnection) as unknown as http.OutgoingHttpHeaders,
            setHost: false,
            agent,
            incarnation: ownConnection ? `${incarnation} ${++ownConnections}` : incarnation,
        };
        const request = openRequest(options);
        if (!(request instanceof http.ClientRequest)) {
            resolve({ progress: CallProgress.NotSent, failure: CallFailure.Unwritable, reason: request.problem });
            return;
        }
        call.endWatch?.begin();
        const trace = traces.traceCall(request);
        let foreign: ForeignResponse | undefined;
        let connected = false;
        let failure = CallFailure.Broken;
        let reason: string | undefined;
        let interimCount = 0;
        let headProblem: bodies.HeadProblem | undefined;
        const stop = (cause: CallFailure, detail: string) => {
            if (reason === undefined) {
                failure = cause;
                reason = detail;
            }
            request.destroy();
        };
        const refuseHead = (problem: bodies.HeadProblem) => {
            headProblem = problem;
            stop(CallFailure.Malformed, `malformed head: ${problem}`);
        };
        const timer = setTimeout(() => stop(CallFailure.TimedOut, "timeout"), Math.max(1, call.headersTimeoutMs));
        const onAbort = () => stop(CallFailure.Aborted, "aborted");
        call.signal?.addEventListener("abort", onAbort);
        const heads = bodies.checkHeads(request);
        request.on("socket", (socket) => {
            call.onConnection?.(socket);
            if (id !== undefined) {
                agent.recordRequest(socket, id);
            }
            if (socket.connecting) {
                socket.once("connect", () => connected = true);
            }
            else {
                connected = true;
            }
        });
        request.on("error", (error: NodeJS.ErrnoException) => {
            if (reason === undefined && error.code?.startsWith(PARSER_ERROR_PREFIX)) {
                headProblem = heads.problem ?? bodies.HeadProblem.Parser;
                failure = CallFailure.Malformed;
            }
            reason ??= error.message;
        });
        request.on("close", () => {
            call.endWatch?.end();
            clearTimeout(timer);
            // A switch of protocols has neither a response nor an error.
            if (reason === undefined && heads.problem !== undefined) {
                refuseHead(heads.problem);
            }
            call.signal?.removeEventListener("abort", onAbort);
            resolve({
                progress: connected ? CallProgress.NoResponse : CallProgress.NotSent,
                failure: call.signal?.aborted ? CallFailure.Aborted : failure,
                reason: reason ?? "closed",
                trace: trace(),
                foreign,
                headProblem,
            });
        });
        request.on("information", () => {
            if (heads.problem !== undefined) {
                refuseHead(heads.problem);
            }
            else if (++interimCount > MAX_INTERIM_RESPONSES) {
                stop(CallFailure.Malformed, "interim responses without end");
            }
        });
        request.on("response", (response) => {
            if (heads.finalProblem !== undefined) {
                refuseHead(heads.finalProblem);
                return;
            }
            const mismatch = call.findMismatch?.(response.headers);
            if (mismatch !== undefined) {
                foreign = { status: response.statusCode ?? 0, headers: response.headers };
                stop(CallFailure.Malformed, mismatch);
                return;
            }
            clearTimeout(timer);
            agent.recordKeepAlive(response.socket, response.headers);
            // A connection on which a part of the request body is unsent must not be reused.
            if (!request.writableFinished) {
                response.once("end", () => response.socket.destroy());
            }
            response.on("error", () => undefined);
            const answer = new answers.Answer(request, response, call.endWatch, id);
            resolve({ progress: CallProgress.Responded, response, answer, trace: trace() });
        });
        request.end(call.body);
    });
}

/** Starts a request, or tells why it cannot be written: Node throws on characters that a path or header cannot have. */
function openRequest(options: agents.UpstreamRequestOptions): http.ClientRequest | { readonly problem: string; } {
    try {
        return http.request(options);
    }
    catch (error) {
        return { problem: error instanceof Error ? error.message : String(error) };
    }
}

function headersOf({ headers, body }: UpstreamCall, ownConnection: boolean): string[] {
    return [
        ...headers,
        ...(body === undefined ? [] : ["Content-Length", String(body.length)]),
        ...(ownConnection ? ["Connection", "close"] : []),
    ];
}

/** Splits an address of the form HOST:PORT. */
export function splitAddress(address: string): { host: string; port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Maximum size of the body of an engine's failure. */
const MAX_FAILURE_BODY_BYTES = 1_048_576;
/** Maximum size of the start of a body that is read before any of it is relayed. */
const MAX_START_BYTES = 131_072;
/** What a body may take on its connection in relation to its limit: chunks may have extensions. */
const MAX_WIRE_FACTOR = 4;
/** Maximum size of all bodies of control calls that are being read: a part of the memory of the smallest hosts. */
const MAX_TOTAL_CONTROL_BYTES = 8 * 1_048_576;
/** Maximum size of the body of a response to a control call, such as a reservation. */
export const MAX_CONTROL_BODY_BYTES = 65_536;

const controlBodies = new bodies.MemoryBudget(MAX_TOTAL_CONTROL_BYTES);

/**
 * Reads a whole response body into the given memory. Undefined if it is incomplete, longer than the limit or in too many pieces, does not fit in
 * memory beside the others, or takes too long; its connection is closed then.
 */
export async function readBody(
    answer: answers.Answer,
    timeoutMs: decision.Milliseconds,
    limitBytes = MAX_FAILURE_BODY_BYTES,
    memory: bodies.Memory = controlBodies,
): Promise<Buffer | undefined> {
    const read = await readStart(answer, timeoutMs, memory, limitBytes);
    if (read.kind === BodyKind.Long) {
        answer.response.destroy();
    }
    return read.kind === BodyKind.Whole ? read.body : undefined;
}

/** What is known of a body whose start has been read. */
export enum BodyKind {
    Whole = "whole",
    /** There is more of it than was read. */
    Long = "long",
    /** It is incomplete, was not complete in time, or comes in too many pieces. */
    Broken = "broken",
    /** There is no memory for it. */
    NoMemory = "noMemory",
}

/** The start of a body; `body` is all that was read of it. The rest of a long one waits in its response, which is paused. */
export type BodyStart =
    | { readonly kind: BodyKind.Whole | BodyKind.Long; readonly body: Buffer; }
    | { readonly kind: BodyKind.Broken | BodyKind.NoMemory; };

/** Reads a response body up to a limit of bytes or pieces. Unless it is whole or long, its connection is closed. */
export function readStart(
    answer: answers.Answer,
    timeoutMs: decision.Milliseconds,
    memory: bodies.Memory = controlBodies,
    limitBytes = MAX_START_BYTES,
): Promise<BodyStart> {
    const { response } = answer;
    return new Promise((resolve) => {
        const collector = new bodies.BodyCollector(limitBytes, memory);
        const timer = setTimeout(() => response.destroy(), Math.max(1, timeoutMs));
        let isFinished = false;
        const finish = (start: BodyStart) => {
            clearTimeout(timer);
            response.off("data", onData);
            isFinished = true;
            collector.discard();
            resolve(start);
        };
        const { socket } = response;
        const bytesBefore = socket.bytesRead;
        const onData = (piece: Buffer) => {
            const added = response.destroyed ? bodies.AddResult.Added : collector.add(piece);
            const isLong = added === bodies.AddResult.TooLong && collector.length + piece.length > limitBytes;
            if (added === bodies.AddResult.NoMemory) {
                response.destroy();
                finish({ kind: BodyKind.NoMemory });
            }
            else if (added === bodies.AddResult.TooLong && !isLong) {
                response.destroy();
                finish({ kind: BodyKind.Broken });
            }
            else if (isLong || socket.bytesRead - bytesBefore > MAX_WIRE_FACTOR * limitBytes) {
                response.pause();
                const body = collector.finish();
                finish({ kind: BodyKind.Long, body: isLong ? Buffer.concat([body, piece]) : body });
            }
        };
        const onEnd = (end: answers.AnswerEnd) => {
            if (!isFinished) {
                const isWhole = end === answers.AnswerEnd.Whole;
                finish(isWhole ? { kind: BodyKind.Whole, body: collector.finish() } : { kind: BodyKind.Broken });
            }
        };
        response.on("data", onData);
        void answer.end.then(onEnd);
    });
}
