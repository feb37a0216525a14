import * as http from "node:http";

/** How reading a caller's body ended. */
export type BodyOutcome =
    | { readonly kind: BodyKind.Whole; readonly body: Buffer; }
    | { readonly kind: BodyKind.TooLarge | BodyKind.CutOff; };

/** The kinds of body outcome. */
export enum BodyKind {
    Whole = "whole",
    TooLarge = "too-large",
    /** The caller stopped sending before the end. */
    CutOff = "cut-off",
}

/** Reads a whole body of at most the limit, in bytes. What comes after the limit is not kept. */
export async function readBody(request: http.IncomingMessage, limit: number): Promise<BodyOutcome> {
    if (Number(request.headers["content-length"] ?? 0) > limit) {
        return { kind: BodyKind.TooLarge };
    }
    const pieces: Buffer[] = [];
    let length = 0;
    try {
        for await (const piece of request) {
            length += (piece as Buffer).length;
            if (length > limit) {
                return { kind: BodyKind.TooLarge };
            }
            pieces.push(piece as Buffer);
        }
    }
    catch {
        return { kind: BodyKind.CutOff };
    }
    return request.complete ? { kind: BodyKind.Whole, body: Buffer.concat(pieces) } : { kind: BodyKind.CutOff };
}
