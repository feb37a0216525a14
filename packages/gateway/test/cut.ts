import type * as net from "node:net";

/** How an upstream closes the connection after its last byte. */
export enum Close {
    Fin = "FIN",
    Reset = "RST",
}

/** Bytes that an upstream sends in place of a whole answer. */
export interface Cut {
    readonly text: string;
    /** Whether each byte is a write of its own. */
    readonly inBytes: boolean;
    readonly close: Close;
}

/** Time for what was sent to be read: a reset discards the rest. */
const RESET_DELAY_MS = 10;
const MAX_CONCURRENT = 10;
const MAX_UNSENT = 5;

/** Each way to send a text. */
export function waysToSend(text: string): Cut[] {
    return [Close.Fin, Close.Reset].flatMap((close) => [false, true].map((inBytes) => ({ text, inBytes, close })));
}

/** The proper prefixes of a text, each sent in every way. */
export function cutsOf(text: string): Cut[] {
    return Array.from(text, (_, length) => waysToSend(text.slice(0, length))).flat();
}

/** Sends a cut answer and closes its connection. */
export async function sendCut(socket: net.Socket, { text, inBytes, close }: Cut): Promise<void> {
    for (const piece of inBytes ? text : [text]) {
        socket.write(piece, "latin1");
        await new Promise((resolve) => setImmediate(resolve));
    }
    if (close === Close.Fin) {
        socket.end();
    }
    else {
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    }
}

/** Runs a check for each case, many at a time, until one fails. */
export async function forEachCase<Case>(cases: readonly Case[], check: (each: Case, index: number) => Promise<void>) {
    const left = [...cases.entries()];
    const work = async () => {
        for (let next = left.shift(); next; next = left.shift()) {
            await check(next[1], next[0]).catch((error: unknown) => {
                left.length = 0;
                throw error;
            });
        }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT }, work));
}

/** Repeats a request that was truly refused as not run: on a busy machine, connections may not be established in time. */
export async function repeatUnsent<Response extends { readonly status: number; }>(
    send: () => Promise<Response>,
    hasRun: () => boolean,
): Promise<Response> {
    for (let left = MAX_UNSENT;; left--) {
        const response = await send();
        if (response.status !== 503 || hasRun() || left === 0) {
            return response;
        }
    }
}
