import type * as http from "node:http";

/** Why a head is none of RFC 9112, or none that a client of HTTP/1.1 takes as an answer. */
export enum HeadProblem {
    /** The first line is no status line of HTTP/1.0 or 1.1. */
    StatusLine = "statusLine",
    /** No status from 100 to 599. */
    Status = "status",
    /** A switch to another protocol, which no client here asks for. */
    ProtocolSwitch = "protocolSwitch",
    /** A line without a token and a colon, such as a folded one. */
    FieldName = "fieldName",
    /** A control character in the value of a field. */
    FieldValue = "fieldValue",
    /** A status line within the head: one that was cut has another one behind it. */
    Nested = "nested",
    /** A transfer coding other than `chunked`, or one where none can be. */
    TransferCoding = "transferCoding",
    /** No number, more than one length, or one where none can be. */
    Length = "length",
    /** The parser has come to the end of a head that has no blank line. */
    Unfinished = "unfinished",
    /** Refused by the parser alone. */
    Parser = "parser",
}

const STATUS_LINE = /^HTTP\/1\.([01]) (\d{3})(?: [\t\x20-\x7e\x80-\xff]*)?$/;
/** What a field value or reason phrase holds if a head was cut in it and another one follows. */
const INNER_STATUS_LINE = /HTTP\/\d\.\d \d{3}/;
/** A field name of RFC 9110 at the start of its line. */
const FIELD_NAME = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):/;
/** What no field value of RFC 9110 contains: control characters but tabs, and characters of more than one byte. */
const FORBIDDEN_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;
const SURROUNDING_BLANKS = /^[\t ]+|[\t ]+$/g;
const LENGTH = /^\d+$/;
const MIN_STATUS = 100;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const SWITCHING_PROTOCOLS = 101;
const NO_CONTENT = 204;
const LF = 0x0a;

/** Whether a field of a message can be passed on. */
export function findFieldProblem(name: string, value: string): HeadProblem | undefined {
    if (!FIELD_NAME.test(`${name}:`)) {
        return HeadProblem.FieldName;
    }
    return FORBIDDEN_IN_VALUE.test(value) ? HeadProblem.FieldValue : undefined;
}

/**
 * Checks the bytes of a connection that carry the heads of a response, interim ones too. Node's parser takes more than
 * RFC 9112 allows, and what it takes differs from release to release.
 */
export class HeadChecker {
    private found: HeadProblem | undefined;
    private isFinished = false;
    private line = "";
    /** Status of the head that is read; 0 before its status line. */
    private status = 0;
    private isVersion10 = false;
    private readonly lengths: string[] = [];
    private readonly transferCodings: string[] = [];

    /** What is wrong with the bytes so far. */
    get problem(): HeadProblem | undefined {
        return this.found;
    }

    /** What is wrong with the heads once the parser has come to the end of the final one. */
    get finalProblem(): HeadProblem | undefined {
        return this.found ?? (this.isFinished ? undefined : HeadProblem.Unfinished);
    }

    /** Adds bytes of the connection; those after the final head, or after a problem, are passed over. */
    push(bytes: Buffer): void {
        for (let start = 0; start < bytes.length && !this.isFinished && !this.found;) {
            const lineEnd = bytes.indexOf(LF, start);
            const end = lineEnd < 0 ? bytes.length : lineEnd;
            this.line += bytes.toString("latin1", start, end);
            start = end + 1;
            if (lineEnd >= 0) {
                const line = this.line.endsWith("\r") ? this.line.slice(0, -1) : this.line;
                this.line = "";
                this.found = this.endLine(line);
            }
        }
    }

    private endLine(line: string): HeadProblem | undefined {
        if (this.status === 0) {
            return line === "" ? undefined : this.beginHead(line);
        }
        return line === "" ? this.endHead() : this.addField(line);
    }

    private beginHead(line: string): HeadProblem | undefined {
        const [, minorVersion, digits] = STATUS_LINE.exec(line) ?? [];
        if (digits === undefined) {
            return HeadProblem.StatusLine;
        }
        this.status = Number(digits);
        this.isVersion10 = minorVersion === "0";
        if (this.status < MIN_STATUS || this.status > MAX_STATUS) {
            return HeadProblem.Status;
        }
        if (this.status === SWITCHING_PROTOCOLS) {
            return HeadProblem.ProtocolSwitch;
        }
        return INNER_STATUS_LINE.test(line.slice(1)) ? HeadProblem.Nested : undefined;
    }

    private addField(line: string): HeadProblem | undefined {
        if (INNER_STATUS_LINE.test(line)) {
            return HeadProblem.Nested;
        }
        const name = FIELD_NAME.exec(line)?.[1];
        if (name === undefined) {
            return HeadProblem.FieldName;
        }
        const value = line.slice(name.length + 1).replace(SURROUNDING_BLANKS, "");
        if (FORBIDDEN_IN_VALUE.test(value)) {
            return HeadProblem.FieldValue;
        }
        if (name.toLowerCase() === "content-length") {
            this.lengths.push(value);
        }
        else if (name.toLowerCase() === "transfer-encoding") {
            this.transferCodings.push(value.toLowerCase());
        }
        return undefined;
    }

    private endHead(): HeadProblem | undefined {
        const isInterim = this.status < MIN_FINAL_STATUS;
        const hasNoBody = isInterim || this.status === NO_CONTENT;
        const lengths = this.lengths.splice(0);
        const transferCodings = this.transferCodings.splice(0);
        this.isFinished = !isInterim;
        this.status = 0;
        if (transferCodings.length > 0 && (hasNoBody || this.isVersion10 || transferCodings.join() !== "chunked")) {
            return HeadProblem.TransferCoding;
        }
        const isLengthSound = lengths.every((value) => LENGTH.test(value) && (!hasNoBody || Number(value) === 0));
        return lengths.length + transferCodings.length > 1 || !isLengthSound ? HeadProblem.Length : undefined;
    }
}

/** Checks the heads of the response to a request as they arrive. */
export function checkHeads(request: http.ClientRequest): HeadChecker {
    const checker = new HeadChecker();
    const push = (bytes: Buffer) => checker.push(bytes);
    // Before the parser's own listener, so that the head is checked by the time of its response.
    request.once("socket", (socket) => socket.prependListener("data", push));
    request.prependOnceListener("response", (response) => response.socket.off("data", push));
    return checker;
}
