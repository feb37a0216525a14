import * as decision from "@citronlead/decision";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

const { Prefill, Step } = dispatch.SpeedKind;

describe("Speeds of engines", () => {
    it("are told apart by hosts that each see few of 63 noisy engines, and fast ones get more without starving the others", () => {
        const random = decision.seeded(3);
        const speeds = [0.6, 1, 1.6];
        const engines = Array.from({ length: 63 }, (_, index) => ({
            id: `e-${index}@1`,
            unitMs: 0.018 / (speeds[index % 3] as number),
        }));
        const views = Array.from({ length: 81 }, () => new dispatch.SharedSpeeds());
        for (let now = 0; now < 20_000; now += 1_000) {
            for (const view of views) {
                for (let sample = 0; sample < 2; sample++) {
                    const engine = engines[Math.floor(random.fraction() * 63)] as typeof engines[0];
                    const noise = random.fraction() < 0.15 ? 2.5 : 1;
                    view.recordOwn(engine.id, "model", Prefill, engine.unitMs * noise, now);
                }
                const told = view.takeOwn(14);
                dispatch.drawSome(views.filter((other) => other !== view), 6, random.fraction)
                    .forEach((other) => told.forEach((each) => other.recordTold(each, "model", now)));
            }
        }
        const counts = [0, 0, 0];
        for (const view of views) {
            const candidates = engines.map(({ id }) => ({
                upstream: { id } as dispatch.Candidate["upstream"],
                health: new dispatch.UpstreamHealth(undefined, (now) => view.ratioOf(id, now)),
            }));
            const options = { availabilityZone: "a", crossZonePenalty: 0, random: random.fraction };
            for (let send = 0; send < 20; send++) {
                const chosen = dispatch.rankCandidates(candidates, options, 20_000).slice(0, 5);
                for (const { upstream } of chosen) {
                    const kind = Number(upstream.id.slice(2).split("@")[0]) % 3;
                    counts[kind] = (counts[kind] ?? 0) + 1;
                }
            }
        }
        const [slow = 0, usual = 0, fast = 0] = counts;
        // In proportion to their speeds at most, and still some.
        chai.expect(slow).to.be.within(1, usual * 0.6);
        chai.expect(fast).to.be.least(usual);
        const ratio = (index: number) =>
            views.reduce((sum, view) => sum + (view.ratioOf(`e-${index}@1`, 20_000) ?? 1), 0) / views.length;
        chai.expect(ratio(0)).to.be.above(1.2);
        chai.expect(ratio(2)).to.be.below(0.9);
    });

    it("are not decided by one host that is wrong", () => {
        const view = new dispatch.SharedSpeeds();
        for (let index = 0; index < 5; index++) {
            for (let sample = 0; sample < 10; sample++) {
                view.recordOwn(`e-${index}@1`, "model", Step, 100, 0);
            }
        }
        view.recordTold({ incarnation: "e-0@1", kind: Step, unitMs: 400, count: 1e9 }, "model", 0);
        chai.expect(view.ratioOf("e-0@1", 0)).to.be.below(2);
        view.recordTold({ incarnation: "e-1@1", kind: Step, unitMs: 1e12, count: 1 }, "model", 0);
        chai.expect(view.ratioOf("e-1@1", 0)).to.be.most(4);
    });

    it("are forgotten, and unknown before there are samples of several engines", () => {
        const view = new dispatch.SharedSpeeds();
        view.recordOwn("e-0@1", "model", Step, 100, 0);
        chai.expect(view.ratioOf("e-0@1", 0)).to.equal(undefined);
        view.recordOwn("e-1@1", "model", Step, 100, 600);
        view.recordOwn("e-2@1", "model", Step, 300, 600);
        chai.expect(view.ratioOf("e-2@1", 1_200)).to.equal(undefined);
        view.recordOwn("e-2@1", "model", Step, 300, 1_200);
        chai.expect(view.ratioOf("e-2@1", 1_200)).to.equal(3);
        chai.expect(view.ratioOf("e-2@1", 20_000)).to.equal(undefined);
    });
});
