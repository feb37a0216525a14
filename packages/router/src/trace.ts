import type * as decision from "@citronlead/decision";

/** One step in the trace of a request. */
export interface TraceStep {
    /** Time since the request arrived, in milliseconds. */
    readonly afterMs: decision.Milliseconds;
    /** The router component that made the decision, or the upstream that was called. */
    readonly hop: string;
    readonly decision: string;
    /** Details of the decision; contains neither keys nor prompts. */
    readonly detail?: Readonly<Record<string, unknown>>;
}

/** The recorded steps of one request. */
export interface Trace {
    readonly requestId: string;
    readonly host: string;
    readonly steps: TraceStep[];
}

/** Adds a step to the trace of a request. */
export type AddTraceStep = (hop: string, decided: string, detail?: Readonly<Record<string, unknown>>) => void;

/** The traces of the latest requests, kept in memory. */
export interface Traces {
    /** Starts the trace of a request and returns the function that adds steps to it. */
    readonly start: (requestId: string) => AddTraceStep;
    readonly find: (requestId: string) => Trace | undefined;
}

const MAX_STEPS = 64;

/** Creates the trace store. Beyond the limit, the oldest trace is evicted. */
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
                if (trace.steps.length < MAX_STEPS) {
                    trace.steps.push({ afterMs: clock() - startedAt, hop, decision: decided, detail });
                }
            };
        },
        find: (requestId) => traces.get(requestId),
    };
}
