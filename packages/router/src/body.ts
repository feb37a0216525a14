import type * as decision from "@citronlead/decision";
import type * as http from "node:http";

/** How reading a caller's body ended. */
export type BodyOutcome =
    | { readonly kind: BodyKind.Whole; readonly body: Buffer; }
    | { readonly kind: BodyKind.TooLarge | BodyKind.CutOff | BodyKind.TooSlow; };

/** The kinds of body outcome. */
export enum BodyKind {
    Whole = "whole",
    TooLarge = "too-large",
    /** The connection broke, or what came was no HTTP, before the end. */
    CutOff = "cut-off",
    /** The end did not come in time. */
    TooSlow = "too-slow",
}

/** Reads a whole body of at most the limit, in bytes, within the time. What comes after that is not kept. */
export function readBody(
    request: http.IncomingMessage,
    limit: number,
    timeoutMs: decision.Milliseconds,
): Promise<BodyOutcome> {
    if (Number(request.headers["content-length"] ?? 0) > limit) {
        return Promise.resolve({ kind: BodyKind.TooLarge });
    }
    return new Promise((resolve) => {
        const pieces: Buffer[] = [];
        let length = 0;
        const settle = (outcome: BodyOutcome) => {
            clearTimeout(timer);
            request.off("data", take);
            request.off("end", end);
            request.off("error", cutOff);
            request.off("close", cutOff);
            request.on("error", () => undefined);
            resolve(outcome);
        };
        const take = (piece: Buffer) => {
            length += piece.length;
            pieces.push(piece);
            if (length > limit) {
                settle({ kind: BodyKind.TooLarge });
            }
        };
        const end = () => settle({ kind: BodyKind.Whole, body: Buffer.concat(pieces) });
        const cutOff = () => settle({ kind: BodyKind.CutOff });
        const timer = setTimeout(() => settle({ kind: BodyKind.TooSlow }), timeoutMs);
        request.on("data", take);
        request.on("end", end);
        request.on("error", cutOff);
        request.on("close", cutOff);
    });
}
