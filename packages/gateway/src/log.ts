import * as decision from "@citronlead/decision";
import * as pino from "pino";

/** Size of the buffer of unwritten log lines; beyond it lines are dropped. */
const BUFFER_LIMIT_BYTES = 1_048_576;
/** Number of buffered bytes that triggers a write. */
const WRITE_BYTES = 4_096;
/** Interval at which buffered lines are written. */
const FLUSH_PERIOD_MS = 500;
/** Rate of lines: with the reserve, enough for three lines per request at 50 requests per second on one host. */
const LINE_RATE: decision.TokenRate = { burst: 500, perSecond: 120 };
/** What lines on requests that were not served as usual have beside that. */
const RESERVED_RATE: decision.TokenRate = { burst: 100, perSecond: 30 };

/** Log of JSON lines. */
export interface DecisionLog {
    /**
     * Logs a decision on a request or a change of the process's state. Rate-limited; excess lines are dropped, those that
     * have a reserve of their own later than others.
     */
    readonly decision: (event: string, fields: Record<string, unknown>, reserved?: boolean) => void;
    /** Logs rare events: start, stop, reload, and dependencies that fail or recover. Not rate-limited. */
    readonly notice: (event: string, fields: Record<string, unknown>) => void;
    /** Logs an error that was not expected where it was caught, with its stack. Rate-limited. */
    readonly failure: (task: string, error: unknown) => void;
    /** Writes the buffered lines. */
    readonly flush: () => void;
}

/** Creates a log on the standard output that is limited in volume and never blocks the process. */
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
    // A closed or broken output must not end the process; its lines are lost.
    destination.on("error", onDropped);
    destination.on("drop", onDropped);
    const logger = pino.pino({ base: identity, timestamp: pino.stdTimeFunctions.isoTime }, destination);
    const lines = new decision.TokenBucket(LINE_RATE, clock());
    const reserve = new decision.TokenBucket(RESERVED_RATE, clock());
    const logLimited = (event: string, fields: Record<string, unknown>, reserved = false) => {
        if (lines.tryTake(clock()) || (reserved && reserve.tryTake(clock()))) {
            logger.info(fields, event);
        }
        else {
            onDropped();
        }
    };
    return {
        decision: logLimited,
        failure: (task, error) =>
            logLimited("internal error", { task, error: error instanceof Error ? error.stack : String(error) }),
        notice: (event, fields) => logger.info(fields, event),
        flush: () => destination.flush(),
    };
}
