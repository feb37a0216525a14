import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as orders from "../src/index.js";

const GOLDEN = path.resolve(import.meta.dirname, "../../test/golden");
const { EventKind, OrderResult } = orders;
const LONGEST_ORDER_MS = 5_000;
const SIZE = { sizeBytes: 20e9, rateBytesPerSecond: 10e9 };

function settingsOf(checksFencing: boolean): orders.RollingSettings {
    return { pool: "redac", checksFencing, longestOrderMs: LONGEST_ORDER_MS, longestDrainMs: 30_000 };
}

function engine(name: string, overrides: Partial<orders.SeenEngine> = {}): orders.SeenEngine {
    return {
        name,
        decodes: true,
        model: "redac",
        version: "1",
        slots: 20,
        running: 0,
        usable: true,
        ...overrides,
    };
}

function observe(
    right: orders.OrderRight | undefined,
    engines: readonly orders.SeenEngine[],
    minimumSlots = 20,
): orders.RollingEvent {
    const seen = { right, engines, wanted: { redac: "2" }, minimumSlots, weightShare: 1 };
    return { kind: EventKind.Observed, seen };
}

const WEIGHTS: orders.RollingEvent = { kind: EventKind.WeightsRead, model: "redac", version: "2", weights: SIZE };

/** Runs events in turn and gathers the actions of each. */
class Owner {
    state: orders.RollingState;
    readonly inputs: decision.SessionInput<orders.RollingSettings, orders.RollingEvent>[];

    constructor(checksFencing: boolean) {
        this.state = orders.startRolling(settingsOf(checksFencing));
        this.inputs = [{ now: 0, settings: this.state.settings }];
    }

    happen(now: number, event: orders.RollingEvent): readonly orders.RollingAction[] {
        this.inputs.push({ now, event });
        const next = orders.decideRolling(this.state, event, now);
        this.state = next.state;
        return next.actions;
    }

    /** Brings the owner to its first order. */
    untilOrdered(right: (now: number) => orders.OrderRight, engines: readonly orders.SeenEngine[]): number {
        this.happen(0, observe(right(0), engines));
        this.happen(0, WEIGHTS);
        for (let now = 1_000; now < 60_000; now += 1_000) {
            if (this.happen(now, observe(right(now), engines)).length > 0) {
                return now;
            }
        }
        return Infinity;
    }
}

const lasting = (now: number): orders.OrderRight => ({ fencing: 3, until: now + 9_000 });
const TWO = [engine("a"), engine("b")];

function orderId(owner: Owner): string {
    return owner.state.change?.orderId ?? "";
}

describe("a rolling change of a model version", () => {
    it("changes one engine after the other and keeps the golden session", () => {
        const owner = new Owner(true);
        const first = owner.untilOrdered(lasting, TWO);
        owner.happen(first, { kind: EventKind.OrderAnswered, orderId: orderId(owner), result: OrderResult.Taken });
        chai.expect(owner.happen(first + 1_000, observe(lasting(first + 1_000), TWO))).to.deep.equal([]);
        const half = [engine("a", { version: "2" }), engine("b", { running: 4 })];
        owner.happen(first + 2_500, observe(lasting(first + 2_500), half));
        chai.expect(owner.state.change?.phase).to.equal(orders.Phase.Draining);
        const drained = [engine("a", { version: "2" }), engine("b")];
        const actions = owner.happen(first + 3_000, observe(lasting(first + 3_000), drained));
        chai.expect(actions).to.have.length(1);
        owner.happen(first + 3_000, {
            kind: EventKind.OrderAnswered,
            orderId: orderId(owner),
            result: OrderResult.Taken,
        });
        const done = [engine("a", { version: "2" }), engine("b", { version: "2" })];
        chai.expect(owner.happen(first + 6_000, observe(lasting(first + 6_000), done))).to.deep.equal([]);
        chai.expect(owner.state.change).to.equal(undefined);
        const lines = decision.runSession(orders.rollingModule, owner.inputs);
        testing.expectGolden(path.join(GOLDEN, "rolling.jsonl"), lines);
    });

    it("leaves a pool alone that has no slots to spare", () => {
        const owner = new Owner(true);
        chai.expect(owner.untilOrdered(lasting, [engine("a")])).to.equal(Infinity);
    });

    it("does not count engines that leave as slots to spare", () => {
        const owner = new Owner(true);
        chai.expect(owner.untilOrdered(lasting, [engine("a"), engine("b", { usable: false })])).to.equal(Infinity);
    });

    it("repeats an unanswered order under the same name", () => {
        const owner = new Owner(true);
        const first = owner.untilOrdered(lasting, TWO);
        const id = orderId(owner);
        owner.happen(first + 5_000, { kind: EventKind.OrderAnswered, orderId: id, result: OrderResult.Unknown });
        chai.expect(owner.happen(first + 6_000, observe(lasting(first + 6_000), TWO))).to.deep.equal([]);
        const [again] = owner.happen(first + 8_000, observe(lasting(first + 8_000), TWO));
        chai.expect(again).to.include({ kind: orders.ActionKind.SendOrder, orderId: id });
    });

    it("gives no order under a right that has passed, as after a pause", () => {
        const owner = new Owner(true);
        const right = { fencing: 3, until: 4_000 };
        chai.expect(owner.untilOrdered(() => right, TWO)).to.equal(Infinity);
    });

    it("stops when an engine has seen a newer owner, and starts anew under a new right", () => {
        const owner = new Owner(true);
        const first = owner.untilOrdered(lasting, TWO);
        owner.happen(first, { kind: EventKind.OrderAnswered, orderId: orderId(owner), result: OrderResult.Stale });
        for (let now = first + 1_000; now < first + 60_000; now += 1_000) {
            chai.expect(owner.happen(now, observe(lasting(now), TWO))).to.deep.equal([]);
        }
        const later = first + 60_000;
        owner.happen(later, observe({ fencing: 5, until: later + 9_000 }, TWO));
        chai.expect(owner.state.superseded).to.equal(false);
    });
});

describe("orders to engines that ignore fencing", () => {
    it("are sent only if they end before the right does", () => {
        const short = (now: number) => ({ fencing: 3, until: now + LONGEST_ORDER_MS - 1 });
        chai.expect(new Owner(false).untilOrdered(short, TWO)).to.equal(Infinity);
        const enough = (now: number) => ({ fencing: 3, until: now + LONGEST_ORDER_MS });
        chai.expect(new Owner(false).untilOrdered(enough, TWO)).to.be.below(60_000);
    });

    it("are sent by a new owner only after the former one's last order has ended", () => {
        chai.expect(new Owner(false).untilOrdered(lasting, TWO)).to.be.at.least(LONGEST_ORDER_MS);
    });
});

describe("the sweep of engine memory", () => {
    const start = orders.startSweep({ graceMs: 30_000 });
    const held = (present: readonly string[]) => ({ engine: "a", holders: ["x/1", "y/1"], present });

    it("releases what belongs to holders that are gone for the grace period", () => {
        const first = orders.decideSweep(start, held(["y/1"]), 0);
        chai.expect(first.actions).to.deep.equal([]);
        const second = orders.decideSweep(first.state, held(["y/1"]), 30_000);
        chai.expect(second.actions).to.deep.equal([{ engine: "a", release: ["x/1"] }]);
    });

    it("starts the period again when a holder comes back", () => {
        const first = orders.decideSweep(start, held(["y/1"]), 0);
        const back = orders.decideSweep(first.state, held(["x/1", "y/1"]), 20_000);
        const again = orders.decideSweep(back.state, held(["y/1"]), 40_000);
        chai.expect(again.actions).to.deep.equal([]);
    });
});
