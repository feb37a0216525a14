/** What proves that a send did not run its request and never will. Nothing else does. */
export enum NotRunProof {
    /** No connection was established, so that nothing was sent. */
    NotConnected = "unconnected",
    /** The upstream's refusal names the request and states that it was not run. */
    UpstreamRefusal = "marked",
    /** Another upstream than the request expects answered, with a status that says so, and named the request. */
    WrongUpstream = "wrongUpstream",
    /** Another host refused the request by its name, with a promise of its own. */
    HostRefusal = "hostRefusal",
}

/** What a final status that is a promise rests on, beside proofs. */
export enum PromiseBasis {
    NothingSent = "nothingSent",
    /** The request may run again, so that an upstream's own status promises nothing of its runs. */
    Repeatable = "repeatable",
}

/** Statuses with which a response promises that its request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const WRONG_UPSTREAM_STATUS = 421;
const MIN_REFUSAL_STATUS = 400;
const STATUS_OF_LOSS = 502;
const STATUS_OF_TIMEOUT = 504;

/** Whether a status promises that its request has not run and never will. */
export function isPromise(status: number): boolean {
    return PROMISES.has(status);
}

/** What an upstream's answer shows of the send that it answers. */
export interface UpstreamAnswer {
    readonly status: number;
    /** Whether it states that the upstream did not run the request. */
    readonly isMarked: boolean;
    /** Whether it names the request, or came where no answer to anything else can come. */
    readonly namesRequest: boolean;
}

/** The proof that an upstream's answer is; undefined if the request may have run. */
export function proofOfAnswer({ status, isMarked, namesRequest }: UpstreamAnswer): NotRunProof | undefined {
    if (!namesRequest || status < MIN_REFUSAL_STATUS) {
        return undefined;
    }
    return status === WRONG_UPSTREAM_STATUS
        ? NotRunProof.WrongUpstream
        : isMarked
        ? NotRunProof.UpstreamRefusal
        : undefined;
}

/** Leave for one send that could run a request. */
export interface RunEntry {
    /** Takes the leave, before a connection is sought. Returns false if it was taken before, or the request has its final answer. */
    readonly tryBegin: () => boolean;
    /** Strikes the entry. */
    readonly prove: (proof: NotRunProof) => void;
}

/**
 * The sends of one request that could run it. Each is entered before its bytes can leave, and struck only with a proof; from what
 * is left follow the status that may leave the host, and whether another send may begin. Answers the load of upstreams and hosts that lose, delay
 * and mix up answers while requests that may run once are in flight.
 */
export class RunLedger {
    private readonly unproven = new Set<RunEntry>();
    private readonly struck: NotRunProof[] = [];
    private closed = false;

    /** `mayRepeat`: whether the request may run more than once. */
    constructor(private readonly mayRepeat: boolean) {}

    /** Whether a send may have run the request, or may still. */
    get mayHaveRun(): boolean {
        return this.unproven.size > 0;
    }

    /** Enters a send. Undefined if none may begin: the request may have run and must not again, or has its final answer. */
    tryEnter(): RunEntry | undefined {
        if (this.closed || (this.mayHaveRun && !this.mayRepeat)) {
            return undefined;
        }
        let begun = false;
        const entry: RunEntry = {
            tryBegin: () => {
                const may = !begun && !this.closed;
                begun = true;
                return may;
            },
            prove: (proof) => {
                if (this.unproven.delete(entry)) {
                    this.struck.push(proof);
                }
            },
        };
        this.unproven.add(entry);
        return entry;
    }

    /** The status with which the host refuses the request where it would with `status`. */
    refusalStatus(status: number, isTimedOut: boolean): number {
        if (!isPromise(status) || !this.mayHaveRun) {
            return status;
        }
        return isTimedOut ? STATUS_OF_TIMEOUT : STATUS_OF_LOSS;
    }

    /** Whether the status of an upstream's answer may be passed on. */
    mayPassOn(status: number): boolean {
        return !isPromise(status) || this.mayRepeat || !this.mayHaveRun;
    }

    /** What a final status rests on, for the log; undefined if it is no promise. */
    basisOf(status: number): readonly (NotRunProof | PromiseBasis)[] | undefined {
        if (!isPromise(status)) {
            return undefined;
        }
        if (this.mayHaveRun) {
            return [PromiseBasis.Repeatable];
        }
        return this.struck.length > 0 ? [...this.struck] : [PromiseBasis.NothingSent];
    }

    /** Ends the ledger with the final answer: no send begins any more. */
    close(): void {
        this.closed = true;
    }
}
