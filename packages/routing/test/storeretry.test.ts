import * as chai from "chai";
import * as routing from "../src/index.js";

/** Number of calls of one poller in an outage, spread evenly over the hosts' jitter. */
function callsInOutage(isReader: boolean, outageMs: number): number {
    let calls = 0;
    for (let at = 0; at < outageMs;) {
        calls++;
        at += routing.storeRetryDelayMs({ isReader, failures: calls, listingPeriodMs: 2_000, jitter: 0.5 });
    }
    return calls;
}

describe("storeRetryDelayMs", () => {
    it("notices the end of an outage within a second at a reader", () => {
        for (let failures = 1; failures < 40; failures++) {
            const delayMs = routing.storeRetryDelayMs({ isReader: true, failures, listingPeriodMs: 2_000, jitter: 1 });
            chai.expect(delayMs).to.be.within(250, 1_000);
        }
    });

    it("makes a fleet's calls in an outage grow little with its hosts", () => {
        const calls = (hosts: number) => {
            const readers = 2 * Math.ceil(hosts / 24);
            return readers * callsInOutage(true, 9_000) + (hosts - readers) * callsInOutage(false, 9_000);
        };
        // Every period, the followers alone would make five calls each.
        chai.expect(calls(195) / 195).to.be.below(5);
        chai.expect(calls(380) / 380).to.be.at.most(calls(195) / 195 + 0.2);
    });

    it("spreads the calls of followers", () => {
        const delay = (jitter: number) =>
            routing.storeRetryDelayMs({ isReader: false, failures: 1, listingPeriodMs: 2_000, jitter });
        chai.expect(delay(0)).to.equal(1_500);
        chai.expect(delay(1)).to.equal(2_500);
    });
});
