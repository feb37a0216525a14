import * as chai from "chai";
import * as dispatch from "../src/index.js";

const { Refused, Broken, Silent, Responded } = dispatch.ObservedState;
const { Sound, Suspected, Down } = dispatch.Belief;

/** A fleet whose hosts hear each observation that is passed on after the latency between hosts. */
class Fleet {
    readonly hosts: string[];
    private readonly views = new Map<string, dispatch.ObservedUpstreams>();
    /** Number of observations that were sent on. */
    passed = 0;

    constructor(hostCount: number) {
        this.hosts = Array.from({ length: hostCount }, (_, index) => `10.0.0.${index}:1`);
        this.hosts.forEach((host) => this.views.set(host, new dispatch.ObservedUpstreams(host)));
    }

    view(host: number): dispatch.ObservedUpstreams {
        return this.views.get(this.hosts[host] as string) as dispatch.ObservedUpstreams;
    }

    /** A host's own observation, which reaches all others 10 ms later. */
    observe(host: number, incarnation: string, state: dispatch.ObservedState, at: number): void {
        const observer = this.hosts[host] as string;
        const observation = { id: at, incarnation, state, observer, observedAt: at };
        if (!this.view(host).record(observation, at).pass) {
            return;
        }
        for (const [other, view] of this.views) {
            this.passed += other !== observer && view.record(observation, at + 10).pass ? 1 : 0;
        }
    }

    count(incarnation: string, belief: dispatch.Belief, now: number): number {
        return [...this.views.values()].filter((view) => view.beliefOf(incarnation, now) === belief).length;
    }
}

describe("What hosts see of upstreams", () => {
    it("is known to all of 81 hosts as two of them are refused, and more reports are not passed on", () => {
        const fleet = new Fleet(81);
        fleet.observe(0, "a@1", Refused, 0);
        chai.expect(fleet.count("a@1", Suspected, 20)).to.equal(81);
        fleet.observe(1, "a@1", Refused, 20);
        chai.expect(fleet.count("a@1", Down, 40)).to.equal(81);
        for (let host = 2; host < 30; host++) {
            fleet.observe(host, "a@1", Broken, 41);
        }
        chai.expect(fleet.passed).to.be.below(80 * 5);
    });

    it("says that a quarter of the upstreams went down together, which each host reports several of", () => {
        const fleet = new Fleet(81);
        const crashed = Array.from({ length: 16 }, (_, index) => `e-${index}@1`);
        crashed.forEach((incarnation, index) => {
            for (let run = 0; run < 20; run++) {
                fleet.observe((index * 7 + run * 3) % 81, incarnation, Broken, run / 10);
            }
            // Those that probe.
            fleet.observe(index, incarnation, Refused, 20 + index / 10);
            fleet.observe(index + 30, incarnation, Refused, 21 + index / 10);
        });
        crashed.forEach((incarnation) => chai.expect(fleet.count(incarnation, Down, 60)).to.equal(81));
        chai.expect(fleet.count("e-40@1", Sound, 60)).to.equal(81);
    });

    it("clears an upstream that answered a call that was sent later, and not one that was sent before", () => {
        const fleet = new Fleet(5);
        fleet.observe(0, "a@1", Refused, 100);
        fleet.observe(1, "a@1", Refused, 101);
        fleet.observe(2, "a@1", Responded, 50);
        chai.expect(fleet.count("a@1", Down, 130)).to.equal(5);
        fleet.observe(2, "a@1", Responded, 140);
        chai.expect(fleet.count("a@1", Sound, 160)).to.equal(5);
        // What a host saw before that is old.
        fleet.observe(3, "a@1", Refused, 139);
        chai.expect(fleet.count("a@1", Sound, 160)).to.equal(5);
    });

    it("harms no upstream if a host that is cut off, or two, tell that many are silent or broke off", () => {
        const fleet = new Fleet(24);
        for (let index = 0; index < 30; index++) {
            fleet.observe(0, `e-${index}@1`, index % 2 === 0 ? Silent : Refused, index);
        }
        // The first reports pass for suspicions until it is clear who is in doubt.
        const all = Array.from({ length: 30 }, (_, index) => `e-${index}@1`);
        all.forEach((incarnation) => chai.expect(fleet.count(incarnation, Sound, 45)).to.be.least(23));
        all.forEach((incarnation, index) => fleet.observe(1, incarnation, Silent, 50 + index));
        all.forEach((incarnation) => chai.expect(fleet.count(incarnation, Down, 95)).to.equal(0));
    });

    it("is not believed when it is old, and ends by itself", () => {
        const view = new dispatch.ObservedUpstreams("self");
        const tell = (observer: string, observedAt: number, now: number) =>
            view.record({ id: observedAt, incarnation: "a@1", state: Refused, observer, observedAt }, now);
        chai.expect(tell("frozen", 0, 2_500).pass).to.equal(false);
        chai.expect(view.beliefOf("a@1", 2_500)).to.equal(Sound);
        tell("one", 3_000, 3_001);
        chai.expect([view.beliefOf("a@1", 3_900), view.beliefOf("a@1", 4_100)]).to.deep.equal([Suspected, Sound]);
        tell("one", 5_000, 5_000);
        tell("other", 5_001, 5_001);
        chai.expect([view.beliefOf("a@1", 8_900), view.beliefOf("a@1", 9_100)]).to.deep.equal([Down, Sound]);
    });
});

describe("Upstreams that other hosts report", () => {
    it("are chosen after sound ones, and the down ones last", () => {
        const beliefs = new Map([["down", Down], ["suspected", Suspected]]);
        const candidates = ["down", "suspected", "sound"].map((id) => ({
            upstream: { id } as dispatch.Candidate["upstream"],
            health: new dispatch.UpstreamHealth(() => beliefs.get(id) ?? Sound),
        }));
        const options = { availabilityZone: "a", crossZonePenalty: 0, random: () => 0.5 };
        chai.expect(dispatch.rankCandidates(candidates, options, 0).map(({ upstream }) => upstream.id))
            .to.deep.equal(["sound", "suspected", "down"]);
    });
});
