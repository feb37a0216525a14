const CR = 0x0d;
const LF = 0x0a;
/** Position of the first digit of the status in a status line. */
const STATUS_POSITION = 9;
const INTERIM_DIGIT = 0x31;

/**
 * Checks the line ends of a response's head. Node's parser takes any byte after the last CR of a head for its LF, so that what
 * follows a head that was cut there would become the body.
 */
export class LineEndChecker {
    private isOver = false;
    private afterCr = false;
    private isStatusLine = true;
    private isInterim = false;
    private lineLength = 0;
    private malformed = false;

    /** Whether a CR was not followed by LF. */
    get isMalformed(): boolean {
        return this.malformed;
    }

    /** Adds bytes of the connection; those after the final head are passed over. */
    push(bytes: Uint8Array): void {
        for (let index = 0; index < bytes.length && !this.isOver; index++) {
            this.pushByte(bytes[index] as number);
        }
    }

    private pushByte(byte: number): void {
        if (this.afterCr && byte !== LF) {
            this.malformed = true;
            this.isOver = true;
        }
        else if (byte === LF) {
            this.endLine();
        }
        else if (byte !== CR) {
            if (this.isStatusLine && this.lineLength === STATUS_POSITION) {
                this.isInterim = byte === INTERIM_DIGIT;
            }
            this.lineLength++;
        }
        this.afterCr = byte === CR;
    }

    private endLine(): void {
        const isEmpty = this.lineLength === 0;
        this.lineLength = 0;
        if (!this.isStatusLine && isEmpty) {
            this.isOver = !this.isInterim;
            this.isStatusLine = true;
        }
        else if (!isEmpty) {
            this.isStatusLine = false;
        }
    }
}
