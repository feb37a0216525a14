import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as orders from "../src/index.js";

const GOLDEN = path.resolve(import.meta.dirname, "../../test/golden");
const { EventKind, OrderResult } = orders;
const LONGEST_ORDER_MS = 5_000;
const WEIGHTS = { sizeBytes: 20e9, rateBytesPerSecond: 10e9 };

function settingsOf(checksFencing: boolean): orders.RolloutSettings {
    return { pool: "redac", checksFencing, longestOrderMs: LONGEST_ORDER_MS, longestDrainMs: 30_000 };
}

function engine(name: string, overrides: Partial<orders.ObservedEngine> = {}): orders.ObservedEngine {
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
    right: orders.Right | undefined,
    engines: readonly orders.ObservedEngine[],
    minimumSlots = 20,
): orders.RolloutEvent {
    const seen = { right, engines, wanted: { redac: "2" }, minimumSlots, weightShare: 1 };
    return { kind: EventKind.Observed, seen };
}

const WEIGHTS_READ: orders.RolloutEvent = {
    kind: EventKind.WeightsRead,
    model: "redac",
    version: "2",
    weights: WEIGHTS,
};

/** Runs the decisions on one event at a time and records the events for the golden session. */
class Owner {
    state: orders.RolloutState;
    readonly inputs: decision.SessionInput<orders.RolloutSettings, orders.RolloutEvent>[];

    constructor(checksFencing: boolean) {
        this.state = orders.startRollout(settingsOf(checksFencing));
        this.inputs = [{ now: 0, settings: this.state.settings }];
    }

    dispatch(now: number, event: orders.RolloutEvent): readonly orders.RolloutAction[] {
        this.inputs.push({ now, event });
        const next = orders.decideRollout(this.state, event, now);
        this.state = next.state;
        return next.actions;
    }

    /** Runs until the first order is sent and returns the time. Returns Infinity if none is sent within a minute. */
    runUntilFirstOrder(right: (now: number) => orders.Right, engines: readonly orders.ObservedEngine[]): number {
        this.dispatch(0, observe(right(0), engines));
        this.dispatch(0, WEIGHTS_READ);
        for (let now = 1_000; now < 60_000; now += 1_000) {
            if (this.dispatch(now, observe(right(now), engines)).length > 0) {
                return now;
            }
        }
        return Infinity;
    }
}

const renewedRight = (now: number): orders.Right => ({ fencing: 3, until: now + 9_000 });
const TWO_ENGINES = [engine("a"), engine("b")];

function orderId(owner: Owner): string {
    return owner.state.change?.orderId ?? "";
}

describe("a rolling model version change", () => {
    it("changes one engine after the other and keeps the golden session", () => {
        const owner = new Owner(true);
        const first = owner.runUntilFirstOrder(renewedRight, TWO_ENGINES);
        owner.dispatch(first, { kind: EventKind.OrderAnswered, orderId: orderId(owner), result: OrderResult.Taken });
        chai.expect(owner.dispatch(first + 1_000, observe(renewedRight(first + 1_000), TWO_ENGINES))).to.deep.equal([]);
        const half = [engine("a", { version: "2" }), engine("b", { running: 4 })];
        owner.dispatch(first + 2_500, observe(renewedRight(first + 2_500), half));
        chai.expect(owner.state.change?.phase).to.equal(orders.ChangePhase.Draining);
        const drained = [engine("a", { version: "2" }), engine("b")];
        const actions = owner.dispatch(first + 3_000, observe(renewedRight(first + 3_000), drained));
        chai.expect(actions).to.have.length(1);
        owner.dispatch(first + 3_000, {
            kind: EventKind.OrderAnswered,
            orderId: orderId(owner),
            result: OrderResult.Taken,
        });
        const done = [engine("a", { version: "2" }), engine("b", { version: "2" })];
        chai.expect(owner.dispatch(first + 6_000, observe(renewedRight(first + 6_000), done))).to.deep.equal([]);
        chai.expect(owner.state.change).to.equal(undefined);
        const lines = decision.runSession(orders.rolloutModule, owner.inputs);
        testing.expectGolden(path.join(GOLDEN, "rolling.jsonl"), lines);
    });

    it("does not change a pool that has no spare slots", () => {
        const owner = new Owner(true);
        chai.expect(owner.runUntilFirstOrder(renewedRight, [engine("a")])).to.equal(Infinity);
    });

    it("does not count engines that are not usable as spare slots", () => {
        const owner = new Owner(true);
        chai.expect(owner.runUntilFirstOrder(renewedRight, [engine("a"), engine("b", { usable: false })])).to.equal(
            Infinity,
        );
    });

    it("resends an unanswered order under the same id", () => {
        const owner = new Owner(true);
        const first = owner.runUntilFirstOrder(renewedRight, TWO_ENGINES);
        const id = orderId(owner);
        owner.dispatch(first + 5_000, { kind: EventKind.OrderAnswered, orderId: id, result: OrderResult.Unknown });
        chai.expect(owner.dispatch(first + 6_000, observe(renewedRight(first + 6_000), TWO_ENGINES))).to.deep.equal([]);
        const [again] = owner.dispatch(first + 8_000, observe(renewedRight(first + 8_000), TWO_ENGINES));
        chai.expect(again).to.include({ kind: orders.ActionKind.SendOrder, orderId: id });
    });

    it("sends no order after its right has expired, as after a pause", () => {
        const owner = new Owner(true);
        const right = { fencing: 3, until: 4_000 };
        chai.expect(owner.runUntilFirstOrder(() => right, TWO_ENGINES)).to.equal(Infinity);
    });

    it("stops when an engine has seen a newer owner, and restarts under a new fencing token", () => {
        const owner = new Owner(true);
        const first = owner.runUntilFirstOrder(renewedRight, TWO_ENGINES);
        owner.dispatch(first, { kind: EventKind.OrderAnswered, orderId: orderId(owner), result: OrderResult.Stale });
        for (let now = first + 1_000; now < first + 60_000; now += 1_000) {
            chai.expect(owner.dispatch(now, observe(renewedRight(now), TWO_ENGINES))).to.deep.equal([]);
        }
        const later = first + 60_000;
        owner.dispatch(later, observe({ fencing: 5, until: later + 9_000 }, TWO_ENGINES));
        chai.expect(owner.state.superseded).to.equal(false);
    });
});

describe("orders to engines that ignore fencing", () => {
    it("are sent only if they end before the right does", () => {
        const short = (now: number) => ({ fencing: 3, until: now + LONGEST_ORDER_MS - 1 });
        chai.expect(new Owner(false).runUntilFirstOrder(short, TWO_ENGINES)).to.equal(Infinity);
        const enough = (now: number) => ({ fencing: 3, until: now + LONGEST_ORDER_MS });
        chai.expect(new Owner(false).runUntilFirstOrder(enough, TWO_ENGINES)).to.be.below(60_000);
    });

    it("are sent by a new owner only after the previous owner's last order has ended", () => {
        chai.expect(new Owner(false).runUntilFirstOrder(renewedRight, TWO_ENGINES)).to.be.at.least(LONGEST_ORDER_MS);
    });
});

describe("the sweep of engine memory", () => {
    const start = orders.startSweep({ graceMs: 30_000 });
    const held = (present: readonly string[]) => ({ engine: "a", holders: ["x/1", "y/1"], present });

    it("releases the memory of holders that are gone for the grace period", () => {
        const first = orders.decideSweep(start, held(["y/1"]), 0);
        chai.expect(first.actions).to.deep.equal([]);
        const second = orders.decideSweep(first.state, held(["y/1"]), 30_000);
        chai.expect(second.actions).to.deep.equal([{ engine: "a", release: ["x/1"] }]);
    });

    it("restarts the grace period when a holder comes back", () => {
        const first = orders.decideSweep(start, held(["y/1"]), 0);
        const back = orders.decideSweep(first.state, held(["x/1", "y/1"]), 20_000);
        const again = orders.decideSweep(back.state, held(["y/1"]), 40_000);
        chai.expect(again.actions).to.deep.equal([]);
    });
});
