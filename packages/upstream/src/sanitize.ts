import * as http from "node:http";

/** Common names of headers that carry credentials, in lower case. */
const CREDENTIAL_HEADERS = new Set([
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "api-key",
    "x-auth-token",
    "x-access-token",
    "x-goog-api-key",
    "cookie",
]);

/** Hop-by-hop headers and others that each connection sets anew, in lower case. They are not forwarded. */
const CONNECTION_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
]);

/** Removes credentials, connection headers, and all headers whose name or value contains the key. */
export function cleanHeaders(headers: http.IncomingHttpHeaders, key: string | undefined): http.OutgoingHttpHeaders {
    const connectionOptions = String(headers.connection ?? "").toLowerCase().split(",").map((token) => token.trim());
    const keptHeaders = Object.entries(headers).filter(([name, value]) =>
        value !== undefined
        && !CREDENTIAL_HEADERS.has(name)
        && !CONNECTION_HEADERS.has(name)
        && !connectionOptions.includes(name)
        && !containsKey([value].flat().join(" "), key)
        && !containsKey(name, key)
    );
    return Object.fromEntries(keptHeaders);
}

/** Removes the query parameters that contain the key. Takes and returns a path with its query. */
export function cleanPath(pathAndQuery: string, key: string | undefined): string {
    const queryStart = pathAndQuery.indexOf("?");
    if (queryStart < 0) {
        return pathAndQuery;
    }
    const keptParameters = pathAndQuery.slice(queryStart + 1).split("&").filter((parameter) =>
        !containsKey(parameter, key)
    );
    return pathAndQuery.slice(0, queryStart) + (keptParameters.length > 0 ? `?${keptParameters.join("&")}` : "");
}

/** Whether the text contains the key, in plain form, percent-encoded or in base64. */
export function containsKey(text: string, key: string | undefined): boolean {
    if (key === undefined || key === "") {
        return false;
    }
    return text.includes(key) || decodePercent(text).includes(key) || containsBase64(text, key);
}

function decodePercent(text: string): string {
    if (!text.includes("%") && !text.includes("+")) {
        return text;
    }
    return text.replace(/\+/g, " ").replace(
        /%([0-9a-f]{2})/gi,
        (_match, digits: string) => String.fromCharCode(Number.parseInt(digits, 16)),
    );
}

function containsBase64(text: string, key: string): boolean {
    const candidates = text.match(/[A-Za-z0-9+/_-]{16,}={0,2}/g) ?? [];
    return candidates.some((candidate) => Buffer.from(candidate, "base64").toString("latin1").includes(key));
}
