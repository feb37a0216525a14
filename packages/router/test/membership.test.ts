import * as lifecycle from "@citronlead/lifecycle";
import * as membership from "@citronlead/membership";
import * as standins from "@citronlead/standins";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as memberships from "../src/membership/shell.js";
import * as peers from "../src/peers/transport.js";
import * as routerContexts from "./context.js";

const PORT_OFFSET = 400;
/** Shorter durations than in production, to keep the tests short; all membership rules apply. */
const TIMING: membership.Timing = { leaseMs: 2_500, promiseMs: 2_500, graceMs: 200 };
const PARTITIONS = membership.allPartitions();

interface Member {
    readonly scope: lifecycle.Scope;
    readonly membership: memberships.Membership;
    readonly host: string;
}

async function startMember(parent: lifecycle.Scope, index: number, platformPort: number): Promise<Member> {
    const scope = parent.child(`host-${index}`);
    const context = routerContexts.makeRouterContext(scope, index, platformPort);
    const transport = await peers.openPeerTransport(context);
    const started = memberships.startMembership(context, transport, TIMING);
    return { scope, membership: started, host: context.settings.host };
}

async function until(what: string, condition: () => boolean, limitMs = 20_000): Promise<void> {
    const endsAt = lifecycle.monotonicClock() + limitMs;
    while (!condition()) {
        chai.expect(lifecycle.monotonicClock(), what).to.be.below(endsAt);
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}

function holders(members: readonly Member[], partition: string): readonly Member[] {
    return members.filter((member) => member.membership.rightFor(partition) !== undefined);
}

function eachHeldOnce(members: readonly Member[]): boolean {
    return PARTITIONS.every((partition) => {
        const held = holders(members, partition).length;
        chai.expect(held, partition).to.be.at.most(1);
        return held === 1;
    });
}

function heldByWantedOwners(members: readonly Member[]): boolean {
    const roster = members[0]?.membership.roster() as readonly membership.HostRecord[];
    const wanted = membership.desiredOwners(PARTITIONS, roster);
    return PARTITIONS.every((partition) => holders(members, partition)[0]?.host === wanted[partition]?.host);
}

function setFaults(platformPort: number, faults: object): Promise<unknown> {
    const url = `http://127.0.0.1:${platformPort}/standin/faults`;
    return fetch(url, { method: "PUT", body: JSON.stringify(faults) });
}

describe("membership of three routers", () => {
    let scope: lifecycle.Scope;
    let offset = PORT_OFFSET;
    let port = 0;
    let members: Member[] = [];

    beforeEach(async () => {
        scope = new lifecycle.Scope("test");
        port = testing.testPortBase(offset);
        offset += 10;
        const options = { address: "127.0.0.1", port, weightRateBytesPerSecond: 1 };
        await standins.startPlatform(scope, options);
        members = await Promise.all([0, 1, 2].map((index) => startMember(scope, index, port)));
        await until("all settled", () => members.every((member) => member.membership.settled()));
        await until(
            "all partitions held by their wanted owners",
            () => eachHeldOnce(members) && heldByWantedOwners(members),
        );
    });
    afterEach(() => scope.close());

    it("gives every partition to one host, and slices of a workspace to different zones", () => {
        const owners = [0, 1, 2].map((slice) => {
            const partition = membership.slicePartition("guild", slice);
            return holders(members, partition)[0]?.host;
        });
        chai.expect(new Set(owners).size).to.equal(3);
    });

    it("takes over what a dead host owned", async () => {
        const [dead, ...others] = members;
        const held = PARTITIONS.filter((partition) => dead?.membership.rightFor(partition));
        const fencing = new Map(held.map((name) => [name, dead?.membership.rightFor(name)?.fencing ?? 0]));
        await dead?.scope.close();
        await until("partitions taken over", () => eachHeldOnce(others));
        for (const partition of held) {
            const right = holders(others, partition)[0]?.membership.rightFor(partition);
            chai.expect(right?.fencing).to.be.above(fencing.get(partition) ?? 0);
        }
    });

    it("keeps every right during an outage of the key-value service that is longer than a lease", async () => {
        await setFaults(port, { outage: true });
        const endsAt = lifecycle.monotonicClock() + 1.3 * TIMING.leaseMs;
        while (lifecycle.monotonicClock() < endsAt) {
            chai.expect(eachHeldOnce(members)).to.equal(true);
            await new Promise((resolve) => setTimeout(resolve, 100));
        }
        await setFaults(port, { outage: false });
        await until("all settled again", () => members.every((member) => member.membership.settled()));
        chai.expect(eachHeldOnce(members)).to.equal(true);
    });

    it("hands over everything at a planned stop, after the hand-over listeners were called", async () => {
        const [leaving, ...others] = members;
        const notified: string[] = [];
        leaving?.membership.beforeHandOver(async (partition) => {
            chai.expect(leaving.membership.rightFor(partition)).to.equal(undefined);
            notified.push(partition);
        });
        const held = PARTITIONS.filter((partition) => leaving?.membership.rightFor(partition));
        await leaving?.membership.handOver();
        chai.expect(notified.sort()).to.deep.equal([...held].sort());
        await until("partitions handed over", () => eachHeldOnce(others));
        chai.expect(others[0]?.membership.roster().map((host) => host.host)).not.to.include(leaving?.host);
    });

    it("joins and takes over its share although the first responses to its writes are lost", async () => {
        await setFaults(port, { dropWriteAnswers: 2 });
        const late = await startMember(scope, 3, port);
        const all = [...members, late];
        await until(
            "the late host holds a share",
            () =>
                eachHeldOnce(all) && PARTITIONS.some((partition) => late.membership.rightFor(partition) !== undefined),
        );
    });
});
