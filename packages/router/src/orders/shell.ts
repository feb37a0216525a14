import * as configuration from "@citronlead/configuration";
import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membershipDecisions from "@citronlead/membership";
import * as orders from "@citronlead/orders";
import type * as configurations from "../configuration/shell.js";
import type * as contexts from "../context.js";
import type * as memberships from "../membership/shell.js";
import type * as upstreams from "../upstreams.js";
import * as calls from "./calls.js";
import * as sweeps from "./sweep.js";

/** The version changes that this host carries out in the pools that it owns. */
export interface Orders {
    /** One line for each version change in progress, for `citronlead status`. */
    readonly changesInProgress: () => readonly string[];
    /** The upstreams that get no new work, because an order to them is being prepared or carried out. */
    readonly excludedUpstreams: () => ReadonlySet<string>;
}

/** Intervals and time limits of orders and memory sweeps. */
export interface OrdersTiming {
    readonly periodMs: decision.Milliseconds;
    readonly longestOrderMs: decision.Milliseconds;
    readonly longestDrainMs: decision.Milliseconds;
    /** How long a router process must be missing from the roster before its engine memory is released. */
    readonly sweepGraceMs: decision.Milliseconds;
}

/** The timing in production. An order must take less time than a right to act has left after its latest renewal. */
export const DEFAULT_TIMING: OrdersTiming = {
    periodMs: 1_000,
    longestOrderMs: 5_000,
    longestDrainMs: 120_000,
    sweepGraceMs: 60_000,
};

/** Older load reports are ignored. */
const MAX_REPORT_AGE_MS = 5_000;

/** The owner of a pool's first shard gives the orders for the whole pool. */
const ORDERS_SHARD = 0;

type Pool = configuration.ModelPool;

/** Starts version changes in owned pools, and sweeps that release engine memory of router processes that are gone. */
export function startOrders(
    context: contexts.Context,
    inForce: configurations.ConfigurationInForce,
    membership: memberships.Membership,
    upstreamList: upstreams.Upstreams,
    timing: OrdersTiming = DEFAULT_TIMING,
): Orders {
    const shell = new OrdersShell(context, inForce, membership, upstreamList, timing);
    lifecycle.every(context.scope, timing.periodMs, () => shell.checkPools());
    return { changesInProgress: () => shell.changesInProgress(), excludedUpstreams: () => shell.excludedUpstreams() };
}

/** Feeds the state of each owned pool to the orders module, and carries out its actions. */
class OrdersShell {
    private readonly pools = new Map<string, orders.RolloutState>();
    private readonly memorySweep: sweeps.MemorySweep;

    constructor(
        private readonly context: contexts.Context,
        private readonly inForce: configurations.ConfigurationInForce,
        private readonly membership: memberships.Membership,
        private readonly upstreamList: upstreams.Upstreams,
        private readonly timing: OrdersTiming,
    ) {
        this.memorySweep = sweeps.makeMemorySweep(context, membership, upstreamList, timing.sweepGraceMs);
    }

    checkPools(): void {
        const fleet = this.inForce.current()?.fleet;
        if (!fleet) {
            return;
        }
        for (const [name, pool] of Object.entries(fleet.pools)) {
            if (pool.kind === configuration.PoolKind.Model) {
                this.checkPool(fleet, name, pool);
            }
        }
    }

    changesInProgress(): readonly string[] {
        return [...this.pools.values()].flatMap(({ settings, change }) =>
            change ? [`${settings.pool}: ${change.engine} to ${change.model} ${change.version}, ${change.phase}`] : []
        );
    }

    excludedUpstreams(): ReadonlySet<string> {
        return new Set([...this.pools.values()].flatMap(({ change }) => change ? [change.engine] : []));
    }

    private checkPool(fleet: configuration.Fleet, name: string, pool: Pool): void {
        const right = this.rightFor(name);
        if (!right && !this.pools.has(name)) {
            return;
        }
        const modelPools = Object.values(fleet.pools).filter((candidate) =>
            candidate.kind === configuration.PoolKind.Model
        );
        const observation: orders.Observation = {
            right,
            engines: this.upstreamList.all(name).flatMap((engine) => this.observeEngine(engine)),
            wanted: wantedVersions(fleet, name),
            minimumSlots: pool.minimumSlots,
            weightShare: 1 / modelPools.length,
        };
        this.dispatch(name, pool, { kind: orders.EventKind.Observed, seen: observation });
        if (right) {
            this.memorySweep.sweepNextEngine(name);
        }
        else {
            this.pools.delete(name);
        }
    }

    private rightFor(pool: string): memberships.PartitionRight | undefined {
        return this.membership.rightFor(membershipDecisions.poolPartition(pool, ORDERS_SHARD));
    }

    private observeEngine(engine: upstreams.KnownUpstream): readonly orders.ObservedEngine[] {
        const { load, loadReadAt } = engine;
        if (!load) {
            return [];
        }
        const fresh = loadReadAt !== undefined && this.context.clock() - loadReadAt < MAX_REPORT_AGE_MS;
        const usable = fresh && !this.upstreamList.isDeparting(engine);
        const { model, version, slots, running } = load;
        return [{ name: engine.name, decodes: calls.isDecodeEngine(load), model, version, slots, running, usable }];
    }

    private dispatch(name: string, pool: Pool, event: orders.RolloutEvent): void {
        const { longestOrderMs, longestDrainMs } = this.timing;
        const checksFencing = pool.fencing === configuration.Fencing.Checked;
        const former = this.pools.get(name)
            ?? orders.startRollout({ pool: name, checksFencing, longestOrderMs, longestDrainMs });
        const next = orders.decideRollout(former, event, this.context.clock());
        this.pools.set(name, next.state);
        this.logChange(name, former.change, next.state.change);
        next.actions.forEach((action) => void this.carryOut(name, pool, action));
    }

    private logChange(
        pool: string,
        former: orders.VersionChange | undefined,
        next: orders.VersionChange | undefined,
    ): void {
        if (former?.phase !== next?.phase || former?.engine !== next?.engine) {
            const { engine, version } = next ?? former ?? {};
            this.context.log.info({ pool, engine, version, phase: next?.phase ?? "ended" }, "model version change");
        }
    }

    private async carryOut(name: string, pool: Pool, action: orders.RolloutAction): Promise<void> {
        const event = action.kind === orders.ActionKind.ReadWeights
            ? await calls.readWeights(this.context, action)
            : await this.sendOrder(name, action);
        if (event && this.pools.has(name)) {
            this.dispatch(name, pool, event);
        }
    }

    /** Sends an order, unless the right to act was lost since the decision. */
    private sendOrder(name: string, action: calls.SendOrderAction): Promise<orders.RolloutEvent | undefined> {
        const target = this.upstreamList.find(action.engine);
        const right = this.rightFor(name);
        return target && right?.fencing === action.fencing
            ? calls.sendOrder(this.context, target, action)
            : Promise.resolve(undefined);
    }
}

/** The configured version of each model of a pool. */
function wantedVersions(fleet: configuration.Fleet, pool: string): Readonly<Record<string, string>> {
    const models = Object.entries(fleet.models).filter(([, model]) => model.pool === pool);
    return Object.fromEntries(models.flatMap(([name, model]) => {
        const version = fleet.profiles[model.profile]?.modelVersions[name];
        return version === undefined ? [] : [[name, version]];
    }));
}
