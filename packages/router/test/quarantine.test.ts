import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as standins from "@citronlead/standins";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as net from "node:net";
import type * as contexts from "../src/context.js";
import type * as memberships from "../src/membership/shell.js";
import type * as peers from "../src/peers/transport.js";
import * as quarantines from "../src/quarantine/shell.js";
import type * as upstreams from "../src/upstreams.js";
import * as fixtures from "./routers.js";

const HOSTS = 3;
const SERVICES = 4;
const ADDRESS = "127.0.0.31";
const CRASH_MARK = "fissure";

describe("a lost connection to an upstream", () => {
    const scope = new lifecycle.Scope("breaks");
    const listening = net.createServer((socket) => socket.destroy());
    let quarantine: quarantines.Quarantine;

    before(async () => {
        await new Promise<void>((resolve) => listening.listen(0, ADDRESS, resolve));
        const addresses: Readonly<Record<string, string>> = {
            gone: `http://${ADDRESS}:1`,
            there: `http://${ADDRESS}:${(listening.address() as net.AddressInfo).port}`,
        };
        const context = {
            scope,
            settings: { host: "host-0" },
            clock: lifecycle.monotonicClock,
            log: { warn: () => undefined },
            keyValue: { readPrefix: async () => decision.knownEffect({ entries: [], revision: 1 }) },
        } as unknown as contexts.Context;
        const membership = { roster: () => [], onChange: () => undefined } as unknown as memberships.Membership;
        const transport = { send: () => undefined, onMessage: () => undefined } as unknown as peers.PeerTransport;
        const find = (name: string) => ({ name, address: addresses[name] }) as upstreams.KnownUpstream;
        quarantine = quarantines.startQuarantine(context, membership, transport, { find });
    });
    after(async () => {
        await scope.close();
        listening.close();
    });

    it("makes its content a suspect if the upstream no longer listens, but not if the connection was cut", async () => {
        await quarantine.reportDisconnect("cut", "there", "request");
        chai.expect(quarantine.verdict("cut").standing).to.equal(quarantines.Standing.Clear);
        await quarantine.reportDisconnect("crash", "gone", "request");
        chai.expect(quarantine.verdict("crash").standing).to.equal(quarantines.Standing.Suspect);
    });

    it("holds a suspect back while the upstream is probed, and a completed run clears the suspect", async () => {
        const probed = quarantine.reportDisconnect("crash", "there", "request");
        chai.expect(quarantine.verdict("crash").standing).to.equal(quarantines.Standing.Quarantined);
        await probed;
        chai.expect(quarantine.verdict("crash").standing).to.equal(quarantines.Standing.Suspect);
        quarantine.reportCompletion("crash");
        chai.expect(quarantine.verdict("crash").standing).to.equal(quarantines.Standing.Clear);
    });
});

describe("a content that crashes each upstream that runs it", () => {
    const portBase = testing.testPortBase(800);
    const fixture = new fixtures.RouterFixture(portBase, HOSTS);
    let crashes = 0;

    /** Starts a service that stops listening for good when it receives content with the crash mark. */
    async function startService(index: number): Promise<void> {
        const scope = new lifecycle.Scope(`service-${index}`);
        fixture.scope.defer(() => scope.close());
        const crash = () => {
            crashes++;
            void scope.close();
        };
        const port = portBase + 40 + index;
        const service = await standins.startService(scope, { address: ADDRESS, port, name: `stone-${index}`, crash });
        const body = JSON.stringify({ crashMark: CRASH_MARK });
        await (await fetch(`${service.address}/standin/faults`, { method: "PUT", body })).text();
        await fixture.listUpstream(`stone-${index}`, service.address);
    }

    const callStock = (host: number, body: string) => fixture.send(host, { path: "/stock/blocks", body });

    before(async () => {
        await fixture.start();
        await fixture.setServiceFaults({ departing: true });
        for (let index = 0; index < SERVICES; index++) {
            await startService(index);
        }
        await fixtures.until("the services are listed everywhere", async () => {
            const statuses = await Promise.all(Array.from({ length: HOSTS }, (_, index) => fixture.status(index)));
            return statuses.every((status) => status.pools[0]?.upstreams.length === SERVICES + 1);
        });
    });
    after(() => fixture.stop());

    it("is not quarantined for connections that are cut", async () => {
        const service = `http://${ADDRESS}:${portBase + 40}`;
        const body = JSON.stringify({ dropAnswers: 2 });
        await (await fetch(`${service}/standin/faults`, { method: "PUT", body })).text();
        for (let call = 0; call < 20; call++) {
            await callStock(call % HOSTS, '{"blocks":"cut"}');
        }
        const received = await callStock(0, '{"blocks":"cut"}');
        chai.expect(received.status, received.text).to.equal(200);
    });

    it("is refused at every host after two crashes, while other contents still run", async () => {
        const harmful = `{"blocks":"${CRASH_MARK}"}`;
        const first = fixtures.refusal(await callStock(0, harmful));
        chai.expect(first).to.include({ reason: "quarantined", ran: "unknown" });
        chai.expect(crashes).to.equal(2);
        for (let host = 0; host < HOSTS; host++) {
            await fixtures.until(`host ${host} refuses it for long`, async () => {
                const refused = fixtures.refusal(await callStock(host, harmful));
                chai.expect(refused).to.include({ reason: "quarantined", ran: "no" });
                return (refused.retryAfterMs ?? 0) > 60_000;
            });
        }
        for (let call = 0; call < 12; call++) {
            chai.expect((await callStock(call % HOSTS, `{"blocks":${call}}`)).status).to.equal(200);
        }
        chai.expect(crashes).to.equal(2);
    });

    it("is stored as quarantined for hosts that start later", async () => {
        await fixtures.until("the quarantine is stored", async () => {
            const outcome = await fixture.keyValue.readPrefix("/citronlead/quarantine/");
            return outcome.effect === "known" && outcome.value.entries.length === 1;
        });
    });
});
