import type * as decision from "@citronlead/decision";
import * as pino from "pino";

/** Bytes of log lines that wait for a reader; further lines are dropped rather than held. */
const BUFFER_LIMIT_BYTES = 1_048_576;
/** Bytes written to the output at once. */
const WRITE_BYTES = 4_096;
/** Longest time for which a line waits to be written. */
const FLUSH_PERIOD_MS = 500;
/** Lines a second on average; enough for three lines a request at 50 requests a second on one host. */
const LINES_PER_SECOND = 150;
/** Lines that may be written at once after a quiet time. */
const BURST_LINES = 600;

/** Writes one line for each decision, as JSON. */
export interface DecisionLog {
    /** A decision that touches a request or changes what the process believes. Dropped beyond the bound. */
    readonly decision: (event: string, fields: Record<string, unknown>) => void;
    /** Start, stop, reload and lost or regained dependencies. Not bounded: they are few. */
    readonly notice: (event: string, fields: Record<string, unknown>) => void;
    /** Writes out what waits. */
    readonly flush: () => void;
}

/** Makes a log on the standard output that is bounded in volume and never blocks the process. */
export function makeDecisionLog(
    identity: Record<string, unknown>,
    clock: decision.Clock,
    onDropped: () => void,
): DecisionLog {
    const destination = pino.destination({
        fd: 1,
        sync: false,
        minLength: WRITE_BYTES,
        maxLength: BUFFER_LIMIT_BYTES,
        periodicFlush: FLUSH_PERIOD_MS,
    });
    // A closed or broken output must not end the process; the lines are lost.
    destination.on("error", onDropped);
    destination.on("drop", onDropped);
    const logger = pino.pino({ base: identity, timestamp: pino.stdTimeFunctions.isoTime }, destination);
    const allow = makeLineLimiter(clock);
    return {
        decision: (event, fields) => {
            if (allow()) {
                logger.info(fields, event);
            }
            else {
                onDropped();
            }
        },
        notice: (event, fields) => logger.info(fields, event),
        flush: () => destination.flush(),
    };
}

/** Allows a number of lines a second. */
export function makeLineLimiter(clock: decision.Clock): () => boolean {
    let availableLines = BURST_LINES;
    let refilledAt = clock();
    return () => {
        const now = clock();
        availableLines = Math.min(BURST_LINES, availableLines + (now - refilledAt) / 1_000 * LINES_PER_SECOND);
        refilledAt = now;
        if (availableLines < 1) {
            return false;
        }
        availableLines--;
        return true;
    };
}
