import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as scheduling from "@citronlead/scheduling";
import * as upstream from "@citronlead/upstream";
import * as pQueue from "p-queue";
import type * as contexts from "../context.js";
import type * as upstreams from "../upstreams.js";

type Grant = Extract<scheduling.Action, { kind: scheduling.ActionKind.Grant; }>;

/** The answer of a shard's owner to a reservation request. */
export type OwnerAnswer =
    | {
        readonly status: ReservationStatus.Granted;
        readonly grant: Grant;
        readonly startAfterMs: decision.Milliseconds;
    }
    | { readonly status: ReservationStatus.Refused; readonly retryAfterMs: decision.Milliseconds; }
    | { readonly status: ReservationStatus.Waiting | ReservationStatus.NotOwner; };

/** The status of a reservation request. */
export enum ReservationStatus {
    Waiting = "waiting",
    Granted = "granted",
    Refused = "refused",
    NotOwner = "not-owner",
}

/** Receives answers to one request; a queued request gets more than one. */
export type AnswerListener = (answer: OwnerAnswer) => void;

const LOAD_PERIOD_MS = 500;
const LOAD_TIMEOUT_MS = 400;
/** Failed load reads in a row after which an engine counts as failed; a single one may only mean that it is slow. */
const FAILED_READ_LIMIT = 4;

interface PendingRequest {
    readonly onAnswer: AnswerListener;
    readonly ended: Promise<void>;
    readonly end: () => void;
}

/** What a shard owner works with. */
export interface OwnerDependencies {
    readonly context: contexts.Context;
    readonly upstreamList: upstreams.Upstreams;
    /** The listed engines of the shard. */
    readonly engines: () => readonly upstreams.KnownUpstream[];
}

/** Runs the scheduler for one shard of a pool, with its queue and reservations, while this host owns the shard. */
export class ShardOwner {
    private state: scheduling.State;
    private readonly scope: lifecycle.Scope;
    private readonly placementQueue = new scheduling.PlacementQueue();
    private readonly queue: pQueue.default<scheduling.PlacementQueue, scheduling.QueueOptions>;
    private readonly pending = new Map<string, PendingRequest>();
    private readonly failedReads = new Map<string, number>();
    private cancelWake: () => void = () => undefined;

    constructor(private readonly dependencies: OwnerDependencies, settings: scheduling.Settings) {
        this.scope = dependencies.context.scope.child("shard");
        this.state = scheduling.scheduler.start(settings, dependencies.context.clock());
        this.queue = new pQueue.default({
            concurrency: 1,
            queueClass: scheduling.PlacementQueue.classFor(this.placementQueue),
        });
        lifecycle.every(this.scope, LOAD_PERIOD_MS, () => this.pollLoads());
        this.pollLoads();
    }

    /** Requests a reservation. A repeated request is answered with its current status. */
    reserve(request: scheduling.ReservationRequest, onAnswer: AnswerListener): void {
        if (!this.pending.has(request.id)) {
            this.enqueue(request.id, onAnswer);
        }
        this.dispatch({ kind: scheduling.EventKind.Request, ask: request });
        if (this.state.waiting.has(request.id)) {
            onAnswer({ status: ReservationStatus.Waiting });
        }
    }

    /** Passes an event to the scheduler and carries out the resulting actions. */
    dispatch(event: scheduling.Event): void {
        const { state, actions } = scheduling.scheduler.decide(this.state, event, this.dependencies.context.clock());
        this.state = state;
        actions.forEach((action) => this.carryOut(action));
        if (event.kind === scheduling.EventKind.End) {
            this.removePending(event.id);
        }
    }

    /** Ends the reservations and queued requests of router processes that are not in `present`. */
    endAbsentHolders(present: ReadonlySet<string>): void {
        const requests = [...this.state.reservations.entries(), ...this.state.waiting.entries()].map(([, entry]) =>
            entry.ask
        );
        const holders = [...new Set(requests.map((request) => request.holder))].filter((holder) =>
            !present.has(holder)
        );
        if (holders.length > 0) {
            this.dispatch({ kind: scheduling.EventKind.HoldersGone, holders });
            requests.filter((request) => holders.includes(request.holder))
                .forEach((request) => this.removePending(request.id));
        }
    }

    updateSettings(settings: scheduling.Settings): void {
        this.dispatch({ kind: scheduling.EventKind.Settings, settings });
    }

    /** Stops acting for the shard. Queued requests are answered NotOwner, so that they are sent to the next owner. */
    async close(): Promise<void> {
        for (const id of [...this.pending.keys()]) {
            if (this.state.waiting.has(id)) {
                this.pending.get(id)?.onAnswer({ status: ReservationStatus.NotOwner });
            }
            this.removePending(id);
        }
        await this.scope.close();
    }

    private enqueue(id: string, onAnswer: AnswerListener): void {
        let end: () => void = () => undefined;
        const ended = new Promise<void>((resolve) => end = resolve);
        this.pending.set(id, { onAnswer, ended, end });
        // Runs once the scheduler has granted the request; occupies a place in p-queue until the reservation ends.
        void this.queue.add(() => ended, { id });
    }

    private removePending(id: string): void {
        this.pending.get(id)?.end();
        this.pending.delete(id);
        this.placementQueue.remove(id);
    }

    private carryOut(action: scheduling.Action): void {
        switch (action.kind) {
            case scheduling.ActionKind.WakeAt:
                this.wakeAt(action.at);
                break;
            case scheduling.ActionKind.Refuse:
                this.pending.get(action.id)?.onAnswer({
                    status: ReservationStatus.Refused,
                    retryAfterMs: action.retryAfterMs,
                });
                this.removePending(action.id);
                break;
            case scheduling.ActionKind.Grant:
                this.grant(action);
                break;
        }
    }

    private grant(grant: Grant): void {
        if (this.placementQueue.release(grant.id)) {
            this.queue.concurrency = Math.max(1, this.queue.pending + this.placementQueue.size);
        }
        const startAfterMs = Math.max(0, grant.startAt - this.dependencies.context.clock());
        this.pending.get(grant.id)?.onAnswer({ status: ReservationStatus.Granted, grant, startAfterMs });
    }

    private wakeAt(at: decision.Milliseconds): void {
        this.cancelWake();
        const delayMs = Math.max(1, at - this.dependencies.context.clock());
        this.cancelWake = lifecycle.after(
            this.scope,
            delayMs,
            () => this.dispatch({ kind: scheduling.EventKind.Wake }),
        );
    }

    private pollLoads(): void {
        const engines = this.dependencies.engines();
        const listed = new Set(engines.map((engine) => engine.name));
        for (const [name] of [...this.state.engines.entries()]) {
            if (!listed.has(name)) {
                this.dispatch({ kind: scheduling.EventKind.EngineGone, engine: name });
            }
        }
        engines.forEach((engine) => void this.pollLoad(engine));
    }

    private async pollLoad(engine: upstreams.KnownUpstream): Promise<void> {
        const { context, upstreamList } = this.dependencies;
        const outcome = await upstream.readLoad({
            address: engine.address,
            agent: context.agent,
            timeoutMs: LOAD_TIMEOUT_MS,
        });
        if (this.scope.closed) {
            return;
        }
        if (outcome.result === upstream.CallResult.Done) {
            this.failedReads.delete(engine.name);
            upstreamList.recordLoad(engine.name, outcome.value);
            this.dispatch({ kind: scheduling.EventKind.Report, report: this.makeReport(engine, outcome.value) });
            return;
        }
        const failedReads = (this.failedReads.get(engine.name) ?? 0) + 1;
        this.failedReads.set(engine.name, failedReads);
        if (outcome.result === upstream.CallResult.Unreachable || failedReads >= FAILED_READ_LIMIT) {
            this.dispatch({ kind: scheduling.EventKind.EngineFailed, engine: engine.name });
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
            usable: this.dependencies.upstreamList.isUsable(engine.name) && !load.departing,
        };
    }
}
