import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as messages from "./messages.js";
import * as turnowners from "./turnowner.js";

/** Time after which an owner that has not answered is asked again: the latency between hosts is about a millisecond. */
const ASK_RETRY_MS = 20;
/** Number of times that an owner is asked before this host goes on without it. */
const MAX_ASKS = 3;
/** Interval at which the owner is reminded of a waiter; a new owner learns of it so. */
const RENEWAL_MS = 300;
/** How long an owner that did not answer is not asked again. */
const OWNER_BACKOFF_MS = 700;
/** Forecast of a run while none of its route has ended. */
const INITIAL_RUN_MS = 2_500;
/** Weight of the newest run in the forecast of its route. */
const SMOOTHING_FACTOR = 0.1;
/** Time below which a run that has ended says nothing about how long others take. */
const MIN_RUN_MS = 300;
/** Number of runs in one message, which fits into a packet of any link. */
const RUNS_PER_MESSAGE = 12;
/** Time over which ends of runs are reported together. */
const REPORT_DELAY_MS = 2;

/** Number of further owners of a service that runs are reported to, while hosts disagree on the owner. */
const MAX_OWNERS = 2;

/** A request of this host that asks for room at the places of a service. */
export interface TurnQuestion {
    readonly service: string;
    readonly route: string;
    readonly urgency: number;
    readonly targetAt: decision.Milliseconds;
    readonly deadlineAt: decision.Milliseconds;
    readonly workspace: string;
    readonly workspaceWeight: number;
    readonly hadRoom: boolean;
    readonly content: string;
    readonly amount: number;
}

/** What a request is told that asked for its turn; undefined if no owner answers, or the request has ended. */
export type TurnAnswer = Extract<dispatch.Turn, { kind: dispatch.TurnKind.Try | dispatch.TurnKind.Refuse; }>;

/** A request that asks for turns, until it has room or is refused. */
export interface TurnSeeker {
    /** Its id as a run once it has room. */
    readonly id: string;
    /** Address of the owner that decides. */
    readonly owner: string;
    /** What the owner last forecast, for the log. */
    forecast: { readonly position: number; readonly waitMs: decision.Milliseconds; } | undefined;
    readonly next: (signal: AbortSignal) => Promise<TurnAnswer | undefined>;
    /** Tells that a turn could not be used. */
    readonly giveBack: (problem: dispatch.TurnProblem) => void;
    /** Tells that the request no longer waits. */
    readonly withdraw: () => void;
}

/** A run of this host at a place. */
interface HostRun {
    readonly service: string;
    readonly route: string;
    readonly place: string;
    readonly amount: number;
    readonly startedAt: decision.Milliseconds;
}

/** The turns of this host's requests: asks the owners of services in contention, and reports the runs to them. */
export class HostTurns {
    private readonly owner: turnowners.TurnOwner;
    private readonly runs = new Map<string, HostRun>();
    private readonly runMs = new Map<string, decision.Milliseconds>();
    /** Until when each owner wants reports, by service. */
    private readonly contentions = new Map<string, Map<string, decision.Milliseconds>>();
    private readonly waiting = new Map<string, (turn: dispatch.Turn) => void>();
    private readonly backoffUntil = new Map<string, decision.Milliseconds>();
    private readonly unreported = new Map<string, string[]>();
    private sendDatagram: turnowners.SendTurnMessage = () => undefined;
    private lastId = 0;
    private readonly idPrefix: string;

    constructor(
        private readonly context: turnowners.TurnOwnerContext,
        private readonly self: string,
        private readonly availabilityZone: string,
    ) {
        this.owner = new turnowners.TurnOwner(context, (message, host) => this.send(message, host));
        this.idPrefix = `${self}/${Math.floor(context.random() * Number.MAX_SAFE_INTEGER).toString(36)}/`;
    }

    /** Sets how other hosts are reached. */
    setChannel(send: turnowners.SendTurnMessage): void {
        this.sendDatagram = send;
    }

    /** Whether requests for a service ask for their turn first, since others wait. */
    isContended(service: string): boolean {
        return this.reportsTo(service).length > 0 && this.ownerFor(service) !== undefined;
    }

    /** A request that asks for turns; undefined if the service has no owner that answers. */
    seek(question: TurnQuestion): TurnSeeker | undefined {
        const owner = this.ownerFor(question.service);
        if (owner === undefined) {
            return undefined;
        }
        const id = this.nextId();
        const { service, route, targetAt, deadlineAt, ...rest } = question;
        const ask = () => {
            const now = this.context.clock();
            this.send({
                ...rest,
                kind: messages.MessageKind.TurnAsk,
                service,
                id,
                targetInMs: Math.max(0, Math.round(targetAt - now)),
                deadlineInMs: Math.max(0, Math.round(deadlineAt - now)),
                durationMs: Math.round(this.runMs.get(route) ?? INITIAL_RUN_MS),
                availabilityZone: this.availabilityZone,
                avoided: [],
            }, owner);
        };
        const seeker: TurnSeeker = {
            id,
            owner,
            forecast: undefined,
            next: (signal) => this.nextTurn(seeker, service, ask, signal),
            giveBack: (problem) => this.send({ kind: messages.MessageKind.TurnReturned, service, id, problem }, owner),
            withdraw: () => this.send({ kind: messages.MessageKind.Runs, service, begun: [], ended: [id] }, owner),
        };
        return seeker;
    }

    /** Records a run that has room; `seeker` is the request's if it had a turn. Returns the id to end it with. */
    begin(run: Omit<HostRun, "startedAt">, seeker: TurnSeeker | undefined): string {
        const id = seeker?.id ?? this.nextId();
        this.runs.set(id, { ...run, startedAt: this.context.clock() });
        if (!seeker) {
            this.reportsTo(run.service).forEach((owner) => this.reportRuns(run.service, [id], owner));
        }
        return id;
    }

    /** Records that a run has ended, and tells the owners that want to know. */
    end(id: string): void {
        const run = this.runs.get(id);
        if (!run) {
            return;
        }
        this.runs.delete(id);
        const tookMs = this.context.clock() - run.startedAt;
        if (tookMs >= MIN_RUN_MS) {
            const mean = this.runMs.get(run.route) ?? tookMs;
            this.runMs.set(run.route, mean + (tookMs - mean) * SMOOTHING_FACTOR);
        }
        if (this.reportsTo(run.service).length > 0) {
            this.reportEnd(run.service, id);
        }
    }

    /** Handles a message of another host. */
    receive(message: messages.TurnMessage, from: string): void {
        switch (message.kind) {
            case messages.MessageKind.TurnAsk:
                return this.owner.receiveAsk(message, from);
            case messages.MessageKind.TurnReturned:
                return this.owner.receiveReturned(message);
            case messages.MessageKind.Runs:
                return this.owner.receiveRuns(message);
            case messages.MessageKind.Contention:
                return this.onContention(message.service, message.forMs, from);
            case messages.MessageKind.Turn: {
                const turn = messages.turnOf(message);
                const waiter = this.waiting.get(message.id);
                if (waiter) {
                    waiter(turn);
                }
                else if (turn.kind === dispatch.TurnKind.Try && !this.runs.has(message.id)) {
                    this.send({
                        kind: messages.MessageKind.Runs,
                        service: message.service,
                        begun: [],
                        ended: [message.id],
                    }, from);
                }
            }
        }
    }

    private nextId(): string {
        return this.idPrefix + (++this.lastId).toString(36);
    }

    private ownerFor(service: string): string | undefined {
        const hosts = this.context.storeView.hosts();
        const owner = dispatch.ownerOf(hosts, service);
        const isAsked = owner !== undefined && this.context.clock() >= (this.backoffUntil.get(owner) ?? 0);
        return isAsked ? owner : undefined;
    }

    private send(message: messages.TurnMessage, host: string): void {
        if (host === this.self) {
            setImmediate(() => this.receive(message, host));
            return;
        }
        this.sendDatagram(message, host);
    }

    private nextTurn(
        seeker: TurnSeeker,
        service: string,
        ask: () => void,
        signal: AbortSignal,
    ): Promise<TurnAnswer | undefined> {
        const { id, owner } = seeker;
        return new Promise((resolve) => {
            let unanswered = 0;
            let timer: NodeJS.Timeout | undefined;
            const finish = (turn: TurnAnswer | undefined) => {
                clearTimeout(timer);
                this.waiting.delete(id);
                signal.removeEventListener("abort", onAbort);
                resolve(turn);
            };
            const onAbort = () => {
                seeker.withdraw();
                finish(undefined);
            };
            const sendAsk = () => {
                if (unanswered++ === MAX_ASKS) {
                    this.backoffUntil.set(owner, this.context.clock() + OWNER_BACKOFF_MS);
                    this.context.log.notice("owner of turns did not respond; waiting without it", {
                        owner,
                        pauseMs: OWNER_BACKOFF_MS,
                    });
                    onAbort();
                    return;
                }
                timer = setTimeout(sendAsk, ASK_RETRY_MS);
                ask();
            };
            this.waiting.set(id, (turn) => {
                if (!this.reportsTo(service).includes(owner)) {
                    this.onContention(service, turnowners.CONTENTION_MS, owner);
                }
                unanswered = 0;
                clearTimeout(timer);
                if (turn.kind !== dispatch.TurnKind.Wait) {
                    finish(turn);
                    return;
                }
                seeker.forecast = turn;
                timer = setTimeout(sendAsk, RENEWAL_MS);
            });
            signal.addEventListener("abort", onAbort);
            if (signal.aborted) {
                onAbort();
                return;
            }
            sendAsk();
        });
    }

    private reportsTo(service: string): string[] {
        const now = this.context.clock();
        return [...this.contentions.get(service) ?? []].filter(([, until]) => now < until).map(([owner]) => owner);
    }

    private onContention(service: string, forMs: decision.Milliseconds, owner: string): void {
        const now = this.context.clock();
        const current = [...this.contentions.get(service) ?? []].filter(([, until]) => now < until);
        const until = now + Math.min(forMs, turnowners.CONTENTION_MS);
        this.contentions.set(service, new Map([...current.slice(-MAX_OWNERS), [owner, until]]));
        const ids = [...this.runs].filter(([, run]) => run.service === service).map(([id]) => id);
        this.reportRuns(service, ids, owner);
    }

    private reportRuns(service: string, ids: readonly string[], owner: string): void {
        const now = this.context.clock();
        const begun = ids.flatMap((id) => {
            const run = this.runs.get(id);
            const durationMs = this.runMs.get(run?.route ?? "") ?? INITIAL_RUN_MS;
            return run
                ? [{
                    id,
                    place: run.place,
                    amount: run.amount,
                    endsInMs: Math.round(Math.max(0, run.startedAt + durationMs - now)),
                }]
                : [];
        });
        for (let index = 0; index < begun.length; index += RUNS_PER_MESSAGE) {
            const part = begun.slice(index, index + RUNS_PER_MESSAGE);
            this.send({ kind: messages.MessageKind.Runs, service, begun: part, ended: [] }, owner);
        }
    }

    private reportEnd(service: string, id: string): void {
        const ids = this.unreported.get(service);
        if (ids) {
            ids.push(id);
            return;
        }
        this.unreported.set(service, [id]);
        lifecycle.after(this.context.scope, REPORT_DELAY_MS, () => {
            const ended = this.unreported.get(service) ?? [];
            this.unreported.delete(service);
            this.reportsTo(service).forEach((owner) =>
                this.send({ kind: messages.MessageKind.Runs, service, begun: [], ended }, owner)
            );
        });
    }
}
