import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as scheduling from "@citronlead/scheduling";
import * as upstream from "@citronlead/upstream";
import * as pQueue from "p-queue";
import type * as contexts from "../context.js";
import type * as upstreams from "../upstreams.js";

type Grant = Extract<scheduling.Action, { kind: scheduling.ActionKind.Grant; }>;

/** What the owner of a shard answers to a reservation. */
export type OwnerAnswer =
    | { readonly standing: Standing.Granted; readonly grant: Grant; readonly startAfterMs: decision.Milliseconds; }
    | { readonly standing: Standing.Refused; readonly retryAfterMs: decision.Milliseconds; }
    | { readonly standing: Standing.Waiting | Standing.NotOwner; };

/** What became of a reservation. */
export enum Standing {
    Waiting = "waiting",
    Granted = "granted",
    Refused = "refused",
    NotOwner = "not-owner",
}

/** Takes an answer; the first may be followed by others. */
export type TakeAnswer = (answer: OwnerAnswer) => void;

const LOAD_PERIOD_MS = 500;
const LOAD_TIMEOUT_MS = 400;
/** An engine whose load can't be read so many times in a row is taken for failed; one time is only slowness. */
const SILENT_READS = 4;

interface Pending {
    readonly take: TakeAnswer;
    readonly ended: Promise<void>;
    readonly end: () => void;
}

/** How an owner gets at its engines. */
export interface OwnerParts {
    readonly context: contexts.Context;
    readonly known: upstreams.Upstreams;
    /** The engines of the shard that are listed. */
    readonly engines: () => readonly upstreams.KnownUpstream[];
}

/** Holds the queue and the reservations of one shard of a pool while this host owns it. */
export class ShardOwner {
    private state: scheduling.State;
    private readonly scope: lifecycle.Lifecycle;
    private readonly fair = new scheduling.FairQueue();
    private readonly queue: pQueue.default<scheduling.FairQueue, scheduling.QueueOptions>;
    private readonly pending = new Map<string, Pending>();
    private readonly silent = new Map<string, number>();
    private cancelWake: () => void = () => undefined;

    constructor(private readonly parts: OwnerParts, settings: scheduling.Settings) {
        this.scope = parts.context.scope.child("shard");
        this.state = scheduling.scheduler.start(settings, parts.context.clock());
        this.queue = new pQueue.default({ concurrency: 1, queueClass: scheduling.FairQueue.holding(this.fair) });
        lifecycle.every(this.scope, LOAD_PERIOD_MS, () => this.pollLoads());
        this.pollLoads();
    }

    /** Asks for a placement. A repeat is answered with what is so now. */
    ask(ask: scheduling.Ask, take: TakeAnswer): void {
        if (!this.pending.has(ask.id)) {
            this.wait(ask.id, take);
        }
        this.happen({ kind: scheduling.EventKind.Ask, ask });
        if (this.state.waiting.has(ask.id)) {
            take({ standing: Standing.Waiting });
        }
    }

    /** Takes in what was seen of a reservation. */
    happen(event: scheduling.Event): void {
        const { state, actions } = scheduling.scheduler.decide(this.state, event, this.parts.context.clock());
        this.state = state;
        actions.forEach((action) => this.carryOut(action));
        if (event.kind === scheduling.EventKind.End) {
            this.forget(event.id);
        }
    }

    /** Ends what router processes that are not among these asked for. */
    keepHolders(present: ReadonlySet<string>): void {
        const asks = [...this.state.stays.entries(), ...this.state.waiting.entries()].map(([, one]) => one.ask);
        const holders = [...new Set(asks.map((ask) => ask.holder))].filter((holder) => !present.has(holder));
        if (holders.length > 0) {
            this.happen({ kind: scheduling.EventKind.HoldersGone, holders });
            asks.filter((ask) => holders.includes(ask.holder)).forEach((ask) => this.forget(ask.id));
        }
    }

    /** Puts new settings in force. */
    settle(settings: scheduling.Settings): void {
        this.happen({ kind: scheduling.EventKind.Settings, settings });
    }

    /** Stops acting for the shard: whoever waits is told to ask its next owner. */
    async close(): Promise<void> {
        for (const id of [...this.pending.keys()]) {
            if (this.state.waiting.has(id)) {
                this.pending.get(id)?.take({ standing: Standing.NotOwner });
            }
            this.forget(id);
        }
        await this.scope.close();
    }

    private wait(id: string, take: TakeAnswer): void {
        let end: () => void = () => undefined;
        const ended = new Promise<void>((resolve) => end = resolve);
        this.pending.set(id, { take, ended, end });
        // Runs once the scheduler has granted the request, and holds its place in p-queue until it ends.
        void this.queue.add(() => ended, { id });
    }

    private forget(id: string): void {
        this.pending.get(id)?.end();
        this.pending.delete(id);
        this.fair.remove(id);
    }

    private carryOut(action: scheduling.Action): void {
        switch (action.kind) {
            case scheduling.ActionKind.WakeAt:
                this.wakeAt(action.at);
                break;
            case scheduling.ActionKind.Refuse:
                this.pending.get(action.id)?.take({
                    standing: Standing.Refused,
                    retryAfterMs: action.retryAfterMs,
                });
                this.forget(action.id);
                break;
            case scheduling.ActionKind.Grant:
                this.grant(action);
                break;
        }
    }

    private grant(grant: Grant): void {
        if (this.fair.release(grant.id)) {
            this.queue.concurrency = Math.max(1, this.queue.pending + this.fair.size);
        }
        const startAfterMs = Math.max(0, grant.startAt - this.parts.context.clock());
        this.pending.get(grant.id)?.take({ standing: Standing.Granted, grant, startAfterMs });
    }

    private wakeAt(at: decision.Milliseconds): void {
        this.cancelWake();
        const delayMs = Math.max(1, at - this.parts.context.clock());
        this.cancelWake = lifecycle.after(this.scope, delayMs, () => this.happen({ kind: scheduling.EventKind.Wake }));
    }

    private pollLoads(): void {
        const engines = this.parts.engines();
        const listed = new Set(engines.map((engine) => engine.name));
        for (const [name] of [...this.state.engines.entries()]) {
            if (!listed.has(name)) {
                this.happen({ kind: scheduling.EventKind.EngineGone, engine: name });
            }
        }
        engines.forEach((engine) => void this.pollLoad(engine));
    }

    private async pollLoad(engine: upstreams.KnownUpstream): Promise<void> {
        const { context, known } = this.parts;
        const outcome = await upstream.readLoad({
            address: engine.address,
            agent: context.agent,
            timeoutMs: LOAD_TIMEOUT_MS,
        });
        if (this.scope.closed) {
            return;
        }
        if (outcome.result === upstream.CallResult.Done) {
            this.silent.delete(engine.name);
            known.noteLoad(engine.name, outcome.value);
            this.happen({ kind: scheduling.EventKind.Report, report: this.makeReport(engine, outcome.value) });
            return;
        }
        const silent = (this.silent.get(engine.name) ?? 0) + 1;
        this.silent.set(engine.name, silent);
        if (outcome.result === upstream.CallResult.Unreachable || silent >= SILENT_READS) {
            this.happen({ kind: scheduling.EventKind.EngineFailed, engine: engine.name });
        }
    }

    private makeReport(engine: upstreams.KnownUpstream, load: upstream.LoadReport): scheduling.Report {
        return {
            engine: engine.name,
            role: load.role === upstream.EngineRole.Prefill ? scheduling.Role.Prefill : scheduling.Role.Decode,
            incarnation: load.incarnation,
            sequence: load.sequence,
            slots: load.slots,
            running: load.running,
            memoryPieces: load.memoryPieces,
            heldPieces: load.heldPieces,
            usable: this.parts.known.takesWork(engine.name) && !load.departing,
        };
    }
}
