import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as background from "../background.js";
import type * as contexts from "../context.js";
import * as controls from "../control.js";

/** Key of the host that may order stages, for rendezvous hashing. */
const DUTY = "stages";
const CHECK_PERIOD_MS = 1_000;
/** Pause between attempts to take the duty while another host has it. */
const DUTY_RETRY_MS = 10_000;
/** Time from taking the duty to the first order: engines may carry out those of the former holder up to 12 s late. */
const TAKEOVER_MS = 13_000;
/** Age of the proof of the duty beyond which no order is sent. */
const MAX_PROOF_AGE_MS = 500;
/** Time for an engine to finish its work and change its stage; no other engine is ordered meanwhile. */
const CHANGE_MS = 15_000;
const ORDER_TIMEOUT_MS = 500;

/**
 * Changes the stages of engines where that serves more requests. One host of the fleet does so, under a lease in the
 * store, and each incarnation of an engine accepts at most one order.
 */
export class StageKeeper {
    private readonly balances = new Map<string, dispatch.StageBalance>();
    private readonly ordered = new Map<string, decision.Milliseconds>();
    private fencing: number | undefined;
    private heldSince: decision.Milliseconds = Infinity;
    private triedAt: decision.Milliseconds = -Infinity;
    private checking = false;

    constructor(private readonly context: contexts.GatewayContext) {
        lifecycle.every(
            context.scope,
            CHECK_PERIOD_MS,
            () => background.runInBackground(context.log, "check stages", () => this.check()),
        );
    }

    /** What is known about the use of a service's engines. */
    balanceOf(service: string): dispatch.StageBalance {
        const balance = this.balances.get(service) ?? new dispatch.StageBalance();
        this.balances.set(service, balance);
        return balance;
    }

    private async check(): Promise<void> {
        if (this.checking) {
            return;
        }
        this.checking = true;
        try {
            await this.checkOnce();
        }
        finally {
            this.checking = false;
        }
    }

    private async checkOnce(): Promise<void> {
        const { clock, settings, storeView } = this.context;
        const self = `${settings.peers.address}:${settings.peers.port}`;
        if (this.fencing === undefined) {
            const isCandidate = dispatch.ownerOf(storeView.hosts(), DUTY) === self;
            if (isCandidate && clock() - this.triedAt >= DUTY_RETRY_MS) {
                await this.proveDuty();
            }
            return;
        }
        if (clock() - this.heldSince < TAKEOVER_MS) {
            return;
        }
        const services = storeView.activeConfiguration()?.table.serviceByName.values() ?? [];
        for (const { name, engine } of services) {
            const candidate = engine && this.chooseEngine(name, engine);
            if (candidate) {
                await this.order(name, candidate);
                return;
            }
        }
    }

    private chooseEngine(service: string, limits: routing.EngineLimits): dispatch.Candidate | undefined {
        const { clock, pool } = this.context;
        const now = clock();
        const candidates = pool.candidates(service, now);
        const engines = candidates.map(({ upstream }) => {
            const incarnation = routing.incarnationOf(upstream);
            const isPrefill = upstream.stage === routing.EngineStage.Prefill;
            const orderedAt = this.ordered.get(incarnation);
            const isSettled = now - (orderedAt ?? -Infinity) >= CHANGE_MS;
            return { incarnation, isPrefill, isSettled, mayChange: orderedAt === undefined };
        });
        const capacity = { slots: limits.slots, memoryTokens: limits.kvCacheTokens };
        const chosen = this.balanceOf(service).engineToChange(engines, capacity, now);
        return chosen && candidates.find(({ upstream }) => routing.incarnationOf(upstream) === chosen.incarnation);
    }

    /**
     * Takes the duty or proves that this host still has it. Returns the fencing token; undefined without a proof. A call
     * that fails proves nothing and ends nothing: the duty's key lasts as long as the host's lease.
     */
    private async proveDuty(): Promise<number | undefined> {
        const { clock, log, settings, storeView } = this.context;
        this.triedAt = clock();
        const outcome = await storeView.holdDuty(settings.host);
        if (outcome.effect !== decision.Effect.Known) {
            log.notice("stage duty not proved", { fencing: this.fencing, reason: outcome.reason });
            return undefined;
        }
        const fencing = outcome.value;
        if (fencing !== this.fencing) {
            log.notice(fencing === undefined ? "stage duty lost" : "stage duty taken", {
                fencing,
                formerFencing: this.fencing,
            });
            this.fencing = fencing;
            this.heldSince = clock();
        }
        return fencing;
    }

    private async order(service: string, candidate: dispatch.Candidate): Promise<void> {
        const { clock, log, settings, wireFormat } = this.context;
        const provedAt = clock();
        const fencing = this.fencing;
        if (fencing === undefined || await this.proveDuty() !== fencing || clock() - provedAt > MAX_PROOF_AGE_MS) {
            return;
        }
        const { upstream } = candidate;
        this.ordered.set(routing.incarnationOf(upstream), clock());
        const call = wireFormat.stageOrderCall({
            stage: routing.EngineStage.Decode,
            holder: settings.host,
            fencing,
            // An incarnation accepts one order in all, also if this one arrives late or another host has sent one.
            expectedOrders: 0,
        });
        const outcome = await controls.callEngine(this.context, candidate, call, {
            name: "order",
            purpose: controls.ControlPurpose.Work,
            timeoutMs: ORDER_TIMEOUT_MS,
        });
        log.notice("stage ordered", {
            service,
            upstream: upstream.id,
            fromStage: upstream.stage,
            stage: routing.EngineStage.Decode,
            fencing,
            proofAgeMs: Math.round(clock() - provedAt),
            outcome: outcome.effect === decision.Effect.Known ? outcome.value.status : outcome.reason,
        });
    }
}
