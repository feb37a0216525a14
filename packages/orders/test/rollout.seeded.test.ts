import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as orders from "../src/index.js";

const SEEDS = Array.from({ length: 8 }, (_, index) => index + 1);
const STEP_MS = 250;
const RUN_MS = 600_000;
const RIGHT_DURATION_MS = 9_000;
const LONGEST_ORDER_MS = 5_000;
const SLOTS = 20;
/** Probability that a right is renewed at a step. It is low enough that a right sometimes nearly ends. */
const RENEWAL_CHANCE = 0.1;
/** The longest stall of a process between its decision and the sending of the order. */
const LONGEST_STALL_MS = 2_000;
const RATE_BYTES_PER_SECOND = 1.25e9;
const SIZES_BYTES = [0.2e9, 20e9];

interface FakeEngine {
    readonly name: string;
    readonly decodes: boolean;
    version: string;
    running: number;
    loadsUntil: number;
    highestFencing: number;
    readonly orderIds: Set<string>;
}

interface FakeOwner {
    state: orders.RolloutState;
    right: orders.Right | undefined;
    pausedUntil: number;
    /** Events that arrived during a pause. */
    readonly backlog: orders.RolloutEvent[];
}

/** Two hosts that own the pool in turn and may pause, and engines that may receive orders late. */
class Run {
    now = 0;
    wanted = "1";
    fencing = 0;
    changes = 0;
    readonly engines: FakeEngine[];
    readonly weights: orders.Weights;
    readonly owners: readonly FakeOwner[];
    private readonly timers: { at: number; run: () => void; }[] = [];

    constructor(readonly random: decision.Random, readonly checksFencing: boolean) {
        const settings = {
            pool: "redac",
            checksFencing,
            longestOrderMs: LONGEST_ORDER_MS,
            longestDrainMs: 10_000,
        };
        this.weights = { sizeBytes: random.pick(SIZES_BYTES), rateBytesPerSecond: RATE_BYTES_PER_SECOND };
        const count = random.integer(4, 9);
        this.engines = Array.from({ length: count }, (_, index) => ({
            ...{ name: `engine-${index}`, decodes: index >= 2, version: "1", running: 0, loadsUntil: 0 },
            ...{ highestFencing: 0, orderIds: new Set<string>() },
        }));
        this.owners = [0, 1].map(() => ({
            ...{ state: orders.startRollout(settings), right: undefined, pausedUntil: 0, backlog: [] },
        }));
    }

    get minimumSlots(): number {
        return SLOTS * (this.engines.filter((engine) => engine.decodes).length - 1);
    }

    step(): void {
        this.now += STEP_MS;
        this.timers.filter((item) => item.at <= this.now).forEach((item) => {
            this.timers.splice(this.timers.indexOf(item), 1);
            item.run();
        });
        this.renewOrPassRight();
        this.engines.forEach((engine) => engine.running = this.random.chance(0.5) ? 0 : 3);
        this.owners.forEach((owner) => this.observe(owner));
        const inService = this.engines.filter((engine) => engine.decodes && engine.loadsUntil <= this.now);
        decision.invariant(inService.length * SLOTS >= this.minimumSlots, "too few slots in service");
    }

    /** Renews the right while its holder runs, gives one to a random host after it has ended, and sometimes pauses a host. */
    private renewOrPassRight(): void {
        const holder = this.owners.find((owner) => owner.right !== undefined && owner.right.until > this.now);
        if (holder?.right && holder.pausedUntil <= this.now && this.random.chance(RENEWAL_CHANCE)) {
            holder.right = { ...holder.right, until: this.now + RIGHT_DURATION_MS };
        }
        else if (!holder) {
            const next = this.random.pick(this.owners);
            this.owners.forEach((owner) => owner.right = undefined);
            next.right = { fencing: ++this.fencing, until: this.now + RIGHT_DURATION_MS };
        }
        if (this.random.chance(0.01)) {
            const paused = this.random.pick(this.owners);
            paused.pausedUntil = this.now + this.random.exponential(15_000);
        }
    }

    private observe(owner: FakeOwner): void {
        const engines = this.engines.map(({ name, decodes, version, running, loadsUntil }) => ({
            ...{ name, decodes, model: "redac", version, slots: SLOTS, running },
            usable: loadsUntil <= this.now || this.random.chance(0.5),
        }));
        const right = owner.right && owner.right.until > this.now ? owner.right : undefined;
        const seen = {
            ...{ right, engines, wanted: { redac: this.wanted }, weightShare: 1 },
            minimumSlots: this.minimumSlots,
        };
        this.deliver(owner, { kind: orders.EventKind.Observed, seen });
    }

    private deliver(owner: FakeOwner, event: orders.RolloutEvent): void {
        if (owner.pausedUntil > this.now) {
            if (event.kind !== orders.EventKind.Observed) {
                owner.backlog.push(event);
            }
            return;
        }
        for (const pending of [...owner.backlog.splice(0), event]) {
            const next = orders.decideRollout(owner.state, pending, this.now);
            owner.state = next.state;
            next.actions.forEach((action) => this.carryOut(owner, action));
        }
    }

    private carryOut(owner: FakeOwner, action: orders.RolloutAction): void {
        if (action.kind === orders.ActionKind.ReadWeights) {
            const { model, version } = action;
            this.deliver(owner, { kind: orders.EventKind.WeightsRead, model, version, weights: this.weights });
            return;
        }
        const { orderId } = action;
        const answer = (result: orders.OrderResult) =>
            this.deliver(owner, { kind: orders.EventKind.OrderAnswered, orderId, result });
        const stallMs = this.random.chance(0.2) ? this.random.fraction() * LONGEST_STALL_MS : 0;
        const arrivalMs = stallMs + this.random.fraction() * action.timeoutMs;
        const lost = this.random.chance(0.2);
        if (!this.random.chance(0.1)) {
            this.schedule(arrivalMs, () => {
                const result = this.applyOrder(action);
                if (!lost) {
                    answer(result);
                }
            });
        }
        this.schedule(stallMs + action.timeoutMs, () => answer(orders.OrderResult.Unknown));
    }

    private schedule(afterMs: number, run: () => void): void {
        this.timers.push({ at: this.now + afterMs, run });
    }

    private applyOrder(
        action: Extract<orders.RolloutAction, { kind: orders.ActionKind.SendOrder; }>,
    ): orders.OrderResult {
        const engine = this.engines.find((candidate) => candidate.name === action.engine) as FakeEngine;
        if (this.checksFencing && action.fencing < engine.highestFencing) {
            return orders.OrderResult.Stale;
        }
        const highestFencing = Math.max(...this.engines.map((candidate) => candidate.highestFencing));
        decision.invariant(
            this.checksFencing || action.fencing >= highestFencing,
            () => `an order with fencing token ${action.fencing} took effect after one with ${highestFencing}`,
        );
        engine.highestFencing = action.fencing;
        if (!engine.orderIds.has(action.orderId) && engine.version !== action.version) {
            engine.orderIds.add(action.orderId);
            const loadMs = this.weights.sizeBytes / this.weights.rateBytesPerSecond * decision.SECOND_MS;
            engine.loadsUntil = this.now + loadMs;
            this.changes++;
            this.schedule(loadMs, () => engine.version = action.version);
        }
        return orders.OrderResult.Taken;
    }
}

describe("rolling version changes under random faults", () => {
    for (const checksFencing of [true, false]) {
        it(`keep slots in service and take orders from one owner, fencing ${checksFencing ? "checked" : "ignored"}`, () => {
            let changes = 0;
            testing.forEachSeed(SEEDS, (seed) => {
                const run = new Run(decision.seeded(seed), checksFencing);
                while (run.now < RUN_MS) {
                    run.step();
                    run.wanted = run.random.chance(0.005) ? String(run.random.integer(2, 99)) : run.wanted;
                }
                changes += run.changes;
            });
            chai.expect(changes).to.be.above(0);
        });
    }
});
