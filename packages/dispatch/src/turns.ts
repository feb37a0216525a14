import type * as decision from "@citronlead/decision";
import * as demands from "./demand.js";
import * as newest from "./newest.js";
import * as returns from "./returns.js";
import * as rooms from "./room.js";
import * as turns from "./turn.js";
import * as workspaces from "./workspaceshares.js";

/** Options of an order of turns. */
export interface TurnOrderOptions {
    /** Time from getting room to the first result. */
    readonly firstResultDelayMs: decision.Milliseconds;
    /** How long a request that cannot meet its target may wait for room that no other needs. */
    readonly maxLateWaitMs: decision.Milliseconds;
    /** Maximum number of waiters. */
    readonly maxWaiters: number;
    /** Time after the first request in which hosts report their runs, and nobody gets a turn. */
    readonly settleMs: decision.Milliseconds;
    /** How long a waiter is kept of which its host no longer reports. */
    readonly renewalMs: decision.Milliseconds;
    /** Draws a number in [0, 1). */
    readonly random: () => number;
}

/** How long after a refusal of others a workspace beyond its share gets nothing. */
const SHORTAGE_MS = 300;
/** How long the rate at which room comes is used again. */
const DRAIN_TTL_MS = 10;
/** Largest load of requests that come before a waiter which its forecast assumes to last. */
const MAX_LOAD = 0.9;
/** By how much a forecast may exceed the time that a waiter has before it is refused: runs end early or late. */
const FORECAST_SLACK_MS = 100;
/** Number of waiters whose start is forecast; the room of those behind them is not in sight. */
const MAX_FORECAST = 256;
/** Maximum number of decisions that are kept for messages that were lost. */
const MAX_DECIDED = 2_000;

interface Waiter {
    readonly request: turns.TurnRequest;
    readonly promised: boolean;
    readonly isLargePromised: boolean;
    readonly askedAt: decision.Milliseconds;
    renewedAt: decision.Milliseconds;
    informed: boolean;
}

/** A waiter, or a promise without one, in the order of turns. */
interface Candidate {
    readonly waiter: Waiter | undefined;
    readonly need: rooms.RoomNeed;
    readonly from: decision.Milliseconds;
    readonly rank: readonly number[];
    readonly late: boolean;
    readonly isBeyondShare: boolean;
    readonly urgency: number;
}

/**
 * One order of the requests that wait for room at the places of a service, over all hosts. Answers load beyond the room,
 * where each host has one or two waiters: who can still meet its target comes first, by urgency, then who was told to
 * return, then workspaces within their shares, then the earlier target. A waiter is placed where room comes first without
 * delaying those before it, so that a large request is not overtaken without bound; one for which no room comes in time is
 * refused at once.
 */
export class TurnOrder {
    readonly room = new rooms.RoomLedger();
    private readonly waiters = new Map<string, Waiter>();
    private readonly decided = new Map<string, turns.AddressedTurn>();
    private readonly shares = new Map<number, workspaces.WorkspaceShares>();
    private readonly demand = new Map<number, demands.Demand>();
    /** When a request of a workspace within its share was last refused, by urgency. */
    private readonly refusedWithinShareAt = new Map<number, decision.Milliseconds>();
    private readonly returns = new returns.ReturnCalendar();
    private drain = { at: -Infinity, perMs: 0 };
    private activeSince: decision.Milliseconds = Infinity;
    private activeAt: decision.Milliseconds = -Infinity;

    constructor(private readonly options: TurnOrderOptions) {}

    /** Number of requests that wait. */
    get size(): number {
        return this.waiters.size;
    }

    /** Number of requests that wait, by urgency. */
    sizeByUrgency(): ReadonlyMap<number, number> {
        const sizes = new Map<number, number>();
        for (const { request: { urgency } } of this.waiters.values()) {
            sizes.set(urgency, (sizes.get(urgency) ?? 0) + 1);
        }
        return sizes;
    }

    /** Time since the last request asked; infinite before the first. */
    idleMs(now: decision.Milliseconds): decision.Milliseconds {
        return now - this.activeAt;
    }

    /** Time until turns are decided, while hosts report their runs; 0 once they are. */
    settlesInMs(now: decision.Milliseconds): decision.Milliseconds {
        return Math.max(0, this.activeSince + this.options.settleMs - now);
    }

    /**
     * Adds a request, or renews one that waits. Returns the decision if there is one, as for a request that asks again since
     * the answer was lost.
     */
    ask(request: turns.TurnRequest, now: decision.Milliseconds): turns.Turn | undefined {
        if (this.idleMs(now) > this.options.renewalMs) {
            this.activeSince = now;
        }
        this.activeAt = now;
        const known = this.waiters.get(request.id);
        if (known) {
            known.renewedAt = now;
            known.informed = false;
            return undefined;
        }
        const decided = this.decided.get(request.id);
        if (decided) {
            return decided.turn;
        }
        const { urgency, workspace, workspaceWeight, amount } = request;
        const returned = this.returns.take(request.content, now);
        const waiter: Waiter = {
            request: returned?.promised === false && !request.hadRoom
                ? { ...request, targetAt: returned.targetAt }
                : request,
            promised: request.hadRoom || (returned?.promised ?? false),
            isLargePromised: returned?.promised === true && returned.isLarge,
            askedAt: now,
            renewedAt: now,
            informed: false,
        };
        this.demandOf(urgency).add(amount, now);
        this.sharesOf(urgency).record(workspace, workspaceWeight, 0, now);
        if (this.waiters.size >= this.options.maxWaiters) {
            return this.refuse(waiter, Infinity, now).turn;
        }
        this.waiters.set(request.id, waiter);
        return undefined;
    }

    /** Removes a request that no longer waits, such as one whose caller has left. */
    withdraw(id: string): void {
        this.waiters.delete(id);
    }

    /** Puts a request back that could not use its turn. */
    returnTurn(id: string, problem: turns.TurnProblem, now: decision.Milliseconds): void {
        const offered = this.decided.get(id);
        if (offered?.turn.kind !== turns.TurnKind.Try) {
            return;
        }
        const { request, turn: { place } } = offered;
        this.decided.delete(id);
        this.room.release(id);
        if (problem === turns.TurnProblem.Full) {
            this.room.recordFull(place, request.amount, now);
        }
        if (problem === turns.TurnProblem.Unreachable) {
            this.room.recordUnreachable(place, request.host, now);
        }
        const avoided = problem === turns.TurnProblem.Full ? request.avoided : new Set([...request.avoided, place]);
        this.waiters.set(id, {
            request: { ...request, avoided },
            promised: false,
            isLargePromised: false,
            askedAt: now,
            renewedAt: now,
            informed: false,
        });
    }

    /** Decides on the waiters: who gets a turn or is refused now, and what those learn that have asked. */
    decide(now: decision.Milliseconds): turns.AddressedTurn[] {
        this.room.expire(now);
        for (const [id, { renewedAt, request }] of this.waiters) {
            if (now - renewedAt > this.options.renewalMs || now >= request.deadlineAt) {
                this.waiters.delete(id);
            }
        }
        if (this.waiters.size === 0 || this.settlesInMs(now) > 0) {
            return [];
        }
        const forecast = this.room.forecast(now);
        const decisions: turns.AddressedTurn[] = [];
        let position = 0;
        let forecastCount = 0;
        for (const candidate of this.inOrder(now)) {
            const { waiter, need, from } = candidate;
            const isInSight = forecastCount++ < MAX_FORECAST && !this.leavesRoomToOthers(candidate, now);
            const start = isInSight ? forecast.earliest(need, from) : undefined;
            if (!waiter) {
                if (start) {
                    forecast.add(need, start);
                }
                continue;
            }
            if (start && start.at <= now) {
                forecast.add(need, start);
                decisions.push(this.offer(waiter, start.place, now));
                continue;
            }
            const waitMs = this.expectedWaitMs(candidate, start, now);
            const isTooLate = waitMs > this.patienceMs(candidate, waiter, now)
                && !this.mayWaitLate(candidate, waiter, start, now);
            if (isTooLate) {
                if (!candidate.isBeyondShare) {
                    this.refusedWithinShareAt.set(candidate.urgency, now);
                }
                decisions.push(this.refuse(waiter, waitMs, now, start));
                continue;
            }
            if (start) {
                forecast.add(need, start);
            }
            if (!waiter.informed) {
                waiter.informed = true;
                decisions.push({ request: waiter.request, turn: { kind: turns.TurnKind.Wait, position, waitMs } });
            }
            position++;
        }
        return decisions;
    }

    private inOrder(now: decision.Milliseconds): Candidate[] {
        const beyond = new Map([...this.shares].map(([urgency, shares]) => [urgency, shares.beyond(now)]));
        const waiting = [...this.waiters.values()].map((waiter): Candidate => {
            const { request, promised, isLargePromised } = waiter;
            const { urgency, workspace, targetAt } = request;
            const late = !promised && now + this.options.firstResultDelayMs > targetAt;
            const isBeyondShare = !promised && (beyond.get(urgency)?.has(workspace) ?? false);
            const rank = [
                Number(late),
                Number(!isLargePromised),
                urgency,
                Number(!promised),
                Number(isBeyondShare),
                targetAt,
            ];
            return { waiter, need: request, from: now, rank, late, isBeyondShare, urgency };
        });
        const promised = this.returns.promises(now).map(({ need, urgency, at, isLarge }): Candidate => ({
            waiter: undefined,
            need,
            from: Math.max(now, at),
            rank: [0, Number(!isLarge), urgency, 0, 0, at],
            late: false,
            isBeyondShare: false,
            urgency,
        }));
        return [...waiting, ...promised].sort((one, other) => compareRanks(one.rank, other.rank));
    }

    /** Whether a request gets no room since its workspace is beyond its share and others of its urgency lack room. */
    private leavesRoomToOthers({ isBeyondShare, urgency }: Candidate, now: decision.Milliseconds): boolean {
        const refusedAt = this.refusedWithinShareAt.get(urgency) ?? -Infinity;
        return isBeyondShare && now - refusedAt < SHORTAGE_MS;
    }

    /** Forecast of a wait, in which requests that come before it keep arriving at the rate of the last second. */
    private expectedWaitMs(
        { urgency, late }: Candidate,
        start: rooms.Start | undefined,
        now: decision.Milliseconds,
    ): decision.Milliseconds {
        if (!start) {
            return Infinity;
        }
        const demandPerMs = this.demandBefore(late ? Infinity : urgency, now);
        const drainPerMs = this.drainPerMs(now);
        const load = drainPerMs > 0 ? Math.min(MAX_LOAD, demandPerMs / drainPerMs) : 0;
        return (start.at - now) / (1 - load);
    }

    /** How long a waiter can still wait. */
    private patienceMs({ late }: Candidate, waiter: Waiter, now: decision.Milliseconds): decision.Milliseconds {
        const { firstResultDelayMs, maxLateWaitMs } = this.options;
        const { targetAt, deadlineAt } = waiter.request;
        const lastStart = late || waiter.promised
            ? Math.max(waiter.askedAt, targetAt - firstResultDelayMs) + maxLateWaitMs
            : targetAt - firstResultDelayMs;
        const slackMs = waiter.askedAt < now && !late ? FORECAST_SLACK_MS : 0;
        return Math.min(lastStart + slackMs, deadlineAt - firstResultDelayMs) - now;
    }

    /** Whether a request that has waited so far, and can no longer be on time, may still be served late. */
    private mayWaitLate(
        candidate: Candidate,
        waiter: Waiter,
        start: rooms.Start | undefined,
        now: decision.Milliseconds,
    ): boolean {
        const late = { ...candidate, late: true };
        return now > waiter.askedAt && this.expectedWaitMs(late, start, now) <= this.patienceMs(late, waiter, now);
    }

    private offer(waiter: Waiter, place: string, now: decision.Milliseconds): turns.AddressedTurn {
        const { request } = waiter;
        const { id, amount, durationMs, urgency, workspace, workspaceWeight } = request;
        this.room.take({ id, place, amount, endsAt: now + durationMs });
        this.sharesOf(urgency).record(workspace, workspaceWeight, amount, now);
        return this.conclude(waiter, { kind: turns.TurnKind.Try, place });
    }

    private refuse(
        waiter: Waiter,
        waitMs: decision.Milliseconds,
        now: decision.Milliseconds,
        start?: rooms.Start,
    ): turns.AddressedTurn {
        const { request } = waiter;
        const demand = this.demandOf(request.urgency);
        const demandShare = demand.perMs(now) / this.demandBefore(Infinity, now);
        const drainPerMs = this.drainPerMs(now) * demandShare;
        const meanAmount = demand.mean;
        const room = { startAt: start?.at, drainPerMs, meanAmount };
        const { promised, at } = this.returns.plan(request, room, this.options.random(), now);
        return this.conclude(waiter, { kind: turns.TurnKind.Refuse, returnInMs: at - now, promised, waitMs });
    }

    private conclude({ request }: Waiter, turn: turns.Turn): turns.AddressedTurn {
        this.waiters.delete(request.id);
        newest.setNewest(this.decided, request.id, { request, turn }, MAX_DECIDED);
        return { request, turn };
    }

    /** Amount per millisecond that becomes free, as of a short time ago. */
    private drainPerMs(now: decision.Milliseconds): number {
        if (now - this.drain.at > DRAIN_TTL_MS) {
            this.drain = { at: now, perMs: this.room.drainPerMs(demands.RATE_PERIOD_MS, now) };
        }
        return this.drain.perMs;
    }

    /** Amount per millisecond that requests of more urgent ranks asked for lately. */
    private demandBefore(urgency: number, now: decision.Milliseconds): number {
        let sum = 0;
        for (const [other, demand] of this.demand) {
            sum += other < urgency ? demand.perMs(now) : 0;
        }
        return sum;
    }

    private sharesOf(urgency: number): workspaces.WorkspaceShares {
        const known = this.shares.get(urgency) ?? new workspaces.WorkspaceShares();
        this.shares.set(urgency, known);
        return known;
    }

    private demandOf(urgency: number): demands.Demand {
        const known = this.demand.get(urgency) ?? new demands.Demand();
        this.demand.set(urgency, known);
        return known;
    }
}

function compareRanks(one: readonly number[], other: readonly number[]): number {
    for (let index = 0; index < one.length; index++) {
        const difference = (one[index] as number) - (other[index] as number);
        if (difference !== 0) {
            return difference;
        }
    }
    return 0;
}
