/** The empty line that ends an event. */
const EVENT_END = /\n\r?\n/g;

/** Buffers an event stream and returns it in chunks of complete events. */
export class EventSplitter {
    private incomplete: Buffer = Buffer.alloc(0);
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
        return this.incomplete.toString("latin1").trim() === "";
    }

    /** Adds bytes. Returns the bytes of the events that are now complete, or undefined if there are none. */
    push(bytes: Buffer): Buffer | undefined {
        const all = this.incomplete.length === 0 ? bytes : Buffer.concat([this.incomplete, bytes]);
        const end = endOfLastEvent(all);
        if (end === 0) {
            this.incomplete = all;
            return undefined;
        }
        this.incomplete = all.subarray(end);
        const complete = all.subarray(0, end);
        const text = complete.toString("latin1");
        this.eventCount = text.match(EVENT_END)?.length ?? 0;
        this.lastCompleteId = parseLastId(text) ?? this.lastCompleteId;
        return complete;
    }

    /** The bytes after the last complete event. */
    get remainder(): Buffer {
        return this.incomplete;
    }
}

/** Length of the bytes up to and including the empty line after the last complete event. */
function endOfLastEvent(bytes: Buffer): number {
    const lfEnd = bytes.lastIndexOf("\n\n");
    const crlfEnd = bytes.lastIndexOf("\r\n\r\n");
    return Math.max(lfEnd < 0 ? 0 : lfEnd + 2, crlfEnd < 0 ? 0 : crlfEnd + 4);
}

function parseLastId(text: string): string | undefined {
    const start = text.startsWith("id:") ? Math.max(0, text.lastIndexOf("\nid:") + 1) : text.lastIndexOf("\nid:") + 1;
    if (start === 0 && !text.startsWith("id:")) {
        return undefined;
    }
    const end = text.indexOf("\n", start);
    return text.slice(start + 3, end < 0 ? undefined : end).trim();
}
