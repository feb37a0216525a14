import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import type * as contexts from "./context.js";
import * as messages from "./messages.js";

/** Time in which hosts report their runs before the first turn is decided. */
const SETTLE_MS = 10;
/** Time over which requests that arrive together are decided on together. */
const DECIDE_DELAY_MS = 2;
/** Period at which waiters are decided on though nothing is reported: messages may be lost, and runs be unknown. */
const DECIDE_PERIOD_MS = 25;
/** Interval at which hosts are told that requests wait, and report all of their runs. */
const CONTENTION_PERIOD_MS = 1_000;
/** How long hosts ask for turns after they were told. */
export const CONTENTION_MS = 2_500;
/** How long a waiter is kept of which its host no longer reports. */
const RENEWAL_MS = 1_000;
/** Time from a reservation to the first event of an average request: a prefill and the first decode step. */
const FIRST_EVENT_DELAY_MS = 220;
/** How long requests that missed their target keep waiting for room that no other request needs. */
const MAX_LATE_WAIT_MS = 1_500;
/** Multiple of the time that a decision took in which there is no further one. */
const REST_FACTOR = 10;
/** Maximum number of waiters of a service. */
const MAX_WAITERS = 2_000;

/** What the owner of an order of turns uses. */
export type TurnOwnerContext = Pick<
    contexts.GatewayContext,
    "scope" | "clock" | "random" | "log" | "metrics" | "pool" | "storeView"
>;

/** Sends a message about turns to a host. */
export type SendTurnMessage = (message: messages.TurnMessage, host: string) => void;

interface OwnedService {
    readonly order: dispatch.TurnOrder;
    /** Urgencies that requests have had, for the metrics. */
    readonly urgencies: Set<number>;
    contentionSentAt: decision.Milliseconds;
    decideAt: decision.Milliseconds;
    /** Until when nothing is decided, so that decisions take a bounded share of the processor. */
    restsUntil: decision.Milliseconds;
}

/** Decides turns for the services that this host owns: keeps their orders, tells hosts of contention, sends decisions. */
export class TurnOwner {
    private readonly services = new Map<string, OwnedService>();

    constructor(private readonly context: TurnOwnerContext, private readonly send: SendTurnMessage) {}

    /** Handles a request that asks for its turn. */
    receiveAsk(message: Extract<messages.TurnMessage, { kind: messages.MessageKind.TurnAsk; }>, host: string): void {
        const now = this.context.clock();
        const { service, id, targetInMs, deadlineInMs, avoided, ...request } = message;
        const owned = this.serviceOf(service);
        if (owned.order.idleMs(now) > RENEWAL_MS) {
            // Hosts may have stopped reporting; they report all runs once they are told that requests wait.
            owned.order.room.clear();
        }
        const decided = owned.order.ask({
            ...request,
            id,
            host,
            targetAt: now + targetInMs,
            deadlineAt: now + deadlineInMs,
            avoided: new Set(avoided),
        }, now);
        this.announceContention(service, owned, now);
        if (decided) {
            this.send(messages.turnMessage(service, id, decided), host);
            return;
        }
        owned.urgencies.add(request.urgency);
        this.scheduleDecision(service, owned, Math.max(DECIDE_DELAY_MS, owned.order.settlesInMs(now)));
    }

    /** Handles a turn that a request could not use. */
    receiveReturned(
        { service, id, problem }: Extract<messages.TurnMessage, { kind: messages.MessageKind.TurnReturned; }>,
    ): void {
        const owned = this.services.get(service);
        if (owned) {
            owned.order.returnTurn(id, problem, this.context.clock());
            this.scheduleDecision(service, owned, 0);
        }
    }

    /** Handles the runs that a host reports. */
    receiveRuns({ service, begun, ended }: Extract<messages.TurnMessage, { kind: messages.MessageKind.Runs; }>): void {
        const owned = this.services.get(service);
        if (!owned) {
            return;
        }
        const now = this.context.clock();
        begun.forEach(({ endsInMs, ...run }) => owned.order.room.take({ ...run, endsAt: now + endsInMs }));
        ended.forEach((id) => {
            owned.order.room.release(id);
            owned.order.withdraw(id);
        });
        if (ended.length > 0 && owned.order.size > 0) {
            this.scheduleDecision(service, owned, 0);
        }
    }

    private serviceOf(service: string): OwnedService {
        const known = this.services.get(service) ?? {
            order: new dispatch.TurnOrder({
                firstResultDelayMs: FIRST_EVENT_DELAY_MS,
                maxLateWaitMs: MAX_LATE_WAIT_MS,
                maxWaiters: MAX_WAITERS,
                settleMs: SETTLE_MS,
                renewalMs: RENEWAL_MS,
                random: this.context.random,
            }),
            urgencies: new Set<number>(),
            contentionSentAt: -Infinity,
            decideAt: Infinity,
            restsUntil: -Infinity,
        };
        this.services.set(service, known);
        return known;
    }

    private announceContention(service: string, owned: OwnedService, now: decision.Milliseconds): void {
        const { log, storeView } = this.context;
        if (now - owned.contentionSentAt < CONTENTION_PERIOD_MS) {
            return;
        }
        if (now - owned.contentionSentAt > CONTENTION_MS) {
            log.notice("requests compete for room", { service, hosts: storeView.hosts().length });
        }
        owned.contentionSentAt = now;
        const message = { kind: messages.MessageKind.Contention, service, forMs: CONTENTION_MS } as const;
        storeView.hosts().forEach((host) => this.send(message, host));
    }

    private scheduleDecision(service: string, owned: OwnedService, delayMs: decision.Milliseconds): void {
        const { clock, scope } = this.context;
        const now = clock();
        const at = Math.max(now + delayMs, owned.restsUntil);
        if (at >= owned.decideAt) {
            return;
        }
        owned.decideAt = at;
        lifecycle.after(scope, at - now, () => {
            // A later call may have been overtaken by one that was scheduled for an earlier time.
            if (owned.decideAt === at) {
                owned.decideAt = Infinity;
                this.decide(service, owned);
            }
        });
    }

    private decide(service: string, owned: OwnedService): void {
        const { clock, metrics, pool, storeView } = this.context;
        const now = clock();
        const engine = storeView.activeConfiguration()?.table.serviceByName.get(service)?.engine;
        const places = pool.candidates(service, now)
            .filter(({ upstream, health }) =>
                upstream.stage !== routing.EngineStage.Prefill && !health.isSuspended(now)
            )
            .map(({ upstream }) => ({
                name: routing.incarnationOf(upstream),
                capacity: engine?.kvCacheTokens ?? 0,
                availabilityZone: upstream.availabilityZone,
            }));
        owned.order.room.setPlaces(places);
        for (const { request, turn } of owned.order.decide(now)) {
            this.send(messages.turnMessage(service, request.id, turn), request.host);
            metrics.turns.inc({ service, urgency: request.urgency, decision: turn.kind });
        }
        const sizes = owned.order.sizeByUrgency();
        owned.urgencies.forEach((urgency) => metrics.turnWaiters.set({ service, urgency }, sizes.get(urgency) ?? 0));
        const decidedAt = clock();
        owned.restsUntil = decidedAt + REST_FACTOR * (decidedAt - now);
        if (owned.order.size > 0) {
            this.scheduleDecision(service, owned, DECIDE_PERIOD_MS);
        }
    }
}
