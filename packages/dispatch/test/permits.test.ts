import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

const EXTRA = 10;
const { NotArrived, Arrived, PrefillAccepted } = dispatch.SendEnd;

// Plays many requests whose prefills fail, or do not, at once: what reaches upstreams beyond the first is within the budget.
describe("SendPermits", () => {
    it("permit no send beyond the first without a retry from the budget, however sends of requests overlap", () => {
        const step = fastCheck.record({
            request: fastCheck.nat(7),
            kind: fastCheck.constantFrom("prefill", "run", "settle", "hold", "close"),
            end: fastCheck.constantFrom(NotArrived, Arrived, PrefillAccepted),
        });
        fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 200 }), (steps) => {
            let left = EXTRA;
            let used = 0;
            const source: dispatch.RetrySource = {
                remaining: () => left,
                tryAcquire: (count) => left >= count && (left -= count, true),
                use: () => void used++,
                release: () => void left++,
            };
            const requests = Array.from({ length: 8 }, () => ({
                permits: new dispatch.SendPermits(source),
                open: [] as dispatch.SendPermit[],
                prefillsAccepted: 0,
                arrived: 0,
            }));
            for (const { request: index, kind, end } of steps) {
                const request = requests[index] as (typeof requests)[number];
                const { permits, open } = request;
                if (kind === "prefill" || kind === "run") {
                    const may = permits.mayBegin(kind === "prefill");
                    const permit = permits.tryBegin(kind === "prefill");
                    chai.expect(permit !== undefined).to.equal(may);
                    open.push(...permit ? [permit] : []);
                }
                else if (kind === "hold") {
                    permits.tryHold(1);
                }
                else if (kind === "close") {
                    permits.close();
                }
                else {
                    const permit = open.shift();
                    const actual = !permit?.isPrefill && end === PrefillAccepted ? Arrived : end;
                    if (permit) {
                        permits.settle(permit, actual);
                        request.arrived += actual === NotArrived ? 0 : 1;
                        request.prefillsAccepted += actual === PrefillAccepted ? 1 : 0;
                    }
                }
                const extras = requests.reduce(
                    (sum, { arrived, prefillsAccepted }) =>
                        sum + Math.max(0, arrived - (prefillsAccepted > 0 ? 1 : 0) - 1),
                    0,
                );
                chai.expect(extras).to.be.at.most(EXTRA);
                chai.expect(left).to.be.at.least(0);
            }
            for (const { permits, open } of requests) {
                open.forEach((permit) => permits.settle(permit, NotArrived));
                permits.close();
            }
            chai.expect(left + used).to.equal(EXTRA);
        }));
    });

    it("permit a prefill only if the send after it is, should it fail, and keep no more than that needs", () => {
        let left = 1;
        const source: dispatch.RetrySource = {
            remaining: () => left,
            tryAcquire: (count) => left >= count && (left -= count, true),
            use: () => undefined,
            release: () => void left++,
        };
        const permits = new dispatch.SendPermits(source);
        const other = new dispatch.SendPermits(source);
        const prefill = permits.tryBegin(true);
        chai.expect(other.tryBegin(true)).to.equal(undefined);
        chai.expect(other.tryBegin(false)).to.not.equal(undefined);
        permits.settle(prefill as dispatch.SendPermit, PrefillAccepted);
        chai.expect(left).to.equal(1);
        chai.expect(permits.tryBegin(false)).to.deep.equal({ isFirst: true, isPrefill: false });
    });
});
