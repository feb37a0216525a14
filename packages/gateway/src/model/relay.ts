import * as bodies from "@citronlead/bodies";
import * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";
import * as background from "../background.js";
import * as connections from "../connections.js";
import * as exchanges from "../exchange.js";
import * as headers from "../headers.js";
import * as quarantines from "../quarantine.js";
import * as answers from "../upstream/answer.js";
import * as flows from "../upstream/flow.js";
import * as events from "./events.js";
import * as silences from "./silencewatch.js";

/** How the relay of a stream ended. */
export enum RelayEnd {
    Complete = "complete",
    /** The upstream closed the stream early or stalled; the caller's response is still open. */
    Broken = "broken",
    /** The upstream sent an event, or a number of pieces, beyond what is accepted; the caller's response is still open. */
    OutOfBounds = "outOfBounds",
    /** The upstream sent what has no place in the stream (`StreamSequence.problem`); the caller's response is still open. */
    Rejected = "rejected",
    /** The caller has its final response or has disconnected. */
    Over = "over",
}

/** What has been relayed of a stream, across all upstreams that produced it. */
export interface StreamProgress {
    readonly sequence: dispatch.StreamSequence;
    /** Software version of the upstream that began it; undefined before the first event. */
    softwareVersion: string | undefined;
}

/** Maximum size of an incomplete event that is buffered. */
const MAX_EVENT_BYTES = 1_048_576;
/** Memory that a byte of an incomplete event takes: its buffer grows by doubling. */
const INCOMPLETE_FACTOR = 2;
/** Memory that a byte that is read takes until it is relayed: itself, its copy, and the buffer that it outgrows. */
const PASSING_FACTOR = 3;
/** Maximum number of pieces of an incomplete event. */
const MAX_EVENT_PIECES = MAX_EVENT_BYTES / bodies.PIECE_OVERHEAD_BYTES;
/** Pieces of a stream: far more than any engine writes, and what a stream may have waiting after a pause of this process. */
export const STREAM_PIECES: decision.TokenRate = { burst: 16_384, perSecond: 2_000 };

/** How long an upstream may be silent, and what happens then. */
export interface SilenceLimits extends dispatch.SilenceTimes {
    /** Whether another upstream can take over now. */
    readonly canTakeOver: () => boolean;
    readonly onSuspected: () => void;
}

/**
 * Relays complete events as they arrive, until the stream ends, breaks or is silent for too long. `onEvents` is called
 * before events are relayed.
 */
export function relayEvents(
    exchange: exchanges.Exchange,
    answer: answers.Answer,
    { sequence }: StreamProgress,
    silence: SilenceLimits,
    onEvents: () => void,
): Promise<RelayEnd> {
    const { context, response } = exchange;
    const { response: source } = answer;
    const splitter = new events.EventSplitter({
        acceptsEvent: (id) => sequence.addEvent(id),
        passesComments: () => sequence.passesComments,
    });
    const held = new bodies.ChangingSize(connections.memoryOf(exchange.request));
    const eventsBefore = exchange.relayedEvents;
    const pieces = new decision.TokenBucket(STREAM_PIECES, context.clock());
    const flow = new flows.AnswerFlow(source, context.longStreams, context.clock);
    let started = false;
    let outOfBounds = false;
    return new Promise((resolve, reject) => {
        const fail = (error: unknown) => {
            source.destroy();
            reject(error);
        };
        const silenceWatch = new silences.SilenceWatch(
            silence,
            () => flow.heldMs,
            () => source.destroy(),
        );
        const forward = (bytes: Buffer) => {
            if (!response.headersSent) {
                const relayedHeaders = headers.responseHeaders(source.rawHeaders, undefined);
                // In chunks, whatever the upstream does: a stream that is aborted must not look complete.
                exchange.beginResponse(source.statusCode ?? 200, relayedHeaders);
            }
            if (!response.write(bytes)) {
                flow.waitForCaller(response);
            }
        };
        const onAbort = () => source.destroy();
        exchange.signal.addEventListener("abort", onAbort);
        const onData = (bytes: Buffer) => {
            if (exchange.isOver || outOfBounds || splitter.isRejected) {
                return;
            }
            if (!pieces.tryTake(context.clock())) {
                outOfBounds = true;
                source.destroy();
                return;
            }
            flow.onRead();
            if (!held.trySet(INCOMPLETE_FACTOR * splitter.remainder.length + PASSING_FACTOR * bytes.length)) {
                outOfBounds = true;
                source.destroy();
                return;
            }
            const completeEvents = splitter.push(bytes);
            if (completeEvents) {
                silenceWatch.restart();
                exchange.relayedEvents += splitter.lastEventCount;
                onEvents();
                forward(completeEvents);
                if (!started && exchange.relayedEvents - eventsBefore >= quarantines.EVENTS_PAST_START) {
                    started = true;
                    context.quarantine.recordStarted(exchange);
                }
            }
            const isHeld = held.trySet(INCOMPLETE_FACTOR * splitter.remainder.length);
            if (splitter.isRejected) {
                source.destroy();
            }
            else if (
                !isHeld || splitter.remainder.length > MAX_EVENT_BYTES || splitter.remainderPieces > MAX_EVENT_PIECES
            ) {
                outOfBounds = true;
                source.destroy();
            }
        };
        source.on("data", background.guardListener(fail, onData));
        source.once("close", () => silenceWatch.stop());
        const onEnd = (end: answers.AnswerEnd) => {
            held.trySet(0);
            exchange.signal.removeEventListener("abort", onAbort);
            const hasEvents = exchange.relayedEvents > eventsBefore && splitter.isBetweenEvents;
            const whole = end === answers.AnswerEnd.Whole && (answer.framing !== answers.Framing.Close || hasEvents);
            if (exchange.isOver) {
                resolve(RelayEnd.Over);
                return;
            }
            if (splitter.isRejected || (whole && sequence.endAnswer(splitter.isBetweenEvents) !== undefined)) {
                resolve(RelayEnd.Rejected);
                return;
            }
            if (!whole) {
                resolve(outOfBounds ? RelayEnd.OutOfBounds : RelayEnd.Broken);
                return;
            }
            if (splitter.remainder.length > 0 || !response.headersSent) {
                forward(splitter.remainder);
            }
            exchange.endResponse(exchanges.FinalReason.Served);
            resolve(RelayEnd.Complete);
        };
        answer.end.then(onEnd).catch(fail);
    });
}
