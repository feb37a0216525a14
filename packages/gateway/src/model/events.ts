import * as bodies from "@citronlead/bodies";

const LF = 0x0a;
const CR = 0x0d;
const SPACE = 0x20;
const COLON = 0x3a;
const ZERO = 0x30;
const LETTER_I = 0x69;
const LETTER_D = 0x64;
const MAX_ID_DIGITS = 15;

/** What the part of a line shows that has been read. */
enum Line {
    Empty = "empty",
    /** "i" */
    Letter = "letter",
    /** "id" */
    Name = "name",
    IdValue = "idValue",
    Comment = "comment",
    OtherField = "otherField",
}

/** Receives the blocks of an event stream as they are complete, and decides which bytes are returned. */
export interface BlockListener {
    /** An event; its id is undefined if it has none and NaN if that is not a number. Returns false to end the stream before it. */
    readonly acceptsEvent: (id: number | undefined) => boolean;
    /** Whether comments outside of events are returned before the next event. */
    readonly passesComments: () => boolean;
}

const ACCEPT_ALL: BlockListener = { acceptsEvent: () => true, passesComments: () => true };

/** Buffers an event stream and returns it in chunks of complete events. Looks at each byte once. */
export class EventSplitter {
    private readonly incomplete = new bodies.IncompleteMessage();
    private lastCompleteId: number | undefined;
    private eventCount = 0;
    private rejected = false;
    /** Length of the bytes at the start of the remainder that have been read. */
    private readBytes = 0;

    private line = Line.Empty;
    private afterCr = false;
    /** Whether the last line ended with CR alone. */
    private endsWithCrAlone = false;
    /** Whether an empty line has ended with a CR, which an LF may follow. */
    private awaitsLf = false;
    private hasField = false;
    private blockId: number | undefined;
    private idDigits = 0;
    private idEnded = false;

    constructor(private readonly listener: BlockListener = ACCEPT_ALL) {}

    /** Number of events in the bytes that were returned last. */
    get lastEventCount(): number {
        return this.eventCount;
    }

    /** Id of the last complete event that had a numeric id. */
    get lastEventId(): string | undefined {
        return this.lastCompleteId === undefined ? undefined : String(this.lastCompleteId);
    }

    /** Whether an event was not accepted. */
    get isRejected(): boolean {
        return this.rejected;
    }

    /** Whether no event is incomplete. */
    get isBetweenEvents(): boolean {
        return this.remainder.toString("latin1").trim() === "";
    }

    /** Number of pieces in which the incomplete event has arrived. */
    get remainderPieces(): number {
        return this.incomplete.pieces;
    }

    /** Adds bytes. Returns the bytes of the events that are now complete, or undefined if there are none. */
    push(bytes: Buffer): Buffer | undefined {
        this.eventCount = 0;
        if (this.rejected) {
            return undefined;
        }
        if (this.remainder.length === 0) {
            const end = this.read(bytes);
            if (end === bytes.length) {
                return end === 0 ? undefined : bytes;
            }
            this.incomplete.append(bytes.subarray(end));
            return end === 0 ? undefined : bytes.subarray(0, end);
        }
        this.incomplete.append(bytes);
        const all = this.remainder;
        const end = this.read(all);
        if (end === 0) {
            return undefined;
        }
        const complete = Buffer.from(all.subarray(0, end));
        this.incomplete.replace(all.subarray(end));
        return complete;
    }

    /** The bytes after the last complete event. */
    get remainder(): Buffer {
        return this.incomplete.bytes;
    }

    /** Reads on to the end of the bytes. Returns the length of those up to the last block that may be returned. */
    private read(bytes: Buffer): number {
        let end = 0;
        let index = this.readBytes;
        for (; index < bytes.length && !this.rejected; index++) {
            const byte = bytes[index] as number;
            if (byte === LF && this.afterCr) {
                this.afterCr = false;
                this.endsWithCrAlone = false;
                end = this.awaitsLf ? this.endBlock(index + 1, end) : end;
                continue;
            }
            if (this.afterCr) {
                this.afterCr = false;
                this.endsWithCrAlone = true;
                end = this.awaitsLf ? this.endBlock(index, end) : end;
                if (this.rejected) {
                    break;
                }
            }
            if (byte !== LF && byte !== CR) {
                if (this.line === Line.OtherField || this.line === Line.Comment) {
                    index = findLineEnd(bytes, index) - 1;
                }
                else {
                    this.readInLine(byte);
                }
                continue;
            }
            this.afterCr = byte === CR;
            if (this.line !== Line.Empty) {
                this.endLine();
            }
            else if (byte === LF || this.endsWithCrAlone) {
                end = this.endBlock(index + 1, end);
            }
            else {
                this.awaitsLf = true;
            }
            this.endsWithCrAlone &&= byte === CR;
        }
        this.readBytes = index - end;
        return end;
    }

    private readInLine(byte: number): void {
        switch (this.line) {
            case Line.Empty:
                this.line = byte === LETTER_I ? Line.Letter : byte === COLON ? Line.Comment : Line.OtherField;
                return;
            case Line.Letter:
                this.line = byte === LETTER_D ? Line.Name : Line.OtherField;
                return;
            case Line.Name:
                this.line = byte === COLON ? Line.IdValue : Line.OtherField;
                this.beginId();
                return;
            case Line.IdValue:
                this.readId(byte);
                return;
            default:
                return;
        }
    }

    private beginId(): void {
        if (this.line === Line.IdValue) {
            this.blockId = 0;
            this.idDigits = 0;
            this.idEnded = false;
        }
    }

    private readId(byte: number): void {
        if (byte === SPACE) {
            this.idEnded = this.idDigits > 0;
            return;
        }
        const digit = byte - ZERO;
        const isDigit = digit >= 0 && digit <= 9 && !this.idEnded;
        const hasLeadingZero = this.idDigits > 0 && this.blockId === 0;
        this.blockId = isDigit && !hasLeadingZero && this.idDigits < MAX_ID_DIGITS
            ? (this.blockId ?? 0) * 10 + digit
            : NaN;
        this.idDigits++;
    }

    private endLine(): void {
        this.hasField ||= this.line !== Line.Comment;
        if (this.line === Line.Name || (this.line === Line.IdValue && this.idDigits === 0)) {
            this.blockId = NaN;
        }
        this.line = Line.Empty;
    }

    /** Ends a block, and returns the length of the bytes that may be returned. */
    private endBlock(blockEnd: number, formerEnd: number): number {
        const { hasField, blockId } = this;
        this.awaitsLf = false;
        this.hasField = false;
        this.blockId = undefined;
        if (!hasField) {
            return this.listener.passesComments() ? blockEnd : formerEnd;
        }
        if (!this.listener.acceptsEvent(blockId)) {
            this.rejected = true;
            return formerEnd;
        }
        this.eventCount++;
        if (blockId !== undefined && !Number.isNaN(blockId)) {
            this.lastCompleteId = blockId;
        }
        return blockEnd;
    }
}

/** Index of the next byte that ends a line; the length if there is none. */
function findLineEnd(bytes: Buffer, start: number): number {
    let index = start;
    while (index < bytes.length && bytes[index] !== LF && bytes[index] !== CR) {
        index++;
    }
    return index;
}
