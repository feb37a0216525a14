import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

const plan = dispatch.planStop(1_000, 8_000);

describe("planStop", () => {
    it("orders the moments of a stop, whatever its length, and leaves time for the last answers", () => {
        fastCheck.assert(fastCheck.property(fastCheck.double({ min: 1, max: 600_000, noNaN: true }), (stopPeriodMs) => {
            const { startedAt, removedAt, lastAnswersAt, cutAt, idleMs } = dispatch.planStop(5, stopPeriodMs);
            chai.expect(startedAt).to.equal(5);
            chai.expect(removedAt).to.be.within(startedAt, lastAnswersAt);
            chai.expect(lastAnswersAt).to.be.below(cutAt);
            chai.expect(cutAt).to.be.below(startedAt + stopPeriodMs);
            chai.expect(removedAt + idleMs).to.be.below(lastAnswersAt);
        }));
    });
});

describe("decideWhileStopping", () => {
    const decide = (sinceMs: number, longestMs: number, likelyMs?: number) =>
        dispatch.decideWhileStopping(plan, { longestMs, likelyMs }, plan.startedAt + sinceMs);

    it("begins what ends in time whatever happens, also late in the stop", () => {
        chai.expect(decide(5_000, 1_500, 4_000)).to.equal(dispatch.StopDecision.BeginAsBounded);
        chai.expect(decide(100, 14_000, 5_000)).to.equal(dispatch.StopDecision.BeginAsForecast);
    });

    it("refuses what probably lasts longer than the stop", () => {
        chai.expect(decide(100, 14_000, 7_200)).to.equal(dispatch.StopDecision.Refuse);
        chai.expect(decide(2_500, 14_000, 4_900)).to.equal(dispatch.StopDecision.Refuse);
    });

    it("takes the longest for likely while nothing is known", () => {
        chai.expect(decide(100, 14_000)).to.equal(dispatch.StopDecision.Refuse);
    });

    it("trusts no forecast once callers who are refused reach other hosts", () => {
        chai.expect(decide(2_500, 14_000, 1_000)).to.equal(dispatch.StopDecision.BeginAsForecast);
        chai.expect(decide(2_700, 14_000, 1_000)).to.equal(dispatch.StopDecision.Refuse);
    });

    it("never begins a request later than one that needs as much and is refused", () => {
        const ms = fastCheck.double({ min: 0, max: 20_000, noNaN: true });
        fastCheck.assert(
            fastCheck.property(
                ms,
                ms,
                fastCheck.option(ms, { nil: undefined }),
                ms,
                (sinceMs, longestMs, likelyMs, laterMs) => {
                    if (decide(sinceMs, longestMs, likelyMs) === dispatch.StopDecision.Refuse) {
                        chai.expect(decide(sinceMs + laterMs, longestMs, likelyMs)).to.equal(
                            dispatch.StopDecision.Refuse,
                        );
                    }
                },
            ),
        );
    });

    it("begins nothing after the load balancer's removal that could last beyond the last answers", () => {
        const ms = fastCheck.double({ min: 0, max: 20_000, noNaN: true });
        fastCheck.assert(
            fastCheck.property(ms, ms, ms, (sinceMs, longestMs, likelyMs) => {
                const now = plan.startedAt + sinceMs;
                if (now >= plan.removedAt && decide(sinceMs, longestMs, likelyMs) !== dispatch.StopDecision.Refuse) {
                    chai.expect(now + longestMs).to.be.at.most(plan.lastAnswersAt + 1e-6);
                }
            }),
        );
    });
});

describe("DurationForecast", () => {
    it("knows nothing from a few requests", () => {
        const forecast = new dispatch.DurationForecast();
        Array.from({ length: 19 }, () => forecast.observe("stream", 1_000));
        chai.expect(forecast.high("stream")).to.equal(undefined);
        chai.expect(forecast.high("other")).to.equal(undefined);
        forecast.observe("stream", 1_000);
        chai.expect(forecast.high("stream")).to.equal(1_000);
    });

    it("names a time that none of the latest requests exceeded", () => {
        const forecast = new dispatch.DurationForecast();
        Array.from({ length: 100 }, (_, index) => forecast.observe("stream", 7 * ((index * 37) % 100 + 1)));
        chai.expect(forecast.high("stream")).to.equal(700);
    });

    it("follows a change of the traffic", () => {
        const forecast = new dispatch.DurationForecast();
        Array.from({ length: 300 }, () => forecast.observe("stream", 6_000));
        Array.from({ length: 100 }, () => forecast.observe("stream", 500));
        chai.expect(forecast.high("stream")).to.equal(500);
    });

    it("forgets routes of former configurations", () => {
        const forecast = new dispatch.DurationForecast();
        Array.from({ length: 20 }, () => forecast.observe("first", 500));
        Array.from({ length: 1_000 }, (_, index) => forecast.observe(`route-${index}`, 500));
        chai.expect(forecast.high("first")).to.equal(undefined);
    });
});
