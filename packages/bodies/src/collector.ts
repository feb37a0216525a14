import type * as memories from "./memory.js";

/** Memory that a piece of a body costs beside its bytes. */
export const PIECE_OVERHEAD_BYTES = 256;
/** Number of pieces that a body of any limit may have. */
const MIN_PIECES = 4_096;

/** Whether a piece of a body was added. */
export enum AddResult {
    Added = "added",
    /** The body has more bytes, or more pieces for its bytes, than its limit allows. */
    TooLong = "tooLong",
    /** The bodies that are being collected take all of their memory. */
    NoMemory = "noMemory",
}

/** Collects the pieces of one body. Its memory is bounded also if it arrives in pieces of a byte each. */
export class BodyCollector {
    private pieces: Buffer[] = [];
    private lengthBytes = 0;
    private takenBytes = 0;

    constructor(private readonly limitBytes: number, private readonly memory: memories.Memory) {}

    /** Size of what was added. */
    get length(): number {
        return this.lengthBytes;
    }

    /** Adds a piece, unless a bound is reached. */
    add(piece: Buffer): AddResult {
        const maxPieces = Math.max(MIN_PIECES, this.limitBytes / PIECE_OVERHEAD_BYTES);
        if (this.lengthBytes + piece.length > this.limitBytes || this.pieces.length >= maxPieces) {
            return AddResult.TooLong;
        }
        const costBytes = piece.length + PIECE_OVERHEAD_BYTES;
        if (!this.memory.tryTake(costBytes)) {
            return AddResult.NoMemory;
        }
        this.takenBytes += costBytes;
        this.lengthBytes += piece.length;
        this.pieces.push(ownBytes(piece));
        return AddResult.Added;
    }

    /** Gives the memory back and returns the body. */
    finish(): Buffer {
        const body = Buffer.concat(this.pieces);
        this.discard();
        return body;
    }

    /** Gives the memory back. May be called more than once. */
    discard(): void {
        this.pieces = [];
        this.memory.release(this.takenBytes);
        this.takenBytes = 0;
    }
}

/** A piece that keeps no more than twice its bytes alive. */
function ownBytes(piece: Buffer): Buffer {
    if (2 * piece.length >= piece.buffer.byteLength) {
        return piece;
    }
    const copy = Buffer.allocUnsafeSlow(piece.length);
    piece.copy(copy);
    return copy;
}
