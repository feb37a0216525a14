/** A token of RFC 9110. */
const NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** What no field value of RFC 9110 contains: control characters but tabs, and characters of more than one byte. */
const FORBIDDEN_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;
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

/** What is wrong with the head of a final response; undefined if it can be passed on. */
export function findMalformedHead(
    { statusCode = 0, rawHeaders }: {
        readonly statusCode?: number | undefined;
        readonly rawHeaders: readonly string[];
    },
): string | undefined {
    return statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS
        ? `malformed status ${statusCode}`
        : findMalformedHeader(rawHeaders) ?? findUnknownTransferCoding(rawHeaders);
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
