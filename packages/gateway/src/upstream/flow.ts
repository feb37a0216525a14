import type * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";
import type * as http from "node:http";
import type * as net from "node:net";

/** Reads an answer no faster than its caller takes it, and a long one no faster than the pace of all long ones. */
export class AnswerFlow {
    private readonly socket: net.Socket;
    private readonly startBytes: number;
    private countedBytes = 0;
    private holds = 0;
    private heldSince: decision.Milliseconds | undefined;
    private totalHeldMs: decision.Milliseconds = 0;
    private callerHoldsSince: decision.Milliseconds | undefined;
    private callerHeldMs: decision.Milliseconds = 0;

    constructor(
        private readonly source: http.IncomingMessage,
        private readonly pace: dispatch.Pace,
        private readonly clock: decision.Clock,
    ) {
        this.socket = source.socket;
        this.startBytes = this.socket.bytesRead;
        const read = source._read.bind(source);
        // Node reads on until enough of a body waits, however many bytes that takes on the connection.
        source._read = (size) => this.holds === 0 && read(size);
    }

    /** For how long the caller has held it up. */
    get callerMs(): decision.Milliseconds {
        return this.callerHeldMs + (this.callerHoldsSince === undefined ? 0 : this.clock() - this.callerHoldsSince);
    }

    /** For how long nothing has been read of it, whatever the reason. */
    get heldMs(): decision.Milliseconds {
        return this.totalHeldMs + (this.heldSince === undefined ? 0 : this.clock() - this.heldSince);
    }

    /** Reads on, unless something holds the answer up. */
    start(): void {
        if (this.holds === 0 && !this.source.closed) {
            this.socket.resume();
            this.source.resume();
        }
    }

    /** Called when a part of the answer was read; counts all bytes of its connection, whatever they are in the protocol. */
    onRead(): void {
        const readBytes = this.socket.bytesRead - this.startBytes;
        const addedBytes = readBytes - Math.max(this.countedBytes, this.pace.unpacedBytes);
        if (addedBytes <= 0) {
            return;
        }
        this.countedBytes = readBytes;
        const waitMs = this.pace.waitAfter(addedBytes, this.clock());
        if (waitMs > 0) {
            this.hold();
            setTimeout(() => this.letGo(), waitMs);
        }
    }

    /** Waits until the caller has taken what was written to it. */
    waitForCaller(response: http.ServerResponse): void {
        if (this.callerHoldsSince !== undefined) {
            return;
        }
        this.callerHoldsSince = this.clock();
        this.hold();
        response.once("drain", () => {
            this.callerHeldMs = this.callerMs;
            this.callerHoldsSince = undefined;
            this.letGo();
        });
    }

    private hold(): void {
        this.holds++;
        this.heldSince ??= this.clock();
        this.source.pause();
        this.socket.pause();
    }

    private letGo(): void {
        this.holds--;
        if (this.holds === 0) {
            this.totalHeldMs = this.heldMs;
            this.heldSince = undefined;
        }
        this.start();
    }
}
