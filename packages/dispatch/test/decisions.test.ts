import * as decision from "@citronlead/decision";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

function candidate(id: string, change: Partial<routing.Upstream> = {}): dispatch.Candidate {
    const upstream: routing.Upstream = {
        id,
        service: "model",
        address: "127.0.0.1:7001",
        availabilityZone: "a",
        state: routing.UpstreamState.Ready,
        slots: 8,
        stage: routing.EngineStage.Decode,
        startedAt: 1,
        warmUpLeftMs: 0,
        ...change,
    };
    return { upstream, health: new dispatch.UpstreamHealth() };
}

describe("rank", () => {
    const random = decision.seeded(7);
    const terms: dispatch.PlacementTerms = { availabilityZone: "a", zonePenalty: 1, random: random.fraction };

    it("spreads hosts that see equal upstreams", () => {
        const engines = Array.from({ length: 42 }, (_, index) => candidate(`e-${index}`));
        const counts = new Map<string, number>();
        for (let host = 0; host < 880; host++) {
            const first = dispatch.rank(engines, terms, 0)[0]?.upstream.id as string;
            counts.set(first, (counts.get(first) ?? 0) + 1);
        }
        chai.expect(counts.size).to.be.above(38);
        chai.expect(Math.max(...counts.values())).to.be.below(60);
    });

    it("tries suspended upstreams last and full ones before them", () => {
        const [sound, full, down] = [candidate("sound"), candidate("full"), candidate("down")];
        sound.health.inFlight = 5;
        full.health.record(dispatch.SendResult.Full, 0);
        down.health.record(dispatch.SendResult.Unreachable, 0);
        const order = dispatch.rank([down, full, sound], terms, 10).map(({ upstream }) => upstream.id);
        chai.expect(order).to.deep.equal(["sound", "full", "down"]);
    });

    it("takes another availability zone only for a shorter queue", () => {
        const [near, far] = [candidate("near"), candidate("far", { availabilityZone: "b" })];
        chai.expect(dispatch.rank([far, near], { ...terms, random: () => 0 }, 0)[0]).to.equal(near);
        near.health.inFlight = 3;
        chai.expect(dispatch.rank([far, near], { ...terms, random: () => 0 }, 0)[0]).to.equal(far);
    });

    it("avoids an upstream that fails part of its requests while its health check is good", () => {
        const [sound, failing] = [candidate("sound"), candidate("failing")];
        for (let send = 0; send < 10; send++) {
            sound.health.record(dispatch.SendResult.Answered, 0);
            failing.health.record(send % 3 === 0 ? dispatch.SendResult.Failed : dispatch.SendResult.Answered, 0);
        }
        sound.health.inFlight = 3;
        chai.expect(dispatch.rank([failing, sound], { ...terms, random: () => 0 }, 0)[0]).to.equal(sound);
    });
});

describe("UpstreamHealth", () => {
    it("pauses longer with each unreachable result and is whole again after an answer", () => {
        const health = new dispatch.UpstreamHealth();
        health.record(dispatch.SendResult.Unreachable, 0);
        chai.expect([health.suspended(499), health.suspended(501)]).to.deep.equal([true, false]);
        health.record(dispatch.SendResult.Unreachable, 501);
        chai.expect([health.suspended(1_400), health.suspended(1_502)]).to.deep.equal([true, false]);
        health.record(dispatch.SendResult.Answered, 1_600);
        chai.expect(health.suspended(1_601)).to.equal(false);
    });

    it("gives a suspended upstream one send at a time after its pause", () => {
        const health = new dispatch.UpstreamHealth();
        health.record(dispatch.SendResult.Unreachable, 0);
        health.inFlight = 1;
        chai.expect(health.suspended(5_000)).to.equal(true);
    });
});

describe("An engine that loses half of its answers while its health check is good", () => {
    it("gets little work after the first seconds", () => {
        const random = decision.seeded(11);
        const terms = { availabilityZone: "a", zonePenalty: 0, random: random.fraction };
        const engines = ["sound-1", "sound-2", "sound-3", "losing"].map((id) => candidate(id));
        engines.slice(0, 3).forEach(({ health }) => health.inFlight = 4);
        const sends = new Map<string, number>();
        // One host at 4 requests a second for 24 s, whose sound engines are as busy as on a heavy day.
        for (let now = 0; now < 24_000; now += 250) {
            const chosen = dispatch.rank(engines, terms, now)[0] as dispatch.Candidate;
            const { id } = chosen.upstream;
            const lost = id === "losing" && random.fraction() < 0.45;
            chosen.health.record(lost ? dispatch.SendResult.Unreachable : dispatch.SendResult.Answered, now + 200);
            if (now >= 4_000) {
                sends.set(id, (sends.get(id) ?? 0) + 1);
            }
        }
        // An equal part would be 20 of 80 sends; a lost answer costs a caller the request.
        chai.expect(sends.get("losing") ?? 0).to.be.at.most(4);
    });
});

describe("maySendAgain", () => {
    const route = (kind: routing.RouteKind, resumable = false): routing.Route => ({
        name: "r",
        hostName: "h",
        pathPrefix: "/",
        kind,
        timeoutMs: 1_000,
        latencyTargetMs: 100,
        pauseTargetMs: undefined,
        priority: 0,
        targets: [],
        attempts: 2,
        open: true,
        generative: false,
        resumable,
    });
    const { Idempotent, NonIdempotent, Streaming } = routing.RouteKind;
    const { MayHaveRun, NotRun, RanAndFailed } = dispatch.SendEffect;
    const cases: [string, routing.Route, dispatch.SendEffect, number, boolean, boolean][] = [
        ["a request that did not run", route(NonIdempotent), NotRun, 0, false, true],
        ["a non-idempotent request that may have run", route(NonIdempotent), MayHaveRun, 1, false, false],
        ["a non-idempotent request that failed", route(NonIdempotent), RanAndFailed, 1, false, false],
        ["an idempotent request that may have run", route(Idempotent), MayHaveRun, 1, false, true],
        ["an idempotent request at its last attempt", route(Idempotent), MayHaveRun, 2, false, false],
        ["an idempotent request whose answer has begun", route(Idempotent), MayHaveRun, 1, true, false],
        ["a stream that cannot be resumed", route(Streaming), MayHaveRun, 1, true, false],
        ["a resumable stream whose answer has begun", route(Streaming, true), MayHaveRun, 1, true, true],
    ];
    for (const [title, sent, effect, runs, answering, expected] of cases) {
        it(`${expected ? "sends" : "does not send"} ${title} again`, () => {
            const history = { route: sent, effect, runs, answering, timeLeft: true };
            chai.expect(dispatch.maySendAgain(history)).to.equal(expected);
            chai.expect(dispatch.maySendAgain({ ...history, timeLeft: false })).to.equal(false);
        });
    }
});

describe("Suspects", () => {
    it("bars a content after it took three upstreams down, whoever reports it", () => {
        const suspects = new dispatch.Suspects();
        for (const incarnation of ["a@1", "a@1", "b@1"]) {
            suspects.add({ content: "c", incarnation }, 0);
        }
        chai.expect(suspects.barred("c", 1)).to.equal(false);
        suspects.add({ content: "c", incarnation: "a@2" }, 2);
        chai.expect(suspects.barred("c", 3)).to.equal(true);
        chai.expect(suspects.barred("c", 3 + dispatch.MEMORY_MS)).to.equal(false);
    });

    it("clears a content that ran whole", () => {
        const suspects = new dispatch.Suspects();
        ["a@1", "b@1", "c@1"].forEach((incarnation) => suspects.add({ content: "c", incarnation }, 0));
        suspects.clear("c");
        chai.expect(suspects.barred("c", 1)).to.equal(false);
    });

    it("remembers a bounded number of contents", () => {
        const suspects = new dispatch.Suspects();
        ["a@1", "b@1", "c@1"].forEach((incarnation) => suspects.add({ content: "first", incarnation }, 0));
        for (let index = 0; index < dispatch.CONTENT_LIMIT; index++) {
            suspects.add({ content: `${index}`, incarnation: "a@1" }, 0);
        }
        chai.expect(suspects.barred("first", 1)).to.equal(false);
    });
});

describe("ownerOf", () => {
    it("moves only the keys of a host that leaves", () => {
        const hosts = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
        const keys = Array.from({ length: 300 }, (_, index) => `workspace-${index}`);
        const before = keys.map((key) => dispatch.ownerOf(hosts, key));
        const after = keys.map((key) => dispatch.ownerOf(hosts.slice(0, 2), key));
        chai.expect(keys.every((_, index) => before[index] === after[index] || before[index] === hosts[2])).to.equal(
            true,
        );
        chai.expect(dispatch.ownerOf([], "workspace-1")).to.equal(undefined);
    });
});
