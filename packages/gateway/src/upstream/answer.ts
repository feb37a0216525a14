import type * as dispatch from "@citronlead/dispatch";
import type * as http from "node:http";
import * as secondheads from "./secondhead.js";

/** What ends the body of a response. */
export enum Framing {
    Length = "length",
    Chunks = "chunks",
    /** There is no body. */
    None = "none",
    /** The close of its connection. */
    Close = "close",
}

/** How a response ended. */
export enum AnswerEnd {
    /** Its reader has got all that the upstream meant to send. */
    Whole = "whole",
    /** Its connection failed or was closed within a framed response. */
    Cut = "cut",
    /** This host closed the connection before its reader had got all of the response. */
    Abandoned = "abandoned",
    /** The connection of a response without framing was reset. */
    Reset = "reset",
    /** A response without framing whose connection ended before its request had been written. */
    Early = "early",
    /** The head of another response stands within the body, or right behind it. */
    Joined = "joined",
    /** The upstream of a response without framing stopped. */
    Stopped = "stopped",
}

/** Tells whether the upstream that closed the connection of a response without framing had stopped. */
export interface EndWatch {
    /** Called before the call is sent, and once it is over. */
    readonly begin: () => void;
    readonly end: () => void;
    /** Follows the response while it is read. */
    readonly follow: (response: http.IncomingMessage) => void;
    /** What shows that the upstream has not stopped; undefined if nothing does. */
    readonly findProof: () => Promise<dispatch.EndProof | undefined>;
}

/** Statuses of responses that have no body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number | undefined> = new Set([204, 304]);

/** The response to a call, with how it ends as its connection and its reader show it. */
export class Answer {
    readonly framing: Framing;
    /** Resolves when the response has closed; what a reader has got is whole only with `AnswerEnd.Whole`. */
    readonly end: Promise<AnswerEnd>;
    /** What the end of a whole response without framing rests on. */
    endProof: dispatch.EndProof | undefined;
    private isRequestWritten = false;
    private wasRead = false;
    private closedInOrder = false;
    private secondHeads: secondheads.SecondHeadScanner | undefined;
    private isJoined = false;

    /**
     * Takes a response before anything of its body has been read. Without a watch, upstreams that close the connection of a
     * response without framing count as running; `id` is that of the call, if its answers repeat it.
     */
    constructor(
        request: http.ClientRequest,
        readonly response: http.IncomingMessage,
        private readonly watch: EndWatch | undefined,
        id: string | undefined,
    ) {
        this.framing = framingOf(request.method, response);
        // A reader that closes the response at its last piece has not got it.
        response.once("end", () => this.wasRead = !response.destroyed);
        const idHeader = id === undefined ? undefined : secondheads.idHeaderOf(response, id);
        if (idHeader !== undefined) {
            this.scanForSecondHead(new secondheads.SecondHeadScanner(idHeader));
        }
        if (this.framing === Framing.Close) {
            const { socket } = response;
            watch?.follow(response);
            socket.prependOnceListener("end", () => {
                // A reset found together with data is reported as the end too; the connection has no peer any more then.
                this.closedInOrder = socket.remoteAddress !== undefined;
                // Not at the head: the last write may be reported after it.
                this.isRequestWritten = request.writableFinished;
            });
        }
        this.end = new Promise((resolve) => response.once("close", () => resolve(this.findEnd())));
    }

    private scanForSecondHead(scanner: secondheads.SecondHeadScanner): void {
        const { response } = this;
        const push = response.push.bind(response);
        this.secondHeads = scanner;
        response.push = (piece: Buffer | null, encoding?: BufferEncoding) => {
            if (piece !== null && !this.isJoined && scanner.push(piece)) {
                this.isJoined = true;
                response.destroy();
            }
            return !this.isJoined && push(piece, encoding);
        };
    }

    private async findEnd(): Promise<AnswerEnd> {
        if (this.isJoined || (this.wasRead && this.secondHeads?.endsWithinHead)) {
            return AnswerEnd.Joined;
        }
        if (!this.wasRead) {
            return this.response.errored ? AnswerEnd.Cut : AnswerEnd.Abandoned;
        }
        if (this.framing !== Framing.Close) {
            return AnswerEnd.Whole;
        }
        if (!this.closedInOrder) {
            return AnswerEnd.Reset;
        }
        if (!this.isRequestWritten) {
            return AnswerEnd.Early;
        }
        this.endProof = await this.watch?.findProof();
        return this.watch && this.endProof === undefined ? AnswerEnd.Stopped : AnswerEnd.Whole;
    }
}

function framingOf(method: string, { headers, statusCode }: http.IncomingMessage): Framing {
    if (method === "HEAD" || STATUSES_WITHOUT_BODY.has(statusCode)) {
        return Framing.None;
    }
    if (headers["transfer-encoding"] !== undefined) {
        return Framing.Chunks;
    }
    return headers["content-length"] === undefined ? Framing.Close : Framing.Length;
}
