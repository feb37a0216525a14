import * as dispatch from "@citronlead/dispatch";
import type * as callrecords from "./callrecord.js";
import type * as contexts from "./context.js";
import type * as metrics from "./metrics.js";
import * as answers from "./upstream/answer.js";
import * as calls from "./upstream/call.js";

/** On what it rests that a send did not run its request. */
export type Basis = dispatch.NotRunProof | dispatch.PromiseBasis.NothingSent | typeof UNPROVED;

/** Nothing shows that the send has not run the request. */
export const UNPROVED = "unproved";

/** Weakest last. */
const BASES: readonly Basis[] = [
    dispatch.PromiseBasis.NothingSent,
    dispatch.NotRunProof.NotConnected,
    dispatch.NotRunProof.WrongUpstream,
    dispatch.NotRunProof.UpstreamRefusal,
    dispatch.NotRunProof.HostRefusal,
    UNPROVED,
];

/** How a send ended, beside its result; without an outcome if it is under way when its request ends. */
export interface SendEvidence {
    readonly proof: dispatch.NotRunProof | undefined;
    readonly outcome?: calls.CallOutcome;
}

/** Name of calls that read a prompt and do not run the request. */
const PREFILL_CALL = "prefill";

/** What the outcomes of the sends of one request rest on. */
export class EvidenceOfSends {
    private readonly bases: Basis[] = [];

    constructor(
        private readonly kind: string,
        private readonly metrics: Pick<metrics.GatewayMetrics, "resends">,
    ) {}

    /** Number of sends that may run the request. */
    get sends(): number {
        return this.bases.length;
    }

    /** The weakest of what the sends rest on. */
    get weakest(): Basis {
        return BASES[Math.max(0, ...this.bases.map((basis) => BASES.indexOf(basis)))] as Basis;
    }

    /** Takes in a call, which is no send without evidence, and counts one that follows others. Returns what is logged. */
    record(call: string, evidence: SendEvidence | undefined): callrecords.CallEvidence {
        if (!evidence) {
            return {};
        }
        if (call !== PREFILL_CALL) {
            if (this.bases.length > 0) {
                this.metrics.resends.inc({ call, kind: this.kind, basis: this.weakest });
            }
            this.bases.push(evidence.proof ?? UNPROVED);
        }
        return describe(evidence);
    }
}

/** What is logged of a send's evidence. Nothing of a success, to which it adds nothing. */
function describe({ proof, outcome }: SendEvidence): callrecords.CallEvidence {
    const responded = outcome?.progress === calls.CallProgress.Responded;
    if (!outcome?.trace || (responded && (outcome.response.statusCode ?? 0) < 300)) {
        return {};
    }
    const { connection, use, answeredMs, writtenBytes } = outcome.trace;
    return {
        ...(proof === undefined ? {} : { basis: proof }),
        ...(connection > 0 ? { connection } : {}),
        ...(use > 1 ? { use } : {}),
        ...(answeredMs === undefined ? {} : { answeredMs }),
        ...(outcome.progress === calls.CallProgress.NotSent && writtenBytes > 0 ? { writtenBytes } : {}),
    };
}

/** Counts how the answer to a call ends, which is added to the record of the call, or why its head was refused. */
export function followAnswer(
    { answerEnds, endProofs, malformedHeads }: Pick<
        metrics.GatewayMetrics,
        "answerEnds" | "endProofs" | "malformedHeads"
    >,
    call: string,
    outcome: calls.CallOutcome,
    record?: callrecords.CallRecord,
): void {
    if (outcome.progress !== calls.CallProgress.Responded) {
        if (outcome.headProblem !== undefined) {
            malformedHeads.inc({ call, problem: outcome.headProblem });
        }
        return;
    }
    const { answer } = outcome;
    const { framing } = answer;
    void answer.end.then((end) => {
        answerEnds.inc({ call, framing, end });
        const proof = answer.endProof;
        if (proof !== undefined) {
            endProofs.inc({ proof });
        }
        if (record && (framing === answers.Framing.Close || end !== answers.AnswerEnd.Whole)) {
            record.framing = framing;
            record.end = end;
            if (proof !== undefined) {
                record.endProof = proof;
            }
        }
    });
}

/** Logs and counts an answer that belonged to another call than the one whose connection it came on. */
export function reportForeignAnswer(
    context: contexts.GatewayContext,
    upstream: string,
    call: string,
    requestId: string | undefined,
    outcome: calls.CallOutcome,
): void {
    if (outcome.progress === calls.CallProgress.Responded || !outcome.foreign) {
        return;
    }
    const { status, headers } = outcome.foreign;
    const answer = context.wireFormat.parseResponse(headers);
    context.metrics.foreignAnswers.inc({ call });
    context.log.decision("answer of another call", {
        upstream,
        call,
        requestId,
        answeredRequestId: answer.requestId,
        status,
        notRun: answer.notRun || undefined,
        connection: outcome.trace?.connection,
        use: outcome.trace?.use,
        answeredMs: outcome.trace?.answeredMs,
    }, true);
}

/** Logs and counts a copy of the answer to an earlier control call, which came in place of the answer to this one. */
export function reportCopy(
    context: contexts.GatewayContext,
    upstream: string,
    call: string,
    { response, trace }: Extract<calls.CallOutcome, { progress: calls.CallProgress.Responded; }>,
): void {
    context.metrics.foreignAnswers.inc({ call });
    context.log.decision("answer of another call", {
        upstream,
        call,
        status: response.statusCode,
        connection: trace?.connection,
        use: trace?.use,
        answeredMs: trace?.answeredMs,
    }, true);
}
