/** Size of the first buffer, in bytes. */
const INITIAL_CAPACITY = 512;

/** Bytes of a message whose end has not arrived. Adding a byte costs the same however many there are. */
export class IncompleteMessage {
    private buffer: Buffer = Buffer.alloc(0);
    private length = 0;
    private pieceCount = 0;

    /** The bytes; valid until the next change. */
    get bytes(): Buffer {
        return this.buffer.subarray(0, this.length);
    }

    /** Number of pieces that were appended since the last `replace`. */
    get pieces(): number {
        return this.pieceCount;
    }

    append(bytes: Buffer): void {
        const length = this.length + bytes.length;
        if (length > this.buffer.length) {
            const larger = Buffer.allocUnsafeSlow(Math.max(INITIAL_CAPACITY, 2 * length));
            this.buffer.copy(larger, 0, 0, this.length);
            this.buffer = larger;
        }
        bytes.copy(this.buffer, this.length);
        this.length = length;
        this.pieceCount++;
    }

    /** Replaces the bytes by a copy of the given ones. */
    replace(bytes: Buffer): void {
        this.buffer = Buffer.from(bytes);
        this.length = bytes.length;
        this.pieceCount = bytes.length > 0 ? 1 : 0;
    }
}
