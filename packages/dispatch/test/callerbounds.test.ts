import * as chai from "chai";
import * as dispatch from "../src/index.js";

const MEGABYTE = 1_048_576;
const PERIOD_MS = 500;
const TIMES: dispatch.PeerTimes = { headMs: 3_000, idleMs: 15_000 };

describe("Bounds on what a host holds for its callers", () => {
    it("leave room for the process and for a connection to an upstream for each that is served", () => {
        for (const memoryMegabytes of [88, 160, 180, 200, 250, 350, 602]) {
            for (const descriptors of [500, 4_100, 8_192]) {
                const bounds = dispatch.boundsOf({ memoryBytes: memoryMegabytes * MEGABYTE, descriptors });
                chai.expect(bounds.heldBytes).to.be.within(8 * MEGABYTE, 0.4 * memoryMegabytes * MEGABYTE);
                const served = bounds.callerConnections + bounds.hostConnections;
                chai.expect(2 * served + 2 * bounds.probeConnections).to.be.at.most(descriptors - 200);
            }
        }
    });

    it("are met by no deployment whose callers reuse their connections", () => {
        const bounds = dispatch.boundsOf({ memoryBytes: 88 * MEGABYTE, descriptors: 4_100 });
        chai.expect(bounds.callerConnections).to.be.above(1_000);
    });
});

describe("Too many connections", () => {
    const use = (name: string, idleSince: number, change: Partial<dispatch.ConnectionUse> = {}) => ({
        name,
        isBusy: false,
        hasPartialHead: false,
        isStalled: false,
        idleSince,
        ...change,
    });

    it("close the longest idle, then unfinished heads, then answers that are not read, and no other", () => {
        const uses = [
            use("served", 0, { isBusy: true }),
            use("stalled", 1, { isBusy: true, isStalled: true }),
            use("head", 2, { hasPartialHead: true }),
            use("idle", 4),
            use("longer idle", 3),
        ];
        const order: (string | undefined)[] = [];
        for (let left = uses; order.length < uses.length;) {
            const choice = dispatch.chooseToClose(left);
            order.push(choice?.name);
            left = left.filter((each) => each !== choice);
        }
        chai.expect(order).to.deep.equal(["longer idle", "idle", "head", "stalled", undefined]);
    });
});

describe("ProgressCheck", () => {
    const idle = { hasPartialHead: false, isUnused: false, unreadBytes: 0, takenBytes: 0 };
    /** The number of checks after which a connection is closed, and why. */
    const checksUntilClosed = (progress: (check: number) => dispatch.ConnectionProgress) => {
        const check = new dispatch.ProgressCheck(PERIOD_MS);
        for (let count = 1; count <= 100; count++) {
            const reason = check.check(progress(count), TIMES);
            if (reason !== undefined) {
                return { count, reason };
            }
        }
        return undefined;
    };

    it("closes a connection whose head, first request or reader takes longer than its limit", () => {
        const { HeadOverdue, Unused, AnswerUnread } = dispatch.CloseReason;
        chai.expect(checksUntilClosed(() => ({ ...idle, hasPartialHead: true })))
            .to.deep.equal({ count: 8, reason: HeadOverdue });
        chai.expect(checksUntilClosed(() => ({ ...idle, isUnused: true }))).to.deep.equal({
            count: 32,
            reason: Unused,
        });
        chai.expect(checksUntilClosed(() => ({ ...idle, unreadBytes: 9, takenBytes: 7 }))?.reason)
            .to.equal(AnswerUnread);
    });

    it("keeps a connection that goes on, however slowly", () => {
        chai.expect(checksUntilClosed((count) => ({ ...idle, unreadBytes: 9, takenBytes: Math.floor(count / 20) })))
            .to.equal(undefined);
        chai.expect(checksUntilClosed((count) => ({ ...idle, hasPartialHead: count % 6 !== 0 }))).to.equal(undefined);
        chai.expect(checksUntilClosed(() => idle)).to.equal(undefined);
    });
});
