import type * as decision from "@citronlead/decision";
import type * as http from "node:http";
import type * as net from "node:net";

/** What a call did on its connection, for the log. */
export interface CallTrace {
    /** Number of the connection among those of the process; 0 if the call got none. */
    readonly connection: number;
    /** Which use of the connection it was; 1 is the first. */
    readonly use: number;
    /** Number of bytes that the operating system took while the connection was the call's. */
    readonly writtenBytes: number;
    /** Time from when the request was written to the outcome; undefined if it was not written. */
    readonly answeredMs: decision.Milliseconds | undefined;
}

interface Connection {
    readonly number: number;
    uses: number;
}

/** A connection, with the count of bytes that Node doesn't declare; `bytesWritten` includes those that wait. */
type CountedSocket = net.Socket & { readonly _bytesDispatched?: number; };

const connections = new WeakMap<net.Socket, Connection>();
let lastNumber = 0;

/** Traces a request from now on. Returns a function that tells what it has done so far. */
export function traceCall(request: http.ClientRequest): () => CallTrace {
    let socket: CountedSocket | undefined;
    let number = 0;
    let use = 0;
    let bytesBefore = 0;
    let writtenAt: number | undefined;
    request.on("socket", (assigned: CountedSocket) => {
        const connection = connections.get(assigned) ?? { number: ++lastNumber, uses: 0 };
        connections.set(assigned, connection);
        socket = assigned;
        number = connection.number;
        use = ++connection.uses;
        bytesBefore = assigned._bytesDispatched ?? 0;
    });
    request.on("finish", () => writtenAt = performance.now());
    return () => ({
        connection: number,
        use,
        writtenBytes: (socket?._bytesDispatched ?? 0) - bytesBefore,
        answeredMs: writtenAt === undefined ? undefined : Math.round(performance.now() - writtenAt),
    });
}
