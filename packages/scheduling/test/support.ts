import * as scheduling from "../src/index.js";

/** Settings of a small pool. */
export const settings: scheduling.Settings = {
    pool: "dossierllm",
    pieceTokens: 64,
    prefillSurvivalMs: 800,
    cacheBytesPerToken: 160_000,
    linkBytesPerSecond: 12e9,
    betweenTokensTargetMs: 60,
    reportLagMs: 1_000,
    prefixTokens: 341,
    weights: { guild: 4, school: 1 },
    prefillTokensPerSecond: 20_000,
    tokenMs: 30,
};

/** The report event of an idle engine. */
export function report(engine: string, role: scheduling.Role, slots: number, sequence = 0): scheduling.Event {
    return {
        kind: scheduling.EventKind.Report,
        report: {
            engine,
            role,
            incarnation: "first",
            sequence,
            slots,
            running: 0,
            memoryPieces: 1_000,
            heldPieces: 0,
            usable: true,
        },
    };
}

/** The event of a request that arrives at `now`. */
export function request(id: string, now: number, more: Partial<scheduling.ReservationRequest> = {}): scheduling.Event {
    return {
        kind: scheduling.EventKind.Request,
        ask: {
            id,
            holder: "host/incarnation",
            workspace: "guild",
            priority: 2,
            promptTokens: 1_000,
            outputTokens: 100,
            firstTokenDeadline: now + 2_000,
            deadline: now + 60_000,
            suspect: false,
            prefixHashes: [],
            avoid: [],
            retry: false,
            ...more,
        },
    };
}

/** The event of the end of a request. */
export function end(id: string, failed: readonly string[] = [], whole = failed.length === 0): scheduling.Event {
    return { kind: scheduling.EventKind.End, id, outputTokens: 50, whole, failed };
}

/** Runs the scheduler on one event at a time. */
export class Driver {
    state: scheduling.State;

    constructor(readonly poolSettings: scheduling.Settings = settings) {
        this.state = scheduling.scheduler.start(poolSettings, 0);
    }

    /** Applies an event and returns the grants and refusals. */
    dispatch(event: scheduling.Event, now: number): readonly scheduling.Action[] {
        const next = scheduling.scheduler.decide(this.state, event, now);
        this.state = next.state;
        return next.actions.filter((action) => action.kind !== scheduling.ActionKind.WakeAt);
    }

    /** Applies an event and returns the grants, as "request: prefill, decode". */
    grants(event: scheduling.Event, now: number): readonly string[] {
        return this.dispatch(event, now).flatMap((action) =>
            action.kind === scheduling.ActionKind.Grant ? [`${action.id}: ${action.prefill}, ${action.decode}`] : []
        );
    }
}
