import * as http from "node:http";

/** Headers that carry credentials under one of their usual names, in lower case. */
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

/** Headers that concern one connection only and are never passed on, in lower case. */
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

/** Removes credentials and connection headers, and any header in which the key stands, whatever its name. */
export function cleanHeaders(headers: http.IncomingHttpHeaders, key: string | undefined): http.OutgoingHttpHeaders {
    const named = String(headers.connection ?? "").toLowerCase().split(",").map((token) => token.trim());
    const kept = Object.entries(headers).filter(([name, value]) =>
        value !== undefined
        && !CREDENTIAL_HEADERS.has(name)
        && !CONNECTION_HEADERS.has(name)
        && !named.includes(name)
        && !mentions([value].flat().join(" "), key)
        && !mentions(name, key)
    );
    return Object.fromEntries(kept);
}

/** Removes every query parameter in which the key stands. Takes and returns a path with its query. */
export function cleanPath(pathAndQuery: string, key: string | undefined): string {
    const start = pathAndQuery.indexOf("?");
    if (start < 0) {
        return pathAndQuery;
    }
    const kept = pathAndQuery.slice(start + 1).split("&").filter((parameter) => !mentions(parameter, key));
    return pathAndQuery.slice(0, start) + (kept.length > 0 ? `?${kept.join("&")}` : "");
}

/** Whether the key stands in the text, as it is, percent-encoded or in base64. */
export function mentions(text: string, key: string | undefined): boolean {
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
    const tokens = text.match(/[A-Za-z0-9+/_-]{16,}={0,2}/g) ?? [];
    return tokens.some((token) => Buffer.from(token, "base64").toString("latin1").includes(key));
}
