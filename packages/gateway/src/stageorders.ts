import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import type * as contexts from "./context.js";
import * as engineCalls from "./enginecall.js";
import type * as ports from "./ports.js";

/** Period in which the balance of the pools is looked at. */
const LOOK_PERIOD_MS = 1_000;
/** Pause after an order: an engine is away for seconds while it changes its stage. */
const ORDER_PAUSE_MS = 9_000;
/** Part of a registration's life for which its host gives orders; the rest covers a call under way. */
const SAFE_SHARE = 0.6;
/** Time for an engine to accept an order. */
const ORDER_TIMEOUT_MS = 500;
/** Requests from which the demand is known. */
const LEAST_REQUESTS = 14;

/** What a service's requests cost, averaged. */
interface MeasuredDemand {
    requests: number;
    prefillMs: decision.Milliseconds;
    decodeMs: decision.Milliseconds;
    tokens: number;
}

/** Weight of the newest request in the averages. */
const DEMAND_WEIGHT = 0.05;

/**
 * Orders engines to another stage when one pool binds while the other has engines to spare. One host gives orders at a
 * time: the one that has been registered longest. Its registration's revision is its fencing number.
 */
export class StageOrders {
    private readonly demands = new Map<string, MeasuredDemand>();
    private oldestSince: decision.Milliseconds | undefined;
    private pausedUntil = -Infinity;

    constructor(private readonly context: contexts.GatewayContext, private readonly registry: ports.Registry) {
        lifecycle.every(context.scope, LOOK_PERIOD_MS, () => void this.look());
    }

    /** Takes in what a request of a service cost. */
    learn(service: string, demand: dispatch.StageDemand): void {
        const known = this.demands.get(service);
        if (!known) {
            this.demands.set(service, { requests: 1, ...demand });
            return;
        }
        const average = (mean: number, value: number) => mean * (1 - DEMAND_WEIGHT) + value * DEMAND_WEIGHT;
        known.requests++;
        known.prefillMs = average(known.prefillMs, demand.prefillMs);
        known.decodeMs = average(known.decodeMs, demand.decodeMs);
        known.tokens = average(known.tokens, demand.tokens);
    }

    private async look(): Promise<void> {
        const { clock, pool } = this.context;
        if (clock() < this.pausedUntil || !this.registrationHolds()) {
            return;
        }
        for (const [service, demand] of this.demands) {
            const memoryTokens = this.memoryOf(service);
            if (memoryTokens === undefined || demand.requests < LEAST_REQUESTS) {
                continue;
            }
            const candidates = pool.candidates(service);
            const change = dispatch.chooseStageChange(
                candidates.map(({ upstream }) => upstream),
                memoryTokens,
                demand,
                (upstream) => candidates.find((candidate) => candidate.upstream === upstream)?.health.inFlight ?? 0,
            );
            if (change) {
                await this.order(service, change, demand);
                return;
            }
        }
    }

    /** Whether this host's registration holds by every clock: a suspended machine's monotonic clock stands still. */
    private registrationHolds(): boolean {
        const own = this.registry.registration();
        if (!own) {
            return false;
        }
        const age = Math.max(
            this.context.clock() - own.renewedAt,
            Math.abs(this.context.timeOfDay() - own.renewedAtTimeOfDay),
        );
        return age < own.lifeMs * SAFE_SHARE;
    }

    /** This host's fencing number if it is the one that gives orders, else undefined. */
    private async fencingNumber(): Promise<number | undefined> {
        const { clock, settings } = this.context;
        const read = await this.registry.readRegistrations();
        if (read.effect !== decision.Effect.Known) {
            return undefined;
        }
        const self = `${settings.peers.address}:${settings.peers.port}`;
        const oldest = read.value.reduce((one, other) => other.revision < one.revision ? other : one);
        if (oldest.address !== self) {
            this.oldestSince = undefined;
            return undefined;
        }
        this.oldestSince ??= clock();
        // The host before this one may have given an order just before its registration ended.
        return clock() - this.oldestSince >= settings.orderTurnMs ? oldest.revision : undefined;
    }

    private async order(
        service: string,
        change: dispatch.StageChange,
        demand: dispatch.StageDemand,
    ): Promise<void> {
        const { clock, log, settings, wire } = this.context;
        this.pausedUntil = clock() + LOOK_PERIOD_MS * 2;
        const fencingNumber = await this.fencingNumber();
        if (fencingNumber === undefined || !this.registrationHolds()) {
            return;
        }
        this.pausedUntil = clock() + ORDER_PAUSE_MS;
        const call = wire.orderStage({ stage: change.stage, holder: settings.host, fencingNumber });
        const outcome = await engineCalls.callEngine(this.context, change.upstream, call, ORDER_TIMEOUT_MS);
        log.notice("engine ordered to another stage", {
            service,
            upstream: change.upstream.id,
            stage: change.stage,
            fencingNumber,
            prefillMs: Math.round(demand.prefillMs),
            decodeMs: Math.round(demand.decodeMs),
            tokens: Math.round(demand.tokens),
            outcome: outcome.effect === decision.Effect.Known ? outcome.value.status : outcome.reason,
        });
    }

    private memoryOf(service: string): number | undefined {
        return this.context.knowledge.inForce()?.table.serviceByName.get(service)?.engine?.memoryTokens;
    }
}
