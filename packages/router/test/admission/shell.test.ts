import * as lifecycle from "@citronlead/lifecycle";
import * as membership from "@citronlead/membership";
import * as chai from "chai";
import * as timers from "node:timers/promises";
import type * as admissions from "../../src/admission/shell.js";
import * as fakes from "./fakes.js";

const WORKSPACE = "atelier";

describe("admission in the router", () => {
    let fleet: fakes.FakeFleet;

    afterEach(() => fleet.scope.close());

    function charge(
        host: string,
        tokens: number,
        patienceMs: number,
        signal = new AbortController().signal,
    ): Promise<admissions.Charge> {
        const deadline = lifecycle.monotonicClock() + patienceMs;
        return fleet.admission(host).charge({ requestId: "same", workspace: WORKSPACE, tokens, deadline, signal });
    }

    it("answers without a message when this host owns a slice with enough tokens", async () => {
        fleet = new fakes.FakeFleet(["braga", "porto", "gmr"], { tokensPerSecond: 90_000, burstTokens: 90_000 });
        chai.expect((await charge("braga", 100, 10_000)).granted).to.equal(true);
        await timers.setTimeout(50);
        const before = fleet.sentMessages.length;
        const granted = await charge("braga", 100, 10_000);
        chai.expect(granted.granted).to.equal(true);
        chai.expect(fleet.sentMessages.slice(before)).to.deep.equal([]);
    });

    it("collects a charge that is too large for one slice, and permanently refuses one above the burst", async () => {
        fleet = new fakes.FakeFleet(["braga", "porto", "gmr"], { tokensPerSecond: 27_000, burstTokens: 9_000 });
        chai.expect((await charge("braga", 8_000, 20_000)).granted).to.equal(true);
        const never = await charge("porto", 9_001, 20_000);
        chai.expect(never).to.deep.equal({ granted: false, retryAfterMs: undefined });
    });

    it("refuses at once, with a retry time, a charge that cannot be granted before its deadline", async () => {
        fleet = new fakes.FakeFleet(["braga", "porto", "gmr"], { tokensPerSecond: 30, burstTokens: 3_000 });
        chai.expect((await charge("braga", 3, 10_000)).granted).to.equal(true);
        const startedAt = lifecycle.monotonicClock();
        const refused = await charge("porto", 2_000, 30_000);
        chai.expect(refused.granted).to.equal(false);
        chai.expect(!refused.granted && refused.retryAfterMs).to.be.greaterThan(30_000);
        chai.expect(lifecycle.monotonicClock() - startedAt).to.be.lessThan(10_000);
    });

    it("asks the next slice when an owner does not answer", async () => {
        fleet = new fakes.FakeFleet(["braga", "porto", "gmr", "client"], {
            tokensPerSecond: 90_000,
            burstTokens: 90_000,
        });
        chai.expect((await charge("client", 10, 10_000)).granted).to.equal(true);
        fleet.silentHosts.add("braga");
        const charges = await Promise.all(Array.from({ length: 12 }, () => charge("client", 10, 10_000)));
        chai.expect(charges.filter((answer) => answer.granted)).to.have.length(12);
        const cancelled = fleet.sentMessages.filter((line) => line === "client braga settlement");
        chai.expect(cancelled.length).to.be.greaterThan(0);
    });

    it("settles a charge with its owner only once", async () => {
        fleet = new fakes.FakeFleet(["braga", "porto", "gmr", "client"], {
            tokensPerSecond: 90_000,
            burstTokens: 90_000,
        });
        const granted = await charge("client", 30, 30_000);
        if (!granted.granted) {
            throw new Error("the charge was refused");
        }
        const settlements = () => fleet.sentMessages.filter((line) => line.endsWith("settlement"));
        granted.settle(10);
        granted.settle(10);
        while (settlements().length === 0) {
            await timers.setTimeout(20);
        }
        await timers.setTimeout(100);
        chai.expect(settlements()).to.have.length(1);
    });

    it("refuses a waiting charge whose caller disconnects", async () => {
        fleet = new fakes.FakeFleet(["braga", "porto", "gmr"], { tokensPerSecond: 30, burstTokens: 3_000 });
        const caller = new AbortController();
        const waiting = charge("braga", 300, 60_000, caller.signal);
        await timers.setTimeout(50);
        caller.abort();
        chai.expect((await waiting).granted).to.equal(false);
    });

    it("hands over the exact level to the next owner", async () => {
        fleet = new fakes.FakeFleet(["braga", "porto"], { tokensPerSecond: 90, burstTokens: 2_700 });
        const first = await charge("braga", 90, 30_000);
        chai.expect(first.granted).to.equal(true);
        if (first.granted) {
            first.settle(0);
        }
        const [braga, porto] = fleet.hosts;
        for (const slice of [0, 2]) {
            chai.expect(fleet.owners.get(membership.slicePartition(WORKSPACE, slice))?.host).to.equal(braga);
            await fleet.handOver(membership.slicePartition(WORKSPACE, slice), porto!);
        }
        chai.expect(fleet.sentMessages.filter((line) => line.endsWith("sliceHandOver"))).to.have.length(2);
        // The new owner's term starts after the owners of the other slices have confirmed the configuration revision.
        await timers.setTimeout(200);
        chai.expect((await charge("porto", 90, 450)).granted).to.equal(true);
    });
});
