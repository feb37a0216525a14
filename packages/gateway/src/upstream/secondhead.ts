import type * as http from "node:http";

const START = "HTTP/1.";
/** Bounded parts of a head: a body may hold any number of texts that begin like one. */
const STATUS_LINE = String.raw`HTTP/1\.\d \d{3}[^\n]{0,200}\n`;
const HEADER_LINES = String.raw`(?:[^\s:]{1,100}:[^\n]{0,256}\n){0,24}`;
/** A text that ends within a head, or within its first line. */
const UNFINISHED = new RegExp(String.raw`(?:${STATUS_LINE}${HEADER_LINES}|HTTP/1\.)[^\n]{0,256}$`);
/** Length of the longest text that is kept as the beginning of a head. */
const MAX_HEAD_BYTES = 8_192;
/** Status lines that a body may quote before it is no longer searched. */
const MAX_QUOTED_LINES = 256;
const NO_BYTES = Buffer.alloc(0);

/** The name of the header in which a response repeats the id of its call; undefined if none does. */
export function idHeaderOf({ rawHeaders }: Pick<http.IncomingMessage, "rawHeaders">, id: string): string | undefined {
    const index = rawHeaders.findIndex((value, at) => at % 2 === 1 && value === id);
    return index < 0 ? undefined : rawHeaders[index - 1];
}

/** Finds the head of another answer within a body: the body was cut, or it is followed by an answer that nothing asked for. */
export class SecondHeadScanner {
    /** Bytes from the first on that may begin a head. */
    private candidate = NO_BYTES;
    private readonly head: RegExp;
    private quotedLines = 0;

    /** `idHeader` is the header that answers of the upstream bear their id in. */
    constructor(idHeader: string) {
        const name = idHeader.replace(/[^\w-]/g, String.raw`\$&`);
        this.head = new RegExp(`${STATUS_LINE}${HEADER_LINES}${name}:`, "iy");
    }

    /** Adds the next bytes of the body. Returns whether there is a second head. */
    push(piece: Buffer): boolean {
        if (this.quotedLines > MAX_QUOTED_LINES) {
            return false;
        }
        const bytes = this.candidate.length === 0 ? piece : Buffer.concat([this.candidate, piece]);
        let at = bytes.indexOf(START);
        const text = at < 0 ? "" : bytes.toString("latin1");
        for (; at >= 0; at = text.indexOf(START, at + START.length)) {
            this.head.lastIndex = at;
            if (this.head.test(text)) {
                return true;
            }
            // What was kept has been counted.
            this.quotedLines += at < this.candidate.length ? 0 : 1;
            if (this.quotedLines > MAX_QUOTED_LINES) {
                this.candidate = NO_BYTES;
                return false;
            }
        }
        const unfinished = UNFINISHED.exec(text.slice(-MAX_HEAD_BYTES));
        const keptLength = unfinished ? unfinished.input.length - unfinished.index : lengthOfStartAtEnd(bytes);
        // A copy: a view would keep all that was read with it.
        this.candidate = keptLength === 0 ? NO_BYTES : Buffer.from(bytes.subarray(-keptLength));
        return false;
    }

    /** Whether the body so far ends within what began as a head. */
    get endsWithinHead(): boolean {
        return this.candidate.includes("\n");
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
