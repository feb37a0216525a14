import type * as decision from "@citronlead/decision";
import * as scheduling from "@citronlead/scheduling";
import * as workloads from "./workload.js";

/** Processor time of one decision at a size. */
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
const PREFILL_SHARE = 3 / 13;
/** Time between two requests for each decode engine. */
const STEP_MS = 300;

/** A pool that is full, with one request of each workspace waiting, driven by one end and one arrival at a time. */
class FullPool {
    private now = 0;
    private count = 0;
    private state = scheduling.scheduler.start(SETTINGS, 0);
    private readonly placed: string[] = [];
    private readonly random = workloads.makeRandom(1);
    private readonly decodeEngines: number;

    constructor(engines: number, private readonly workspaces: number) {
        const prefillEngines = Math.round(engines * PREFILL_SHARE);
        this.decodeEngines = engines - prefillEngines;
        for (let index = 0; index < engines; index++) {
            const role = index < prefillEngines ? scheduling.Role.Prefill : scheduling.Role.Decode;
            this.happen({ kind: scheduling.EventKind.Report, report: makeReport(`engine-${index}`, role) });
        }
        while (this.state.waiting.size < workspaces + SLOTS) {
            this.arrive(this.count);
        }
    }

    /** Takes in one end and one arrival. */
    step(): void {
        this.now += STEP_MS / this.decodeEngines;
        const id = this.placed.splice(this.random.integer(0, this.placed.length - 1), 1)[0] ?? "";
        this.happen({ kind: scheduling.EventKind.End, id, outputTokens: 200, whole: true, failed: [] });
        this.arrive(this.random.integer(0, this.workspaces - 1));
    }

    private arrive(workspace: number): void {
        const ask: scheduling.Ask = {
            id: `r${this.count++}`,
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
        this.happen({ kind: scheduling.EventKind.Ask, ask });
    }

    private happen(event: scheduling.Event): void {
        const next = scheduling.scheduler.decide(this.state, event, this.now);
        this.state = next.state;
        for (const action of next.actions) {
            if (action.kind === scheduling.ActionKind.Grant) {
                this.placed.push(action.id);
            }
            if (action.kind === scheduling.ActionKind.WakeAt) {
                this.now += this.state.decodeSlots > this.placed.length ? 1 : 0;
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

/** Measures every pair of sizes that the design names. */
export function measureDecisions(stopwatch: decision.Clock): readonly DecisionTime[] {
    return ENGINE_COUNTS.flatMap((engines) =>
        WORKSPACE_COUNTS.map((workspaces) => measureDecision(engines, workspaces, stopwatch))
    );
}
