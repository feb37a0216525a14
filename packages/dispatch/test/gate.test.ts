import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

const { Exclusion, AwayDecision } = dispatch;

describe("SendGate", () => {
    it("excludes an upstream that leaves for good, and says once that it is news", () => {
        const gate = new dispatch.SendGate();
        chai.expect(gate.exclusion(0)).to.equal(undefined);
        chai.expect([gate.recordLeaving(), gate.recordLeaving()]).to.deep.equal([true, false]);
        chai.expect(gate.exclusion(1e12)).to.equal(Exclusion.Leaving);
        chai.expect(gate.returnsInMs(0)).to.equal(Infinity);
    });

    it("excludes an upstream at least until each wait that it has named is over, and not much longer", () => {
        const waits = fastCheck.array(
            fastCheck.record({
                at: fastCheck.nat(10_000),
                waitMs: fastCheck.double({ min: 0, max: 1e12, noNaN: true }),
                spread: fastCheck.double({ min: 0, max: 1, noNaN: true }),
            }),
            { minLength: 1, maxLength: 8 },
        );
        fastCheck.assert(fastCheck.property(waits, (named) => {
            const gate = new dispatch.SendGate();
            for (const { at, waitMs, spread } of [...named].sort((one, other) => one.at - other.at)) {
                gate.recordWait(waitMs, spread, at);
            }
            const last = Math.max(...named.map(({ at, waitMs }) => at + waitMs));
            chai.expect(gate.exclusion(last + 1_000.01)).to.equal(undefined);
            if (last > 10_000) {
                chai.expect(gate.exclusion(last - 0.01)).to.equal(Exclusion.Waiting);
                chai.expect(gate.returnsInMs(10_000)).to.be.least(last - 10_000);
            }
        }));
    });

    it("excludes a replaced incarnation until its registration has lapsed", () => {
        const gate = new dispatch.SendGate();
        gate.recordReplaced(100);
        chai.expect(gate.exclusion(200)).to.equal(Exclusion.Replaced);
        chai.expect(gate.exclusion(4_100)).to.equal(undefined);
    });
});

describe("decideWhileAway", () => {
    it("waits only if the target and a third of the caller's time allow it", () => {
        const cases: [number, number, number, dispatch.AwayDecision][] = [
            [100, 500, 1_200, AwayDecision.Wait],
            [500, 500, 6_000, AwayDecision.Refuse],
            [400, 500, 1_200, AwayDecision.Refuse],
            [Infinity, 500, 6_000, AwayDecision.Refuse],
            [10, -20, 6_000, AwayDecision.Refuse],
        ];
        for (const [returnsInMs, targetInMs, deadlineInMs, expected] of cases) {
            chai.expect(dispatch.decideWhileAway(returnsInMs, targetInMs, deadlineInMs)).to.equal(expected);
        }
    });
});

// Plays hosts that send to engines which are overrun and name waits, and engines that leave.
describe("SendGate under load", () => {
    const HOSTS = 24;
    const ENGINES = 6;
    const RATE_PER_HOST = 40;
    const CAPACITY_PER_SECOND = 60;
    const LENGTH_MS = 20_000;
    /** Requests of a host that may reach an engine in a named wait: those under way when it was named. */
    const MAX_IN_WAIT = 2;

    testing.forEachSeed([1, 2, 3, 4, 5, 6, 7, 8], (seed) => {
        it(`sends nothing in named waits and returns spread out (seed ${seed})`, () => {
            const random = decision.seeded(seed);
            const gates = Array.from(
                { length: HOSTS },
                () => Array.from({ length: ENGINES }, () => new dispatch.SendGate()),
            );
            const named = new Map<string, number>();
            const arrivals: { engine: number; at: number; }[] = [];
            let inWait = 0;
            const served = Array.from({ length: ENGINES }, () => 0);
            for (let now = 0; now < LENGTH_MS; now++) {
                if (now % 1_000 === 0) {
                    served.fill(0);
                }
                for (let host = 0; host < HOSTS; host++) {
                    if (random.fraction() * 1_000 >= RATE_PER_HOST) {
                        continue;
                    }
                    const open = gates[host]?.flatMap((gate, engine) =>
                        gate.exclusion(now) === undefined ? [engine] : []
                    ) ?? [];
                    const engine = open[Math.floor(random.fraction() * open.length)];
                    if (engine === undefined) {
                        continue;
                    }
                    arrivals.push({ engine, at: now });
                    inWait += now < (named.get(`${host} ${engine}`) ?? 0) ? 1 : 0;
                    if ((served[engine] ?? 0) >= CAPACITY_PER_SECOND) {
                        const waitMs = 500 + random.fraction() * 1_500;
                        named.set(`${host} ${engine}`, now + waitMs);
                        gates[host]?.[engine]?.recordWait(waitMs, random.fraction(), now);
                    }
                    else {
                        served[engine] = (served[engine] ?? 0) + 1;
                    }
                }
            }
            chai.expect(inWait, "requests in named waits").to.be.at.most(MAX_IN_WAIT);
            for (let engine = 0; engine < ENGINES; engine++) {
                const times = arrivals.filter((arrival) => arrival.engine === engine).map(({ at }) => at);
                chai.expect(testing.mostInWindow(times, 100), "requests in a tenth of a second")
                    .to.be.below(CAPACITY_PER_SECOND);
            }
        });
    });
});
