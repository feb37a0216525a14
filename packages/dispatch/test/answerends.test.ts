import * as chai from "chai";
import * as dispatch from "../src/index.js";

const { EndProof, ProbeResult } = dispatch;

describe("proofOfEnd", () => {
    const fresh: dispatch.EndEvidence = {
        probe: ProbeResult.Responded,
        silentIsRunning: true,
        isOlderOpen: false,
        openAt: 1_000,
        connectedAt: 1_010,
    };
    const prove = (change: Partial<dispatch.EndEvidence>) => dispatch.proofOfEnd({ ...fresh, ...change });

    it("takes a response on an older connection", () => {
        chai.expect(prove({ connectedAt: 999 })).to.equal(EndProof.OlderAnswered);
    });

    it("takes an older connection that is open after the probe", () => {
        chai.expect(prove({ isOlderOpen: true, connectedAt: 9_000 })).to.equal(EndProof.OlderOpen);
        const silent = { probe: ProbeResult.Silent, connectedAt: 999 };
        chai.expect(prove(silent)).to.equal(EndProof.OlderOpen);
    });

    it("takes a new connection only if no process could have started meanwhile", () => {
        chai.expect(prove({})).to.equal(EndProof.NewConnection);
        chai.expect(prove({ probe: ProbeResult.Silent })).to.equal(EndProof.NewConnection);
        chai.expect(prove({ connectedAt: 1_100 })).to.equal(undefined);
        chai.expect(prove({ openAt: -Infinity })).to.equal(undefined);
        chai.expect(prove({ connectedAt: undefined })).to.equal(undefined);
    });

    it("takes nothing from an upstream that is gone, is another one, or is silent where it must not be", () => {
        for (const probe of [ProbeResult.Gone, ProbeResult.Denied, ProbeResult.Silent]) {
            for (const isOlder of [false, true]) {
                const older = { connectedAt: isOlder ? 999 : 1_010, isOlderOpen: isOlder };
                chai.expect(prove({ probe, silentIsRunning: false, ...older })).to.equal(undefined);
            }
        }
    });
});

describe("EndSight", () => {
    const setUp = () => {
        const polls = new dispatch.PollTimes(0);
        [20, 40, 60, 80].forEach((now) => polls.record(now));
        return { polls, sight: new dispatch.EndSight(polls) };
    };

    it("knows of an end from the last poll but one on", () => {
        const { polls, sight } = setUp();
        chai.expect(sight.openAt).to.equal(60);
        polls.record(3_580);
        chai.expect(sight.openAt).to.equal(80);
        polls.record(3_600);
        chai.expect(sight.openAt).to.equal(3_580);
    });

    it("knows nothing of the time in which the reader held the response", () => {
        const { polls, sight } = setUp();
        sight.hold(85);
        [100, 120, 140, 160].forEach((now) => polls.record(now));
        sight.resume(165);
        chai.expect(sight.openAt).to.equal(85);
        sight.hold(166);
        sight.resume(167);
        chai.expect(sight.openAt).to.equal(85);
        [180, 200].forEach((now) => polls.record(now));
        chai.expect(sight.openAt).to.equal(180);
    });
});
