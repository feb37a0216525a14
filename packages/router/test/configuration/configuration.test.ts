import * as chai from "chai";
import * as fixtures from "../routers.js";
import * as followers from "./fixture.js";

const HOSTS = 3;
/** How far each check moves the hosts' clock forward, so that the tests need not wait for timers. */
const CLOCK_STEP_MS = 100;

describe("the configuration in force at hosts", () => {
    let fleet: followers.Followers;
    const revisions = () => fleet.hosts.map((host) => host.configuration.current()?.revision ?? 0);
    const waitUntilInForce = () =>
        fixtures.until(
            `revision ${fleet.revision} at all hosts`,
            () => {
                fleet.clockOffsetMs += CLOCK_STEP_MS;
                return revisions().every((revision) => revision === fleet.revision);
            },
        );

    beforeEach(async () => {
        fleet = new followers.Followers();
        await fleet.start(HOSTS);
        await waitUntilInForce();
    });
    afterEach(() => fleet.scope.close());

    it("follows every change, including its content", async () => {
        await fleet.acceptRevision();
        await fleet.acceptRevision();
        await waitUntilInForce();
        chai.expect(fleet.hosts.map((host) => host.configuration.current()?.keys.length)).to.deep.equal([3, 3, 3]);
    });

    it("follows changes when the watch reports no events", async () => {
        await fleet.setFaults({ silentWatches: true });
        await fleet.acceptRevision();
        await waitUntilInForce();
    });

    it("reaches a host that cannot reach the key-value service, through its peers", async () => {
        await fleet.hosts[2]!.scope.close();
        fleet.startHost("host-2", true);
        await waitUntilInForce();
        await fleet.acceptRevision();
        await waitUntilInForce();
        chai.expect(fleet.hosts[2]!.configuration.keysUsable()).to.equal(true);
    });

    it("survives a rolling restart of all hosts during an outage of the key-value service", async () => {
        await fleet.setFaults({ outage: true });
        for (let index = 0; index < HOSTS; index++) {
            await fleet.hosts[index]!.scope.close();
            fleet.startHost(`host-${index}`, false);
            await waitUntilInForce();
        }
        chai.expect(fleet.revision).to.equal(1);
    });

    it("makes keys unusable at an isolated host, which could miss a withdrawal, until it reaches its peers", async () => {
        const isolatedHost = fleet.hosts[1]!;
        chai.expect(isolatedHost.configuration.keysUsable()).to.equal(true);
        isolatedHost.keyValueCutOff = true;
        isolatedHost.isolated = true;
        await new Promise((resolve) => setTimeout(resolve, 100));
        fleet.clockOffsetMs += 7_000;
        chai.expect(isolatedHost.configuration.keysUsable()).to.equal(false);
        await fixtures.until("keys are usable at the other hosts", () => fleet.hosts[0]!.configuration.keysUsable());
        isolatedHost.isolated = false;
        await fixtures.until("keys are usable again", () => isolatedHost.configuration.keysUsable());
    });

    it("keeps keys usable while no host can reach the key-value service", async () => {
        await fleet.setFaults({ outage: true });
        fleet.clockOffsetMs += 2_500;
        for (let step = 0; step < 3; step++) {
            await new Promise((resolve) => setTimeout(resolve, 600));
            chai.expect(fleet.hosts.map((host) => host.configuration.keysUsable())).to.deep.equal([true, true, true]);
            fleet.clockOffsetMs += 1_000;
        }
    });
});
