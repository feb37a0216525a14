/** Where the retries of one request's sends are taken from. */
export interface RetrySource {
    /** How many more retries could be taken now. */
    readonly remaining: () => number;
    /** Takes so many retries. Returns false, and takes none, if there are fewer. */
    readonly tryAcquire: (count: number) => boolean;
    /** Counts a retry that was taken and has reached an upstream. */
    readonly use: () => void;
    /** Returns a retry that was taken. */
    readonly release: () => void;
}

/** Leave to make one send. Has to be settled once. */
export interface SendPermit {
    /** Whether the send is the request's first one. */
    readonly isFirst: boolean;
    readonly isPrefill: boolean;
}

/** What became of a send, as far as the budget is concerned. */
export enum SendEnd {
    /** It has reached no upstream. */
    NotArrived = "notArrived",
    Arrived = "arrived",
    /** It had only the prompt read, and the upstream accepted that. */
    PrefillAccepted = "prefillAccepted",
}

/**
 * Permits for the sends of one request: all that reach an upstream beyond the first are retries, which are taken from the budget
 * before they are made; the first prefill that an upstream accepts is none. Answers the load of prefills that fail at many requests at once, each of
 * which costs a retry that cannot be refused any more.
 */
export class SendPermits {
    private held = 0;
    private firstTaken = false;
    private accepted = false;
    private closed = false;
    private arrivalCount = 0;

    constructor(private readonly source: RetrySource) {}

    /** Number of sends that reached an upstream, without the first prefill that one accepted. */
    get arrivals(): number {
        return this.arrivalCount;
    }

    /** Whether an upstream accepted a prefill. */
    get hasPrefill(): boolean {
        return this.accepted;
    }

    /** Number of retries that were taken and not used. */
    get heldRetries(): number {
        return this.held;
    }

    /** Takes retries for the next sends, unless none has reached an upstream. Returns false if the budget has too few. */
    tryHold(count: number): boolean {
        return !this.firstTaken || this.hold(count);
    }

    /** Whether a send would be permitted now. */
    mayBegin(isPrefill: boolean): boolean {
        return this.neededFor(isPrefill) - this.held <= Math.max(0, this.source.remaining());
    }

    /** Permits a send. A prefill is permitted only with a retry for the send that follows it, should it fail. */
    tryBegin(isPrefill: boolean): SendPermit | undefined {
        const isFirst = !this.firstTaken;
        if (!this.hold(this.neededFor(isPrefill))) {
            return undefined;
        }
        this.firstTaken = true;
        this.held -= isFirst ? 0 : 1;
        return { isFirst, isPrefill };
    }

    /** Settles a permit. */
    settle({ isFirst, isPrefill }: SendPermit, end: SendEnd): void {
        const isFree = end === SendEnd.NotArrived || (end === SendEnd.PrefillAccepted && !this.accepted);
        this.accepted ||= end === SendEnd.PrefillAccepted;
        if (!isFree) {
            this.arrivalCount++;
            if (!isFirst) {
                this.source.use();
            }
        }
        else if (isFirst) {
            this.firstTaken = false;
        }
        else {
            this.held++;
        }
        // The send after a prefill needs one; what was taken beyond is not needed any more.
        const hasRun = !isPrefill && !isFree;
        this.releaseBeyond(this.closed || hasRun || !this.firstTaken ? 0 : 1);
    }

    /** Returns the retries that were not used. */
    close(): void {
        this.closed = true;
        this.releaseBeyond(0);
    }

    private neededFor(isPrefill: boolean): number {
        return (this.firstTaken ? 1 : 0) + (isPrefill ? 1 : 0);
    }

    private hold(count: number): boolean {
        const missing = count - this.held;
        if (missing > 0) {
            if (!this.source.tryAcquire(missing)) {
                return false;
            }
            this.held += missing;
        }
        return true;
    }

    private releaseBeyond(count: number): void {
        for (; this.held > count; this.held--) {
            this.source.release();
        }
    }
}
