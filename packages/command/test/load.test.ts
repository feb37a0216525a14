import * as decision from "@citronlead/decision";
import * as chai from "chai";
import * as mixes from "../src/load/mix.js";
import * as plans from "../src/load/plan.js";
import * as reports from "../src/load/report.js";
import * as runners from "../src/load/runner.js";
import type * as senders from "../src/load/send.js";

function mixOf(name: string): mixes.Mix {
    const checked = mixes.parseMix(name, mixes.builtInMix(name) ?? "");
    decision.invariant(checked.valid, () => JSON.stringify(checked));
    return checked.value;
}

const OPTIONS: runners.LoadRunOptions = {
    routers: [],
    keys: {},
    maxOpenRequests: 10,
    graceMs: 0,
    seed: 7,
    requestsPerSecond: 100,
    durationMs: 60_000,
    count: 100_000,
};

describe("a load", () => {
    it("depends only on its seed", () => {
        const plan = (seed: number) => JSON.stringify([...plans.planLoad(mixOf("pedra-macia"), { ...OPTIONS, seed })]);
        chai.expect(plan(7)).to.equal(plan(7));
        chai.expect(plan(7)).not.to.equal(plan(8));
    });

    it("has the rate, shares and lengths of its mix, and ends", () => {
        for (const name of mixes.builtInMixes) {
            const mix = mixOf(name);
            const planned = [...plans.planLoad(mix, OPTIONS)];
            chai.expect(planned.length).to.be.within(5_600, 6_400);
            const shares = mix.requests.map((kind) => planned.filter((request) => request.template === kind).length);
            const total = mix.requests.reduce((sum, kind) => sum + kind.share, 0);
            mix.requests.forEach((kind, index) => {
                chai.expect((shares[index] ?? 0) / planned.length).to.be.closeTo(kind.share / total, 0.05);
            });
            const prompts = planned.filter((request) => request.promptTokens > 0)
                .map((request) => request.promptTokens);
            chai.expect(Math.min(...prompts)).to.be.at.least(50);
            chai.expect(new Set(planned.map((request) => request.workspace)).size).to.equal(5);
            chai.expect([...plans.planLoad(mix, { ...OPTIONS, count: 3 })]).to.have.length(3);
        }
    });

    it("is reported with percentiles, goodput, refusals by reason and the worst-served workspace", () => {
        const mix = mixOf("pedra-macia");
        const makeResult = (workspace: string, outcome: string, firstTokenMs?: number): senders.RequestResult => ({
            workspace,
            outcome,
            kind: "dossierllm",
            durationMs: 100,
            firstTokenMs,
            gapsMs: [10, 20],
        });
        const requests = [
            makeResult("guild", "answered", 500),
            makeResult("guild", "answered", 1_000),
            makeResult("studio-gomes", "answered", 5_000),
            makeResult("studio-gomes", "rate-exceeded"),
        ];
        const result = { requests, notSent: 1, latestSendMs: 2, elapsedMs: 2_000 };
        const report = reports.makeReport(mix, OPTIONS, result, 5);
        chai.expect(report.outcomes).to.deep.equal({ "answered": 3, "rate-exceeded": 1 });
        chai.expect(report.firstToken.p50).to.be.closeTo(1_000, 1);
        chai.expect(report.goodputPerSecond).to.equal(1);
        chai.expect(report.worstServed).to.deep.equal({ workspace: "studio-gomes", sent: 2, good: 0, goodShare: 0 });
        chai.expect(report.wastedPrefills).to.equal(2);
        chai.expect(reports.describeReport(report).join("\n")).to.contain("rate-exceeded: 1");
    });
});
