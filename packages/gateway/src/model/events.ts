import * as bodies from "@citronlead/bodies";

/** The empty line that ends an event. */
const EVENT_END = /\n\r?\n/g;
const MAX_EVENT_END_BYTES = 4;

/** Buffers an event stream and returns it in chunks of complete events. */
export class EventSplitter {
    private readonly incomplete = new bodies.IncompleteMessage();
    private lastCompleteId: string | undefined;
    private eventCount = 0;

    /** Number of events in the bytes that were returned last. */
    get lastEventCount(): number {
        return this.eventCount;
    }

    /** Id of the last complete event that had an id. */
    get lastEventId(): string | undefined {
        return this.lastCompleteId;
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
        const before = this.remainder.length;
        this.incomplete.append(bytes);
        const all = this.remainder;
        // The empty line may have begun in the former bytes.
        const searchFrom = Math.max(0, before - MAX_EVENT_END_BYTES + 1);
        const end = endOfLastEvent(all, searchFrom);
        if (end === 0) {
            return undefined;
        }
        const complete = Buffer.from(all.subarray(0, end));
        this.incomplete.replace(all.subarray(end));
        const text = complete.toString("latin1");
        this.eventCount = text.match(EVENT_END)?.length ?? 0;
        this.lastCompleteId = parseLastId(text) ?? this.lastCompleteId;
        return complete;
    }

    /** The bytes after the last complete event. */
    get remainder(): Buffer {
        return this.incomplete.bytes;
    }
}

/** Length of the bytes up to and including the empty line after the last complete event; 0 if none ends after `searchFrom`. */
function endOfLastEvent(bytes: Buffer, searchFrom: number): number {
    const searched = bytes.subarray(searchFrom);
    const lfEnd = searched.lastIndexOf("\n\n");
    const crlfEnd = searched.lastIndexOf("\r\n\r\n");
    const end = Math.max(lfEnd < 0 ? 0 : lfEnd + 2, crlfEnd < 0 ? 0 : crlfEnd + 4);
    return end === 0 ? 0 : searchFrom + end;
}

function parseLastId(text: string): string | undefined {
    const start = text.startsWith("id:") ? Math.max(0, text.lastIndexOf("\nid:") + 1) : text.lastIndexOf("\nid:") + 1;
    if (start === 0 && !text.startsWith("id:")) {
        return undefined;
    }
    const end = text.indexOf("\n", start);
    return text.slice(start + 3, end < 0 ? undefined : end).trim();
}
