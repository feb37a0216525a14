import * as envelopes from "./relay/envelope.js";

/** Hop-by-hop headers, and those that are set anew for each message, in lower case. */
const CONNECTION_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
]);

/**
 * The end-to-end headers of a flat list of names and values, without those in `dropped`, whose names are in lower case.
 */
export function endToEndHeaders(raw: readonly string[], dropped: ReadonlySet<string>): string[] {
    const connectionOptions = new Set<string>();
    for (let index = 0; index + 1 < raw.length; index += 2) {
        if ((raw[index] as string).toLowerCase() === "connection") {
            (raw[index + 1] as string).split(",").forEach((name) => connectionOptions.add(name.trim().toLowerCase()));
        }
    }
    const kept: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = (raw[index] as string).toLowerCase();
        if (!CONNECTION_HEADERS.has(name) && !connectionOptions.has(name) && !dropped.has(name)) {
            kept.push(raw[index] as string, raw[index + 1] as string);
        }
    }
    return kept;
}

/** The headers of an upstream's response to send to the caller, with a Content-Length if the length is given. */
export function responseHeaders(raw: readonly string[], length: number | undefined): string[] {
    const kept = endToEndHeaders(raw, envelopes.RELAY_HEADERS);
    return length === undefined ? kept : [...kept, "Content-Length", String(length)];
}
