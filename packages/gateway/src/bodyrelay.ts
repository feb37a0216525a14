import * as decision from "@citronlead/decision";
import * as background from "./background.js";
import * as connections from "./connections.js";
import * as exchanges from "./exchange.js";
import * as headers from "./headers.js";
import * as streams from "./model/relay.js";
import * as answers from "./upstream/answer.js";
import * as flows from "./upstream/flow.js";

/** How the relay of a body ended. */
export enum BodyEnd {
    Complete = "complete",
    /** The source broke it off. */
    Broken = "broken",
    /** It was not complete within the route's timeout, though its caller read what came. */
    Late = "late",
    /** It came in more pieces than are accepted. */
    OutOfBounds = "outOfBounds",
    /** The caller has disconnected, was too slow, or holds more memory than there is for it. */
    NoCaller = "noCaller",
}

/** Ends for which the source is to blame. */
export const SOURCE_FAILURES: ReadonlySet<BodyEnd> = new Set([BodyEnd.Broken, BodyEnd.Late, BodyEnd.OutOfBounds]);

/** What the source may still send beside what was relayed: a read of its connection, and one that waits behind it. */
const UNRELAYED_BYTES = 131_072;
/** Share of the time that a body may wait for its caller and still be called late. */
const MAX_CALLER_SHARE = 0.5;
/** Whether the time that the route allows is over, rather than a shorter one of the caller's. */
export function isPastRouteTimeout({ deadlineAt, remainingMs, route, startedAt }: exchanges.Exchange): boolean {
    return remainingMs <= exchanges.TIMER_RESOLUTION_MS && deadlineAt - startedAt >= route.timeoutMs;
}

/** What is known of a body that is relayed. */
export interface BodySource {
    readonly answer: answers.Answer;
    /** What has been read of it. */
    readonly start?: Buffer;
}

/**
 * Relays a response whose body is sent on as it arrives, with its length if it names one, no faster than its caller reads it. Ends the
 * response to the caller; one whose body is not complete is aborted.
 */
export function relayBody(exchange: exchanges.Exchange, { answer, start }: BodySource): Promise<BodyEnd> {
    const { context, response } = exchange;
    const { response: source } = answer;
    const { clock } = context;
    const memory = connections.memoryOf(exchange.request);
    const pieces = new decision.TokenBucket(streams.STREAM_PIECES, clock());
    const flow = new flows.AnswerFlow(source, context.longBodies, clock);
    exchange.callerHeldMs = () => flow.callerMs;
    const startedAt = clock();
    const status = source.statusCode ?? 502;
    const length = source.headers["content-length"];
    let failure: BodyEnd | undefined;
    exchange.beginResponse(
        status,
        headers.responseHeaders(source.rawHeaders, length === undefined ? undefined : Number(length)),
    );
    if (exchange.isOver) {
        source.destroy();
        return Promise.resolve(BodyEnd.NoCaller);
    }
    const abort = (end: BodyEnd) => {
        failure ??= end;
        source.destroy();
    };
    const forward = (bytes: Buffer) => {
        if (memory?.tryTake(bytes.length) === false) {
            abort(BodyEnd.NoCaller);
            return;
        }
        flow.onRead();
        if (!response.write(bytes, () => memory?.release(bytes.length))) {
            flow.waitForCaller(response);
        }
    };
    const onAbort = () => {
        const isLate = isPastRouteTimeout(exchange) && flow.callerMs < MAX_CALLER_SHARE * (clock() - startedAt);
        abort(isLate ? BodyEnd.Late : BodyEnd.NoCaller);
    };
    return new Promise((resolve, reject) => {
        const fail = (error: unknown) => {
            source.destroy();
            reject(error);
        };
        const onEnd = (end: answers.AnswerEnd) => {
            exchange.signal.removeEventListener("abort", onAbort);
            const isWhole = end === answers.AnswerEnd.Whole;
            if (isWhole) {
                exchange.endResponse(
                    status < 300 ? exchanges.FinalReason.Served : exchanges.FinalReason.UpstreamFailure,
                );
            }
            else {
                exchange.abortResponse(exchanges.FinalReason.StreamBroken);
            }
            resolve(isWhole ? BodyEnd.Complete : failure ?? BodyEnd.Broken);
        };
        exchange.signal.addEventListener("abort", onAbort);
        answer.end.then(onEnd).catch(fail);
        if (memory?.tryTake(UNRELAYED_BYTES) === false) {
            abort(BodyEnd.NoCaller);
        }
        else if (start) {
            forward(start);
        }
        source.on(
            "data",
            background.guardListener(fail, (bytes: Buffer) => {
                if (exchange.isOver || failure) {
                    return;
                }
                if (pieces.tryTake(clock())) {
                    forward(bytes);
                }
                else {
                    abort(BodyEnd.OutOfBounds);
                }
            }),
        );
        flow.start();
    });
}
