/** A token of RFC 9110. */
const NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** What no field value of RFC 9110 contains: control characters but tabs, and characters of more than one byte. */
const FORBIDDEN_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;
/** What a field value or reason phrase holds if a head was cut in it and another one follows. */
const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/**
 * What is wrong with the headers of a message, given as Node's flat list of names and values; undefined if they can be passed
 * on. Node's parser accepts headers that its writer refuses.
 */
export function findMalformedHeader(rawHeaders: readonly string[]): string | undefined {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        if (!NAME.test(name)) {
            return `malformed name of header ${JSON.stringify(name)}`;
        }
        if (FORBIDDEN_IN_VALUE.test(rawHeaders[index + 1] ?? "")) {
            return `malformed value of header ${name}`;
        }
    }
    return undefined;
}

/** The head of a response, as Node's client reads it. */
export interface ResponseHead {
    readonly statusCode?: number | undefined;
    /** The reason phrase. */
    readonly statusMessage?: string | undefined;
    /** Flat list of names and values. */
    readonly rawHeaders: readonly string[];
}

/** What is wrong with the head of a final response; undefined if it can be passed on. */
export function findMalformedHead(
    { statusCode = 0, statusMessage = "", rawHeaders }: ResponseHead,
): string | undefined {
    if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS) {
        return `malformed status ${statusCode}`;
    }
    if (STATUS_LINE.test(statusMessage) || rawHeaders.some((text) => STATUS_LINE.test(text))) {
        return "head within a head";
    }
    return findMalformedHeader(rawHeaders) ?? findUnknownTransferCoding(rawHeaders);
}

/** A transfer coding other than chunks. Node's parser reads a body in one up to the close, as if it were whole then. */
function findUnknownTransferCoding(rawHeaders: readonly string[]): string | undefined {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const value = rawHeaders[index + 1] ?? "";
        if (rawHeaders[index]?.toLowerCase() === "transfer-encoding" && value.trim().toLowerCase() !== "chunked") {
            return `unknown transfer coding ${JSON.stringify(value)}`;
        }
    }
    return undefined;
}
