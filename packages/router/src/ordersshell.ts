import * as configuration from "@citronlead/configuration";
import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membership from "@citronlead/membership";
import * as orders from "@citronlead/orders";
import type * as configurations from "./configurationshell.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import * as calls from "./orderscalls.js";
import * as sweeps from "./orderssweep.js";
import type * as upstreams from "./upstreams.js";

/** What this host is doing about the upstreams that it owns. */
export interface Orders {
    /** One line for each change under way, for `citronlead status`. */
    readonly underWay: () => readonly string[];
    /** The upstreams that get no new work, because an order to them is about to be given or is carried out. */
    readonly heldBack: () => ReadonlySet<string>;
}

/** How orders and sweeps are paced, in milliseconds. */
export interface OrdersPace {
    readonly periodMs: decision.Milliseconds;
    readonly longestOrderMs: decision.Milliseconds;
    readonly longestDrainMs: decision.Milliseconds;
    /** How long a router process must be gone from the roster before its engine memory is released. */
    readonly sweepGraceMs: decision.Milliseconds;
}

/** The pace of a fleet. An order takes less time than a right has left when it was renewed last. */
export const DEFAULT_PACE: OrdersPace = {
    periodMs: 1_000,
    longestOrderMs: 5_000,
    longestDrainMs: 120_000,
    sweepGraceMs: 60_000,
};

/** A load report that is older does not count, in milliseconds. */
const REPORT_LIMIT_MS = 5_000;

/** The first shard of a pool stands for the pool: its owner gives the orders. */
const ORDERS_SHARD = 0;

type Pool = configuration.ModelPool;

/** Starts the work on owned upstreams: orders, version changes, sweeps of memory that nobody answers for. */
export function startOrders(
    context: contexts.Context,
    inForce: configurations.ConfigurationInForce,
    owners: memberships.Membership,
    known: upstreams.Upstreams,
    pace: OrdersPace = DEFAULT_PACE,
): Orders {
    const shell = new OrdersShell(context, inForce, owners, known, pace);
    lifecycle.every(context.scope, pace.periodMs, () => shell.look());
    return { underWay: () => shell.underWay(), heldBack: () => shell.heldBack() };
}

/** Shows the decisions about each owned pool what there is, and carries out what they ask for. */
class OrdersShell {
    private readonly pools = new Map<string, orders.RollingState>();
    private readonly sweep: sweeps.Sweep;

    constructor(
        private readonly context: contexts.Context,
        private readonly inForce: configurations.ConfigurationInForce,
        private readonly owners: memberships.Membership,
        private readonly known: upstreams.Upstreams,
        private readonly pace: OrdersPace,
    ) {
        this.sweep = sweeps.makeSweep(context, owners, known, pace.sweepGraceMs);
    }

    look(): void {
        const fleet = this.inForce.current()?.fleet;
        if (!fleet) {
            return;
        }
        for (const [name, pool] of Object.entries(fleet.pools)) {
            if (pool.kind === configuration.PoolKind.Model) {
                this.lookAt(fleet, name, pool);
            }
        }
    }

    underWay(): readonly string[] {
        return [...this.pools.values()].flatMap(({ settings, change }) =>
            change ? [`${settings.pool}: ${change.engine} to ${change.model} ${change.version}, ${change.phase}`] : []
        );
    }

    heldBack(): ReadonlySet<string> {
        return new Set([...this.pools.values()].flatMap(({ change }) => change ? [change.engine] : []));
    }

    private lookAt(fleet: configuration.Fleet, name: string, pool: Pool): void {
        const right = this.rightFor(name);
        if (!right && !this.pools.has(name)) {
            return;
        }
        const modelPools = Object.values(fleet.pools).filter((one) => one.kind === configuration.PoolKind.Model);
        const seen: orders.Observation = {
            right,
            engines: this.known.all(name).flatMap((engine) => this.describe(engine)),
            wanted: wantedVersions(fleet, name),
            minimumSlots: pool.minimumSlots,
            weightShare: 1 / modelPools.length,
        };
        this.dispatch(name, pool, { kind: orders.EventKind.Observed, seen });
        if (right) {
            this.sweep.next(name);
        }
        else {
            this.pools.delete(name);
        }
    }

    private rightFor(pool: string): memberships.PartitionRight | undefined {
        return this.owners.rightFor(membership.poolPartition(pool, ORDERS_SHARD));
    }

    private describe(engine: upstreams.KnownUpstream): readonly orders.SeenEngine[] {
        const { load, loadReadAt } = engine;
        if (!load) {
            return [];
        }
        const fresh = loadReadAt !== undefined && this.context.clock() - loadReadAt < REPORT_LIMIT_MS;
        const usable = fresh && !this.known.leaves(engine);
        const { model, version, slots, running } = load;
        return [{ name: engine.name, decodes: calls.decodes(load), model, version, slots, running, usable }];
    }

    private dispatch(name: string, pool: Pool, event: orders.RollingEvent): void {
        const { longestOrderMs, longestDrainMs } = this.pace;
        const checksFencing = pool.fencing === configuration.Fencing.Checked;
        const former = this.pools.get(name)
            ?? orders.startRolling({ pool: name, checksFencing, longestOrderMs, longestDrainMs });
        const next = orders.decideRolling(former, event, this.context.clock());
        this.pools.set(name, next.state);
        this.logChange(name, former.change, next.state.change);
        next.actions.forEach((action) => void this.carryOut(name, pool, action));
    }

    private logChange(pool: string, former: orders.Change | undefined, next: orders.Change | undefined): void {
        if (former?.phase !== next?.phase || former?.engine !== next?.engine) {
            const { engine, version } = next ?? former ?? {};
            this.context.log.info({ pool, engine, version, phase: next?.phase ?? "ended" }, "model version change");
        }
    }

    private async carryOut(name: string, pool: Pool, action: orders.RollingAction): Promise<void> {
        const event = action.kind === orders.ActionKind.ReadWeights
            ? await calls.readWeights(this.context, action)
            : await this.order(name, action);
        if (event && this.pools.has(name)) {
            this.dispatch(name, pool, event);
        }
    }

    /** Sends an order, unless the right passed between the decision and now. */
    private order(name: string, action: calls.SendOrder): Promise<orders.RollingEvent | undefined> {
        const target = this.known.find(action.engine);
        const right = this.rightFor(name);
        return target && right?.fencing === action.fencing
            ? calls.sendOrder(this.context, target, action)
            : Promise.resolve(undefined);
    }
}

/** The wanted version of each model of a pool. */
function wantedVersions(fleet: configuration.Fleet, pool: string): Readonly<Record<string, string>> {
    const models = Object.entries(fleet.models).filter(([, model]) => model.pool === pool);
    return Object.fromEntries(models.flatMap(([name, model]) => {
        const version = fleet.profiles[model.profile]?.modelVersions[name];
        return version === undefined ? [] : [[name, version]];
    }));
}
