import * as chai from "chai";
import * as dispatch from "../src/index.js";
import * as load from "./turnsload.js";

const PLACES = 12;
const CAPACITY = 45_000;
const SEEDS = [1, 2, 3];
const KINDS: readonly load.Kind[] = [
    { urgency: 0, meanAmount: 13_000, targetMs: 800, share: 0.31 },
    { urgency: 1, meanAmount: 6_000, targetMs: 1_000, share: 0.37 },
    { urgency: 2, meanAmount: 400, targetMs: 2_000, share: 0.32 },
];
const EQUAL_KINDS = KINDS.map((kind) => ({ ...kind, meanAmount: 6_000, targetMs: 1_000 }));
const burst = (ms: number) => ms >= 6_000 && ms < 10_000 ? 1.61 : 0.7;

function play(change: Partial<load.Load>): load.Played[] {
    return SEEDS.flatMap((seed) =>
        load.playTurns({ places: PLACES, capacity: CAPACITY, kinds: KINDS, demandAt: burst, seed, ...change })
    );
}

function byKind(played: readonly load.Played[], kinds = KINDS): load.Played[][] {
    return kinds.map((kind) => played.filter((request) => request.kind === kind));
}

const servedShare = (played: readonly load.Played[]) => 1 - load.share(played, "refused");
const largestTenth = (played: readonly load.Played[]) =>
    [...played].sort((one, other) => other.amount - one.amount).slice(0, Math.ceil(played.length / 10));

describe("TurnOrder under load", function() {
    this.timeout(60_000);

    it("serves nearly all on time while there is room for all", () => {
        byKind(play({ demandAt: () => 0.6 })).forEach((kind) =>
            chai.expect(load.share(kind, "onTime")).to.be.above(0.97)
        );
    });

    it("never serves a less urgent kind of the same size better than a more urgent one", () => {
        for (const demand of [0.9, 1.2, 1.6, 2.3]) {
            const [first, second, third] = byKind(play({ kinds: EQUAL_KINDS, demandAt: () => demand }), EQUAL_KINDS)
                .map((kind) => load.share(kind, "onTime")) as [number, number, number];
            chai.expect(second, `at ${demand}`).to.be.at.most(first + 0.02);
            chai.expect(third, `at ${demand}`).to.be.at.most(second + 0.02);
        }
    });

    it("serves most of the urgent ones on time in a burst of 2.3 times the usual, and most others in the end", () => {
        const [first, second, third] = byKind(play({})) as [load.Played[], load.Played[], load.Played[]];
        chai.expect(load.share(first, "onTime")).to.be.above(0.85);
        [first, second, third].forEach((kind) => chai.expect(servedShare(kind)).to.be.above(0.93));
        chai.expect(servedShare(third) - servedShare(first)).to.be.below(0.05);
    });

    it("serves most when a quarter of the places is lost in the burst", () => {
        const kinds = byKind(play({ lost: { count: PLACES / 4, at: 7_200, forMs: 2_000 } }));
        kinds.forEach((kind) => chai.expect(servedShare(kind)).to.be.above(0.9));
        chai.expect(load.share(kinds[0] as load.Played[], "onTime")).to.be.above(0.8);
    });

    it("does not starve the largest tenth of a kind, also under a lasting overload", () => {
        for (const demandAt of [burst, () => 1.5]) {
            for (const kind of byKind(play({ demandAt }))) {
                chai.expect(servedShare(largestTenth(kind))).to.be.above(servedShare(kind) / 2);
            }
        }
    });

    it("refuses at once: nobody waits long in order to be refused", () => {
        const refused = play({}).filter(({ result }) => result === "refused");
        const atOnce = refused.filter(({ waitedMs }) => waitedMs <= 100);
        chai.expect(atOnce.length).to.be.above(refused.length * 0.8);
    });

    it("keeps its promises to callers who return as told", () => {
        const promised = play({}).filter((request) => request.promised);
        chai.expect(promised.length).to.be.above(5);
        chai.expect(servedShare(promised)).to.be.above(0.9);
    });

    it("lets a workspace that sends 6.4 times its usual delay itself and not the others", () => {
        const workspaceOf: load.Load["workspaceOf"] = (ms, random) => {
            const weight = ms >= 6_000 && ms < 11_000 ? 6.4 : 1;
            const drawn = random.fraction() * (7 + weight);
            return drawn < weight ? "hot" : `workspace-${Math.floor(drawn - weight)}`;
        };
        const demandAt = (ms: number) => ms >= 6_000 && ms < 11_000 ? 0.8 * (7 + 6.4) / 8 : 0.8;
        const played = play({ kinds: EQUAL_KINDS, workspaceOf, demandAt })
            .filter(({ arrivedAt }) => arrivedAt >= 6_000 && arrivedAt < 11_000);
        for (const kind of byKind(played, EQUAL_KINDS)) {
            const hot = kind.filter(({ workspace }) => workspace === "hot");
            const others = kind.filter(({ workspace }) => workspace !== "hot");
            chai.expect(load.share(hot, "onTime")).to.be.at.most(load.share(others, "onTime") + 0.02);
        }
        const others = played.filter(({ workspace, kind }) => workspace !== "hot" && kind.urgency < 2);
        chai.expect(load.share(others, "onTime")).to.be.above(0.9);
    });

    it("is not worse for those who return as told if a third of the callers return at once", () => {
        const served = (impatientShare: number) => servedShare(play({ impatientShare }));
        chai.expect(served(0.3)).to.be.above(served(0) - 0.04);
    });
});

describe("TurnOrder", () => {
    const makeOrder = (change: Partial<dispatch.TurnOrderOptions> = {}) =>
        new dispatch.TurnOrder({
            firstResultDelayMs: 200,
            maxLateWaitMs: 1_500,
            maxWaiters: 10,
            settleMs: 0,
            renewalMs: 1_000,
            random: () => 0.5,
            ...change,
        });
    const request = (id: string, change: Partial<dispatch.TurnRequest> = {}): dispatch.TurnRequest => ({
        id,
        host: "host-1",
        urgency: 1,
        targetAt: 1_000,
        deadlineAt: 14_000,
        workspace: "north",
        workspaceWeight: 1,
        hadRoom: false,
        content: id,
        amount: 1,
        durationMs: 400,
        availabilityZone: "a",
        avoided: new Set(),
        ...change,
    });
    const place = (name: string, capacity: number, availabilityZone = "a") => ({ name, capacity, availabilityZone });
    const kinds = (turns: readonly dispatch.AddressedTurn[]) =>
        turns.map(({ request: { id }, turn }) => [id, turn.kind]);

    it("gives the room that a run leaves to the most urgent waiter", () => {
        const order = makeOrder();
        order.room.setPlaces([place("one", 3)]);
        ["run", "run-2", "run-3"].forEach((id) => order.room.take({ id, place: "one", amount: 1, endsAt: 300 }));
        order.ask(request("usual"), 0);
        order.ask(request("urgent", { urgency: 0 }), 0);
        chai.expect(kinds(order.decide(0))).to.deep.equal([["urgent", "wait"], ["usual", "wait"]]);
        order.room.release("run");
        chai.expect(kinds(order.decide(250))).to.deep.equal([["urgent", "try"]]);
        chai.expect(order.size).to.equal(1);
    });

    it("refuses at once a request for which no room comes before its target", () => {
        const order = makeOrder();
        order.room.setPlaces([place("one", 1)]);
        order.room.take({ id: "run", place: "one", amount: 1, endsAt: 2_000 });
        order.ask(request("one"), 0);
        const [decision] = order.decide(0);
        chai.expect(decision?.turn).to.deep.include({ kind: "refuse", waitMs: 2_000 });
    });

    it("answers again a request that asks again, and once only gives it a turn", () => {
        const order = makeOrder();
        order.room.setPlaces([place("one", 1)]);
        order.ask(request("one"), 0);
        chai.expect(kinds(order.decide(0))).to.deep.equal([["one", "try"]]);
        chai.expect(order.ask(request("one"), 20)).to.deep.equal({ kind: "try", place: "one" });
        chai.expect(order.decide(20)).to.deep.equal([]);
    });

    it("serves a request that has lost its room before new ones of its urgency, even past its target", () => {
        const order = makeOrder();
        order.room.setPlaces([place("one", 2)]);
        ["run", "run-2"].forEach((id) => order.room.take({ id, place: "one", amount: 1, endsAt: 300 }));
        order.ask(request("new"), 0);
        order.ask(request("lost", { hadRoom: true, targetAt: 0 }), 0);
        order.decide(0);
        order.room.release("run");
        chai.expect(kinds(order.decide(100))).to.deep.equal([["lost", "try"]]);
    });

    it("gives a request whose place was full or out of reach another turn, elsewhere", () => {
        for (const problem of Object.values(dispatch.TurnProblem)) {
            const order = makeOrder();
            order.room.setPlaces([place("one", 1), place("two", 1, "b")]);
            order.ask(request("request"), 0);
            chai.expect(order.decide(0)[0]?.turn).to.deep.equal({ kind: "try", place: "one" });
            order.returnTurn("request", problem, 5);
            chai.expect(order.decide(5)[0]?.turn, problem).to.deep.equal({ kind: "try", place: "two" });
        }
    });

    it("keeps room for a large waiter that is next, and lets small ones pass that do not delay it", () => {
        const order = makeOrder();
        order.room.setPlaces([place("one", 10)]);
        order.room.take({ id: "run-1", place: "one", amount: 4, endsAt: 300 });
        order.room.take({ id: "run-2", place: "one", amount: 4, endsAt: 100 });
        order.ask(request("large", { amount: 9 }), 0);
        order.ask(request("small", { targetAt: 2_000 }), 0);
        order.ask(request("medium", { amount: 2, targetAt: 3_000 }), 0);
        chai.expect(kinds(order.decide(0))).to.deep.equal([["large", "wait"], ["small", "try"], ["medium", "wait"]]);
    });

    it("forgets waiters of which their host no longer reports, and those that are withdrawn", () => {
        const order = makeOrder();
        order.room.setPlaces([place("one", 1)]);
        order.room.take({ id: "run", place: "one", amount: 1, endsAt: 500 });
        ["one", "two"].forEach((id) => order.ask(request(id, { targetAt: 5_000 }), 0));
        order.withdraw("one");
        chai.expect(order.size).to.equal(1);
        order.decide(1_100);
        chai.expect(order.size).to.equal(0);
    });

    it("gives no turn before hosts had time to report their runs", () => {
        const order = makeOrder({ settleMs: 10 });
        order.room.setPlaces([place("one", 1)]);
        order.ask(request("one"), 100);
        chai.expect(order.decide(105)).to.deep.equal([]);
        chai.expect(kinds(order.decide(110))).to.deep.equal([["one", "try"]]);
    });

    it("refuses beyond its bound on waiters", () => {
        const order = makeOrder({ maxWaiters: 1 });
        order.ask(request("one"), 0);
        chai.expect(order.ask(request("two"), 0)).to.deep.include({ kind: "refuse", waitMs: Infinity });
    });
});
