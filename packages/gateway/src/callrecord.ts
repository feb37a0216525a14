import type * as dispatch from "@citronlead/dispatch";
import type * as answers from "./upstream/answer.js";

/** On what the outcome of a call rests, as it is logged; see evidence.ts. */
export interface CallEvidence {
    /** What proves that the call did not run the request. */
    readonly basis?: string | undefined;
    /** Number of the connection in its process. */
    readonly connection?: number | undefined;
    /** Which use of the connection the call was, from the second on. */
    readonly use?: number | undefined;
    /** Time from when the request was written to the outcome. */
    readonly answeredMs?: number | undefined;
    /** Bytes that left although the call counts as not sent. */
    readonly writtenBytes?: number | undefined;
}

/** One call to an upstream, as it is logged. Times are relative to the arrival of the request. */
export interface CallRecord extends CallEvidence {
    readonly call: string;
    readonly upstream: string;
    readonly softwareVersion: string;
    readonly result: string;
    readonly startedMs: number;
    readonly tookMs: number;
    /** How its answer was framed and how it ended, unless it is whole by its framing. Undefined until its end. */
    framing?: answers.Framing;
    end?: answers.AnswerEnd;
    /** What its end rests on, if it is whole without framing. */
    endProof?: dispatch.EndProof;
}
