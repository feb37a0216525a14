/** Why an answer, or the rest of it, has no place in a stream. */
export enum StreamProblem {
    /** A failure, or another status than 200. */
    Status = "status",
    Unsigned = "unsigned",
    Encoded = "encoded",
    /** Its type is not that of event streams. */
    OtherType = "otherType",
    /** An event without an id. */
    NoId = "noId",
    /** An id that is not a number. */
    MalformedId = "malformedId",
    /** An event that the caller has, or whose id went back. */
    Repeated = "repeated",
    /** An event further on than the next. */
    Skipped = "skipped",
    /** It is whole, but ends inside an event. */
    Incomplete = "incomplete",
    /** It is whole, but has no event. */
    Empty = "empty",
}

/** What the head of an answer says. */
export interface StreamHead {
    readonly status: number;
    readonly signed: boolean;
    readonly contentEncoding: string | undefined;
    readonly contentType: string | undefined;
    /** Whether a part of an earlier answer has been passed on, be it a comment only. */
    readonly responseStarted: boolean;
}

const EVENT_STREAM = "text/event-stream";
/** Ids that are whole numbers, as engines write them. */
const NUMERIC_ID = /^(0|[1-9]\d{0,14})$/;

/**
 * Decides what each answer adds to a stream that several upstreams may produce in turn. An answer that begins the stream is its
 * upstream's own and is passed on as it is, until a numeric id does not go up. One that goes on has to begin with the event after
 * the last one that the caller has, and goes on in the same order: by one, unless the ids passed on before show other steps.
 */
export class StreamSequence {
    private lastId: number | undefined;
    private hasEvents: boolean;
    /** Whether the last event has an id, and no first answer's ids went back. */
    private isKnown = true;
    private isIncreasing = true;
    private byOne = true;
    private goesOn = false;
    private joins = false;
    private needsEvents = false;
    private answerEvents = 0;
    private answerProblem: StreamProblem | undefined;

    /** `resumedAfter` is the id of the last event that the caller has from an earlier try. */
    constructor(private readonly isStreaming: boolean, resumedAfter: string | undefined) {
        this.lastId = resumedAfter !== undefined && NUMERIC_ID.test(resumedAfter) ? Number(resumedAfter) : undefined;
        this.hasEvents = this.lastId !== undefined;
    }

    /** Id of the last event that the caller has; undefined if it has none, or the id is not known. */
    get lastEventId(): string | undefined {
        return this.lastId === undefined ? undefined : String(this.lastId);
    }

    /** Whether another answer can begin or go on. Where events without ids were passed on, it would repeat or leave out some. */
    get mayGoOn(): boolean {
        return !this.hasEvents || (this.isKnown && this.isIncreasing);
    }

    /** Why the answer that was begun last has no place in the stream, or no further one. */
    get problem(): StreamProblem | undefined {
        return this.answerProblem;
    }

    /** Begins an answer. Returns why nothing of it is passed on; undefined if its events may be. */
    beginAnswer(head: StreamHead): StreamProblem | undefined {
        const mediaType = head.contentType?.split(";", 1)[0]?.trim().toLowerCase();
        const mayHoldEvents = mediaType === undefined || mediaType === EVENT_STREAM;
        this.goesOn = this.hasEvents;
        this.joins = this.goesOn || head.responseStarted;
        this.needsEvents = this.isStreaming && mayHoldEvents;
        this.answerEvents = 0;
        this.answerProblem = findHeadProblem(head, !this.joins || mayHoldEvents);
        return this.answerProblem;
    }

    /**
     * Adds the next event of the answer; `id` is undefined if it has none and NaN if that is not a number. Returns false if
     * it has no place in the stream: then neither it nor what follows may be passed on.
     */
    addEvent(id: number | undefined): boolean {
        const goesBack = id !== undefined && this.lastId !== undefined && id <= this.lastId;
        this.answerProblem = this.goesOn ? this.findEventProblem(id) : goesBack ? StreamProblem.Repeated : undefined;
        if (this.answerProblem !== undefined) {
            this.isIncreasing &&= this.goesOn;
            return false;
        }
        this.answerEvents++;
        this.hasEvents = true;
        this.isKnown = id !== undefined && !Number.isNaN(id);
        if (id !== undefined && this.isKnown) {
            this.byOne &&= this.lastId === undefined || id === this.lastId + 1;
            this.lastId = id;
        }
        return true;
    }

    /** Whether comments may be passed on: not at the head of an answer whose events may turn out to have no place. */
    get passesComments(): boolean {
        return !this.joins || this.answerEvents > 0;
    }

    /** Why the stream must not end as complete with the answer, which is whole by its framing; undefined if it may. */
    endAnswer(isBetweenEvents: boolean): StreamProblem | undefined {
        if (this.needsEvents && this.answerEvents === 0) {
            this.answerProblem = StreamProblem.Empty;
        }
        else if (this.joins && !isBetweenEvents) {
            this.answerProblem = StreamProblem.Incomplete;
        }
        return this.answerProblem;
    }

    private findEventProblem(id: number | undefined): StreamProblem | undefined {
        if (id === undefined) {
            return StreamProblem.NoId;
        }
        if (Number.isNaN(id)) {
            return StreamProblem.MalformedId;
        }
        const lastId = this.lastId ?? -Infinity;
        if (id <= lastId) {
            return StreamProblem.Repeated;
        }
        return this.byOne && id > lastId + 1 ? StreamProblem.Skipped : undefined;
    }
}

function findHeadProblem(
    { status, signed, contentEncoding }: StreamHead,
    hasRightType: boolean,
): StreamProblem | undefined {
    if (status !== 200) {
        return StreamProblem.Status;
    }
    if (!signed) {
        return StreamProblem.Unsigned;
    }
    if (contentEncoding !== undefined) {
        return StreamProblem.Encoded;
    }
    return hasRightType ? undefined : StreamProblem.OtherType;
}
