import type * as decision from "@citronlead/decision";
import type * as http from "node:http";

/** The result of reading a caller's request body. */
export type BodyOutcome =
    | { readonly kind: BodyOutcomeKind.Complete; readonly body: Buffer; }
    | { readonly kind: BodyOutcomeKind.TooLarge | BodyOutcomeKind.Truncated | BodyOutcomeKind.TimedOut; };

/** The kinds of BodyOutcome. */
export enum BodyOutcomeKind {
    Complete = "whole",
    TooLarge = "too-large",
    /** The connection closed or sent invalid HTTP before the end of the body. */
    Truncated = "cut-off",
    /** The body was not complete within the timeout. */
    TimedOut = "too-slow",
}

/** Reads a request body of at most `limitBytes` within the timeout. Later data is not kept. */
export function readBody(
    request: http.IncomingMessage,
    limitBytes: number,
    timeoutMs: decision.Milliseconds,
): Promise<BodyOutcome> {
    if (Number(request.headers["content-length"] ?? 0) > limitBytes) {
        return Promise.resolve({ kind: BodyOutcomeKind.TooLarge });
    }
    return new Promise((resolve) => {
        const chunks: Buffer[] = [];
        let length = 0;
        const settle = (outcome: BodyOutcome) => {
            clearTimeout(timer);
            request.off("data", onData);
            request.off("end", onEnd);
            request.off("error", onDisconnect);
            request.off("close", onDisconnect);
            // Without a listener, a later error event would be thrown.
            request.on("error", () => undefined);
            resolve(outcome);
        };
        const onData = (chunk: Buffer) => {
            length += chunk.length;
            chunks.push(chunk);
            if (length > limitBytes) {
                settle({ kind: BodyOutcomeKind.TooLarge });
            }
        };
        const onEnd = () => settle({ kind: BodyOutcomeKind.Complete, body: Buffer.concat(chunks) });
        const onDisconnect = () => settle({ kind: BodyOutcomeKind.Truncated });
        const timer = setTimeout(() => settle({ kind: BodyOutcomeKind.TimedOut }), timeoutMs);
        request.on("data", onData);
        request.on("end", onEnd);
        request.on("error", onDisconnect);
        request.on("close", onDisconnect);
    });
}
