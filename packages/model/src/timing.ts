import type * as decision from "@citronlead/decision";
import * as scheduling from "@citronlead/scheduling";
import * as workloads from "./workload.js";

/** Mean processor time of a scheduling decision for a pool of the given size. */
export interface DecisionTime {
    readonly engines: number;
    readonly workspaces: number;
    readonly decisions: number;
    readonly microsecondsPerDecision: number;
}

const SETTINGS: scheduling.Settings = {
    pool: "measured",
    pieceTokens: 64,
    prefillSurvivalMs: 800,
    cacheBytesPerToken: 160_000,
    linkBytesPerSecond: 12e9,
    betweenTokensTargetMs: 60,
    reportLagMs: 1_000,
    prefixTokens: 341,
    weights: {},
    prefillTokensPerSecond: 24_000,
    tokenMs: 30,
};
const SLOTS = 20;
const MEMORY_PIECES = 1_000;
const DEADLINE_MS = 1e9;
const PREFILL_ENGINE_SHARE = 3 / 13;
/** Mean time between two requests at each decode engine. */
const REQUEST_PERIOD_PER_DECODE_ENGINE_MS = 300;

/**
 * A full pool with at least one waiting request for each workspace on average. Each step ends one running request and
 * adds one new request, so the pool stays full.
 */
class FullPool {
    private now = 0;
    private requestCount = 0;
    private state = scheduling.scheduler.start(SETTINGS, 0);
    private readonly placedIds: string[] = [];
    private readonly random = workloads.makeRandom(1);
    private readonly decodeEngines: number;

    constructor(engines: number, private readonly workspaces: number) {
        const prefillEngines = Math.round(engines * PREFILL_ENGINE_SHARE);
        this.decodeEngines = engines - prefillEngines;
        for (let index = 0; index < engines; index++) {
            const role = index < prefillEngines ? scheduling.Role.Prefill : scheduling.Role.Decode;
            this.applyEvent({ kind: scheduling.EventKind.Report, report: makeReport(`engine-${index}`, role) });
        }
        while (this.state.waiting.size < workspaces + SLOTS) {
            this.addRequest(this.requestCount);
        }
    }

    /** Ends a random running request and adds a request of a random workspace. */
    step(): void {
        this.now += REQUEST_PERIOD_PER_DECODE_ENGINE_MS / this.decodeEngines;
        const id = this.placedIds.splice(this.random.integer(0, this.placedIds.length - 1), 1)[0] ?? "";
        this.applyEvent({ kind: scheduling.EventKind.End, id, outputTokens: 200, whole: true, failed: [] });
        this.addRequest(this.random.integer(0, this.workspaces - 1));
    }

    private addRequest(workspace: number): void {
        const ask: scheduling.ReservationRequest = {
            id: `r${this.requestCount++}`,
            holder: "host",
            workspace: `w${workspace % this.workspaces}`,
            priority: 0,
            promptTokens: 1_700,
            outputTokens: 300,
            firstTokenDeadline: DEADLINE_MS + this.now,
            deadline: DEADLINE_MS + this.now,
            suspect: false,
            prefixHashes: [],
            avoid: [],
            retry: false,
        };
        this.applyEvent({ kind: scheduling.EventKind.Request, ask });
    }

    private applyEvent(event: scheduling.Event): void {
        const next = scheduling.scheduler.decide(this.state, event, this.now);
        this.state = next.state;
        for (const action of next.actions) {
            if (action.kind === scheduling.ActionKind.Grant) {
                this.placedIds.push(action.id);
            }
            if (action.kind === scheduling.ActionKind.WakeAt) {
                this.now += this.state.decodeSlots > this.placedIds.length ? 1 : 0;
            }
        }
    }
}

function makeReport(engine: string, role: scheduling.Role): scheduling.Report {
    return {
        engine,
        role,
        incarnation: "0",
        sequence: 0,
        slots: SLOTS,
        running: 0,
        memoryPieces: MEMORY_PIECES,
        heldPieces: 0,
        usable: true,
    };
}

const WARM_UP_STEPS = 3_000;
const MEASURED_STEPS = 6_000;

/** Measures the mean processor time of a decision in a full pool. */
export function measureDecision(engines: number, workspaces: number, stopwatch: decision.Clock): DecisionTime {
    const pool = new FullPool(engines, workspaces);
    for (let step = 0; step < WARM_UP_STEPS; step++) {
        pool.step();
    }
    const startedAt = stopwatch();
    for (let step = 0; step < MEASURED_STEPS; step++) {
        pool.step();
    }
    const decisions = 2 * MEASURED_STEPS;
    return { engines, workspaces, decisions, microsecondsPerDecision: (stopwatch() - startedAt) * 1_000 / decisions };
}

const ENGINE_COUNTS = [13, 60, 600];
const WORKSPACE_COUNTS = [5, 250, 2_500];

/** Measures all combinations of the pool sizes and workspace counts named in the design. */
export function measureDecisions(stopwatch: decision.Clock): readonly DecisionTime[] {
    return ENGINE_COUNTS.flatMap((engines) =>
        WORKSPACE_COUNTS.map((workspaces) => measureDecision(engines, workspaces, stopwatch))
    );
}
