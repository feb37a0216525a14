/** An event stream cut into whole events. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);
    private lastId: string | undefined;

    /** The id of the last whole event that had one. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** Takes bytes in. Returns the bytes of the events that are whole by now, or undefined if there are none. */
    push(bytes: Buffer): Buffer | undefined {
        const all = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
        const end = lastEventEnd(all);
        if (end === 0) {
            this.rest = all;
            return undefined;
        }
        this.rest = all.subarray(end);
        const whole = all.subarray(0, end);
        this.lastId = lastIdOf(whole.toString("latin1")) ?? this.lastId;
        return whole;
    }

    /** The bytes after the last whole event. */
    get remainder(): Buffer {
        return this.rest;
    }
}

/** Length up to and with the empty line after the last whole event. */
function lastEventEnd(bytes: Buffer): number {
    const bare = bytes.lastIndexOf("\n\n");
    const carriage = bytes.lastIndexOf("\r\n\r\n");
    return Math.max(bare < 0 ? 0 : bare + 2, carriage < 0 ? 0 : carriage + 4);
}

function lastIdOf(text: string): string | undefined {
    const start = text.startsWith("id:") ? Math.max(0, text.lastIndexOf("\nid:") + 1) : text.lastIndexOf("\nid:") + 1;
    if (start === 0 && !text.startsWith("id:")) {
        return undefined;
    }
    const end = text.indexOf("\n", start);
    return text.slice(start + 3, end < 0 ? undefined : end).trim();
}
