import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as dgram from "node:dgram";
import * as messages from "../src/messages.js";
import * as fixtures from "./fixture.js";

const PORT_OFFSETS = [4_100, 4_200, 4_300, 4_400, 4_500, 4_600];
/** Offset of a gateway's port for messages; see `Fixture.settings`. */
const PEERS_OFFSET = 3;
const CALLS_PER_HOST = 20;

describe("Hosts of one fleet", () => {
    let hosts: fixtures.Fixture[];
    const addressOf = (offset: number) => `127.0.0.1:${testing.testPortBase(offset) + PEERS_OFFSET}`;

    beforeEach(async () => {
        hosts = PORT_OFFSETS.map((offset) => new fixtures.Fixture(offset));
        const [first, ...others] = hosts as [fixtures.Fixture, ...fixtures.Fixture[]];
        for (const id of ["one", "two", "three"]) {
            const standIn = await first.addStandIn(id);
            standIn.behave = (received, response) =>
                received.path === "/health" ? void response.end() : fixtures.signed(response, received, id);
        }
        others.forEach((host) => host.standIns.push(...first.standIns));
        const addresses = PORT_OFFSETS.map(addressOf);
        for (const host of hosts) {
            host.hosts = [...addresses, "127.0.0.1:9"];
            await host.start(fixtures.makeConfiguration());
        }
        // Time to list the hosts.
        await lifecycle.pause(first.scope, 100);
    });
    afterEach(async () => {
        for (const host of hosts) {
            await host.close();
        }
    });

    const callAll = async (hostsToCall: readonly fixtures.Fixture[], ids: string) => {
        const calls = hostsToCall.flatMap((host, index) =>
            Array.from(
                { length: CALLS_PER_HOST },
                (_, call) => host.send({ headers: { "request-id": `${ids}-${index}-${call}` } }),
            )
        );
        await Promise.all(calls);
    };
    const refusedSends = async (host: fixtures.Fixture) => {
        const text = (await host.get(2, "/metrics")).body;
        const lines = text.split("\n").filter((line) => /sends_total.*result="notRun/.test(line));
        return lines.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
    };
    const idle = (ms: number) => lifecycle.pause((hosts[0] as fixtures.Fixture).scope, ms);

    it("avoid an upstream that is down, all of them 0.2 s after one had a failed send", async () => {
        const [first, ...others] = hosts as [fixtures.Fixture, ...fixtures.Fixture[]];
        const down = first.standIns[0] as fixtures.StandIn;
        await down.stop();
        for (let call = 0; call < CALLS_PER_HOST && await refusedSends(first) === 0; call++) {
            await first.send({ headers: { "request-id": `first-${call}` } });
        }
        chai.expect(await refusedSends(first)).to.equal(1);
        await idle(200);
        for (const host of hosts) {
            const { body } = await host.get(2, "/metrics");
            chai.expect(body).to.match(/upstream_belief{service="counter",upstream="one"} [12]/);
            chai.expect(body).to.match(/upstream_belief{service="counter",upstream="two"} 0/);
        }
        for (const host of others) {
            for (let call = 0; call < CALLS_PER_HOST / 2; call++) {
                chai.expect(await host.send({ headers: { "request-id": `other-${call}` } })).to.include({
                    status: 200,
                });
            }
        }
        const refused = await Promise.all(others.map(refusedSends));
        chai.expect(refused).to.deep.equal(others.map(() => 0));
    });

    it("use an upstream of which hosts tell wrong or old things", async () => {
        const [first, ...others] = hosts as [fixtures.Fixture, ...fixtures.Fixture[]];
        const slandered = first.standIns[1] as fixtures.StandIn;
        const socket = dgram.createSocket("udp4");
        first.scope.defer(() => new Promise((resolve) => socket.close(resolve)));
        let id = 0;
        const tell = (observer: string, ageMs: number) => {
            const observation = { incarnation: `${slandered.upstream.id}@1`, state: dispatch.ObservedState.Refused };
            const message = {
                kind: messages.MessageKind.Observations,
                observations: [{ ...observation, id: ++id, observer, ageMs }],
            };
            PORT_OFFSETS.forEach((offset) =>
                socket.send(JSON.stringify(message), testing.testPortBase(offset) + PEERS_OFFSET, "127.0.0.1")
            );
        };
        // One that is wrong, one that is not known, and one whose words are old.
        lifecycle.every(first.scope, 50, () => {
            tell("127.0.0.1:9", 0);
            tell("127.0.0.1:10", 0);
            tell(addressOf(PORT_OFFSETS[5] as number), 5_000);
        });
        for (let round = 0; round < 5; round++) {
            await idle(300);
            await callAll(others, `round-${round}`);
        }
        const runs = slandered.received.filter(({ path }) => path === "/book/1").length;
        // An equal share is a third.
        chai.expect(runs).to.be.above(5 * others.length * CALLS_PER_HOST / 10);
    });
});
