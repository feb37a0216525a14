import * as decision from "@citronlead/decision";
import * as chai from "chai";
import * as drives from "../src/load/drive.js";
import * as mixes from "../src/load/mix.js";
import * as plans from "../src/load/plan.js";
import * as reports from "../src/load/report.js";
import type * as senders from "../src/load/send.js";

function mixOf(name: string): mixes.Mix {
    const checked = mixes.parseMix(name, mixes.builtInMix(name) ?? "");
    decision.invariant(checked.valid, () => JSON.stringify(checked));
    return checked.value;
}

const OPTIONS: drives.DriveOptions = {
    routers: [],
    keys: {},
    mostOpen: 10,
    graceMs: 0,
    seed: 7,
    requestsPerSecond: 100,
    durationMs: 60_000,
    count: 100_000,
};

describe("a load", () => {
    it("is the same for the same seed, and another for another", () => {
        const plan = (seed: number) => JSON.stringify([...plans.planLoad(mixOf("pedra-macia"), { ...OPTIONS, seed })]);
        chai.expect(plan(7)).to.equal(plan(7));
        chai.expect(plan(7)).not.to.equal(plan(8));
    });

    it("has the rate, the shares and the lengths that its mix asks for, and ends", () => {
        for (const name of mixes.builtInMixes) {
            const mix = mixOf(name);
            const planned = [...plans.planLoad(mix, OPTIONS)];
            chai.expect(planned.length).to.be.within(5_600, 6_400);
            const shares = mix.requests.map((one) => planned.filter((each) => each.wanted === one).length);
            const total = mix.requests.reduce((sum, one) => sum + one.share, 0);
            mix.requests.forEach((one, index) => {
                chai.expect((shares[index] ?? 0) / planned.length).to.be.closeTo(one.share / total, 0.05);
            });
            const prompts = planned.filter((one) => one.promptTokens > 0).map((one) => one.promptTokens);
            chai.expect(Math.min(...prompts)).to.be.at.least(50);
            chai.expect(new Set(planned.map((one) => one.workspace)).size).to.equal(5);
            chai.expect([...plans.planLoad(mix, { ...OPTIONS, count: 3 })]).to.have.length(3);
        }
    });

    it("is reported with percentiles, goodput, refusals by reason and the worst-served workspace", () => {
        const mix = mixOf("pedra-macia");
        const ending = (workspace: string, outcome: string, firstTokenMs?: number): senders.Ending => ({
            workspace,
            outcome,
            kind: "dossierllm",
            durationMs: 100,
            firstTokenMs,
            gapsMs: [10, 20],
        });
        const endings = [
            ending("guild", "answered", 500),
            ending("guild", "answered", 1_000),
            ending("studio-gomes", "answered", 5_000),
            ending("studio-gomes", "rate-exceeded"),
        ];
        const result = { endings, notSent: 1, latestSendMs: 2, elapsedMs: 2_000 };
        const report = reports.makeReport(mix, OPTIONS, result, 5);
        chai.expect(report.outcomes).to.deep.equal({ "answered": 3, "rate-exceeded": 1 });
        chai.expect(report.firstToken.p50).to.be.closeTo(1_000, 1);
        chai.expect(report.goodputPerSecond).to.equal(1);
        chai.expect(report.worstServed).to.deep.equal({ workspace: "studio-gomes", sent: 2, good: 0, goodShare: 0 });
        chai.expect(report.wastedPrefills).to.equal(2);
        chai.expect(reports.describeReport(report).join("\n")).to.contain("rate-exceeded: 1");
    });
});
