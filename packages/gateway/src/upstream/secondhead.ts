import type * as http from "node:http";

const START = "HTTP/1.";
const STATUS_LINE = /^HTTP\/1\.\d \d{3}[^\n]*$/;
const HEADER_LINE = /^[^\s:]+:/;
/** Length beyond which what began like a head is none. */
const MAX_HEAD_BYTES = 8_192;
const NO_BYTES = Buffer.alloc(0);

/** The name, in lower case, of the header in which a response repeats the id of its call; undefined if none does. */
export function idHeaderOf({ rawHeaders }: Pick<http.IncomingMessage, "rawHeaders">, id: string): string | undefined {
    const index = rawHeaders.findIndex((value, at) => at % 2 === 1 && value === id);
    return index < 0 ? undefined : rawHeaders[index - 1]?.toLowerCase();
}

/** What a text that begins like a head amounts to. */
enum Likeness {
    /** It names an id as the heads of answers do. */
    Head = "head",
    /** It may become a head with more bytes. */
    Unfinished = "unfinished",
    None = "none",
}

/** Finds the head of another answer within a body: the body was cut, or it is followed by an answer that nothing asked for. */
export class SecondHeadScanner {
    /** Bytes from the first on that may begin a head. */
    private candidate = NO_BYTES;

    /** `idHeader` is the header that answers of the upstream bear their id in. */
    constructor(private readonly idHeader: string) {}

    /** Adds the next bytes of the body. Returns whether there is a second head. */
    push(piece: Buffer): boolean {
        const bytes = this.candidate.length === 0 ? piece : Buffer.concat([this.candidate, piece]);
        let from = bytes.indexOf(START);
        while (from >= 0) {
            const likeness = this.likenessOf(bytes.toString("latin1", from, from + MAX_HEAD_BYTES));
            if (likeness === Likeness.Head) {
                return true;
            }
            if (likeness === Likeness.Unfinished && bytes.length - from < MAX_HEAD_BYTES) {
                this.keep(bytes, from);
                return false;
            }
            from = bytes.indexOf(START, from + START.length);
        }
        this.keep(bytes, bytes.length - lengthOfStartAtEnd(bytes));
        return false;
    }

    /** Whether the body so far ends within what began as a head. */
    get endsWithinHead(): boolean {
        return this.candidate.includes("\n");
    }

    private keep(bytes: Buffer, from: number): void {
        // A copy: a view would keep all that was read with it.
        this.candidate = from >= bytes.length ? NO_BYTES : Buffer.from(bytes.subarray(from));
    }

    private likenessOf(text: string): Likeness {
        const [statusLine = "", ...lines] = text.split("\n").map((line) => line.replace(/\r$/, ""));
        const rest = lines.pop();
        if (rest === undefined) {
            return Likeness.Unfinished;
        }
        if (!STATUS_LINE.test(statusLine)) {
            return Likeness.None;
        }
        for (const line of lines) {
            if (!HEADER_LINE.test(line)) {
                return Likeness.None;
            }
            if (line.toLowerCase().startsWith(`${this.idHeader}:`)) {
                return Likeness.Head;
            }
        }
        return Likeness.Unfinished;
    }
}

/** Number of bytes at the end that may be the first of a status line. */
function lengthOfStartAtEnd(bytes: Buffer): number {
    for (let length = Math.min(START.length - 1, bytes.length); length > 0; length--) {
        if (START.startsWith(bytes.toString("latin1", bytes.length - length))) {
            return length;
        }
    }
    return 0;
}
