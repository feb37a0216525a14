import * as decision from "@citronlead/decision";
import * as dispatch from "../src/index.js";

/** A kind of request in a played load. */
export interface Kind {
    readonly urgency: number;
    readonly meanAmount: number;
    readonly targetMs: number;
    /** Share of the requests. */
    readonly share: number;
}

/** A load to play against a service. */
export interface Load {
    readonly places: number;
    readonly capacity: number;
    readonly kinds: readonly Kind[];
    /** Requested amount over time, relative to what all places can run. */
    readonly demandAt: (ms: number) => number;
    /** Number of places that are lost at a time. */
    readonly lost?: { readonly count: number; readonly at: number; readonly forMs: number; };
    /** The workspace of a request. */
    readonly workspaceOf?: (ms: number, random: decision.Random) => string;
    /** Share of the refused callers that return at once instead of as told. */
    readonly impatientShare?: number;
    readonly seed: number;
}

/** How a request ended. */
export interface Played {
    readonly kind: Kind;
    readonly amount: number;
    readonly workspace: string;
    readonly arrivedAt: number;
    readonly result: "onTime" | "late" | "refused";
    /** Time that its last attempt waited. */
    readonly waitedMs: number;
    readonly attempts: number;
    readonly promised: boolean;
}

const RUN_MS = 3_000;
const STEP_MS = 5;
const END_MS = 24_000;
const DEADLINE_MS = 14_000;
const RETRIES = 1;
const RENEWAL_MS = 250;
const FIRST_RESULT_DELAY_MS = 220;

interface Caller {
    readonly kind: Kind;
    readonly amount: number;
    readonly workspace: string;
    readonly content: string;
    readonly arrivedAt: number;
    attempt: number;
    askedAt: number;
    promised: boolean;
}

/** Plays requests from hosts that report their runs, and callers who return as told. */
export function playTurns(load: Load): Played[] {
    const random = decision.seeded(load.seed);
    const order = new dispatch.TurnOrder({
        firstResultDelayMs: FIRST_RESULT_DELAY_MS,
        maxLateWaitMs: 1_500,
        maxWaiters: 1_000,
        settleMs: 10,
        renewalMs: 1_000,
        random: () => random.fraction(),
    });
    const names = Array.from({ length: load.places }, (_, index) => `place-${index}`);
    let running: { id: string; place: string; amount: number; endsAt: number; }[] = [];
    const callers = new Map<string, Caller>();
    const returning: { at: number; caller: Caller; }[] = [];
    const played: Played[] = [];
    const meanAmount = load.kinds.reduce((sum, kind) => sum + kind.share * kind.meanAmount, 0);
    const perMs = load.places * load.capacity / meanAmount / RUN_MS;
    let next = 0;
    let count = 0;
    const isLost = (index: number, now: number) =>
        load.lost !== undefined && index < load.lost.count && now >= load.lost.at
        && now < load.lost.at + load.lost.forMs;
    const makeCaller = (now: number): Caller => {
        let fraction = random.fraction();
        const kind = load.kinds.find(({ share }) => (fraction -= share) < 0) ?? load.kinds[0] as Kind;
        const amount = Math.min(load.capacity * 0.85, kind.meanAmount * Math.exp(0.6 * normal(random)) * 0.835);
        const workspace = load.workspaceOf?.(now, random) ?? `workspace-${Math.floor(random.fraction() * 8)}`;
        return {
            kind,
            amount: Math.ceil(amount),
            workspace,
            content: `content-${++count}`,
            arrivedAt: now,
            attempt: 1,
            askedAt: now,
            promised: false,
        };
    };
    const ask = (caller: Caller, now: number) => {
        const id = `${caller.content}/${caller.attempt}`;
        callers.set(id, caller);
        order.ask({
            id,
            host: "host",
            urgency: caller.kind.urgency,
            targetAt: caller.askedAt + caller.kind.targetMs,
            deadlineAt: caller.arrivedAt + DEADLINE_MS,
            workspace: caller.workspace,
            workspaceWeight: 1,
            hadRoom: false,
            content: caller.content,
            amount: caller.amount,
            durationMs: RUN_MS,
            availabilityZone: "a",
            avoided: new Set(),
        }, now);
    };
    const end = (id: string, caller: Caller, result: Played["result"], now: number) => {
        callers.delete(id);
        const { kind, amount, workspace, arrivedAt, askedAt, attempt, promised } = caller;
        const waitedMs = now - askedAt;
        played.push({ kind, amount, workspace, arrivedAt, result, waitedMs, attempts: attempt, promised });
    };
    for (let now = 0; now < END_MS + DEADLINE_MS; now += STEP_MS) {
        order.room.setPlaces(
            names.filter((_, index) => !isLost(index, now))
                .map((name) => ({ name, capacity: load.capacity, availabilityZone: "a" })),
        );
        running = running.filter((run) => {
            const goesOn = run.endsAt > now && !isLost(names.indexOf(run.place), now);
            if (!goesOn) {
                order.room.release(run.id);
            }
            return goesOn;
        });
        for (; next <= now && now < END_MS; next += random.exponential(1 / (perMs * load.demandAt(now)))) {
            ask(makeCaller(now), now);
        }
        for (const { caller } of returning.filter(({ at }) => at <= now)) {
            caller.attempt++;
            caller.askedAt = now;
            ask(caller, now);
        }
        if (now % RENEWAL_MS === 0) {
            [...callers.values()].forEach((caller) => ask(caller, now));
        }
        returning.splice(0, returning.length, ...returning.filter(({ at }) => at > now));
        for (const { request, turn } of order.decide(now)) {
            const caller = callers.get(request.id) as Caller;
            if (turn.kind === dispatch.TurnKind.Try) {
                const used = running.reduce((sum, run) => sum + (run.place === turn.place ? run.amount : 0), 0);
                if (used + request.amount > load.capacity) {
                    order.returnTurn(request.id, dispatch.TurnProblem.Full, now);
                    continue;
                }
                const endsAt = now + RUN_MS * (0.7 + 0.6 * random.fraction());
                running.push({ id: request.id, place: turn.place, amount: request.amount, endsAt });
                const firstResultAt = now + FIRST_RESULT_DELAY_MS;
                end(
                    request.id,
                    caller,
                    firstResultAt <= caller.arrivedAt + caller.kind.targetMs ? "onTime" : "late",
                    now,
                );
            }
            else if (turn.kind === dispatch.TurnKind.Refuse) {
                if (caller.attempt > RETRIES) {
                    end(request.id, caller, "refused", now);
                    continue;
                }
                callers.delete(request.id);
                const impatient = random.fraction() < (load.impatientShare ?? 0);
                caller.promised = turn.promised && !impatient;
                returning.push({ at: now + (impatient ? 50 : turn.returnInMs), caller });
            }
        }
    }
    callers.forEach((caller, id) => end(id, caller, "refused", END_MS + DEADLINE_MS));
    return played;
}

function normal(random: decision.Random): number {
    return Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
}

/** Share of the requests with a result. */
export function share(played: readonly Played[], result: Played["result"]): number {
    return played.filter((request) => request.result === result).length / Math.max(1, played.length);
}
