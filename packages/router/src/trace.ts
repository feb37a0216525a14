import type * as decision from "@citronlead/decision";

/** One decision about a request. */
export interface TraceStep {
    /** Time since the request arrived, in milliseconds. */
    readonly afterMs: decision.Milliseconds;
    /** The part that decided. */
    readonly hop: string;
    readonly decision: string;
    /** Why; it holds no key and no prompt. */
    readonly detail?: Readonly<Record<string, unknown>>;
}

/** What is remembered of one request. */
export interface Trace {
    readonly requestId: string;
    readonly host: string;
    readonly steps: TraceStep[];
}

/** Writes down one decision about a request. */
export type Note = (hop: string, decided: string, detail?: Readonly<Record<string, unknown>>) => void;

/** A bounded record of the latest requests, in memory. */
export interface Traces {
    /** Starts the record of a request and returns the function that adds to it. */
    readonly start: (requestId: string) => Note;
    readonly find: (requestId: string) => Trace | undefined;
}

const STEPS_LIMIT = 64;

/** Makes the record; the oldest request is dropped when there are more than the limit. */
export function makeTraces(host: string, limit: number, clock: decision.Clock): Traces {
    const traces = new Map<string, Trace>();
    return {
        start: (requestId) => {
            const trace: Trace = { requestId, host, steps: [] };
            const startedAt = clock();
            traces.set(requestId, trace);
            const oldest = traces.size > limit ? traces.keys().next().value : undefined;
            if (oldest !== undefined) {
                traces.delete(oldest);
            }
            return (hop, decided, detail) => {
                if (trace.steps.length < STEPS_LIMIT) {
                    trace.steps.push({ afterMs: clock() - startedAt, hop, decision: decided, detail });
                }
            };
        },
        find: (requestId) => traces.get(requestId),
    };
}
