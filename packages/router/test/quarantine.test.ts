import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as standins from "@citronlead/standins";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as net from "node:net";
import type * as contexts from "../src/context.js";
import type * as memberships from "../src/membershipshell.js";
import type * as peers from "../src/peers.js";
import * as quarantines from "../src/quarantineshell.js";
import type * as upstreams from "../src/upstreams.js";
import * as fixtures from "./operationsfixture.js";

const HOSTS = 3;
const SERVICES = 4;
const ADDRESS = "127.0.0.31";
const MARK = "fissure";

describe("a break of an upstream", () => {
    const scope = new lifecycle.Lifecycle("breaks");
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
            keyValue: { readPrefix: async () => decision.known({ entries: [], revision: 1 }) },
        } as unknown as contexts.Context;
        const alone = { roster: () => [], onChange: () => undefined } as unknown as memberships.Membership;
        const links = { send: () => undefined, receive: () => undefined } as unknown as peers.Peers;
        const find = (name: string) => ({ name, address: addresses[name] }) as upstreams.KnownUpstream;
        quarantine = quarantines.startQuarantine(context, alone, links, { find });
    });
    after(async () => {
        await scope.close();
        listening.close();
    });

    it("makes a suspect if nobody listens any more, and not if the connection was cut", async () => {
        await quarantine.noteBreak("cut", "there", "request");
        chai.expect(quarantine.verdict("cut").standing).to.equal(quarantines.Standing.Clear);
        await quarantine.noteBreak("crash", "gone", "request");
        chai.expect(quarantine.verdict("crash").standing).to.equal(quarantines.Standing.Suspect);
    });

    it("holds a suspect back while it is looked into, and a good run clears it", async () => {
        const looked = quarantine.noteBreak("crash", "there", "request");
        chai.expect(quarantine.verdict("crash").standing).to.equal(quarantines.Standing.Quarantined);
        await looked;
        chai.expect(quarantine.verdict("crash").standing).to.equal(quarantines.Standing.Suspect);
        quarantine.noteWhole("crash");
        chai.expect(quarantine.verdict("crash").standing).to.equal(quarantines.Standing.Clear);
    });
});

describe("a content that crashes each upstream that runs it", () => {
    const portBase = testing.testPortBase(800);
    const fixture = new fixtures.Fixture(portBase, HOSTS);
    let crashes = 0;

    /** Starts a service that stops listening when it gets the marked content, and never comes back. */
    async function startService(index: number): Promise<void> {
        const scope = new lifecycle.Lifecycle(`service-${index}`);
        fixture.scope.own(() => scope.close());
        const crash = () => {
            crashes++;
            void scope.close();
        };
        const port = portBase + 40 + index;
        const service = await standins.startService(scope, { address: ADDRESS, port, name: `stone-${index}`, crash });
        const body = JSON.stringify({ crashMark: MARK });
        await (await fetch(`${service.address}/standin/faults`, { method: "PUT", body })).text();
        await fixture.list(`stone-${index}`, service.address);
    }

    const stock = (host: number, body: string) => fixture.send(host, { path: "/stock/blocks", body });

    before(async () => {
        await fixture.start();
        await fixture.serviceFaults({ departing: true });
        for (let index = 0; index < SERVICES; index++) {
            await startService(index);
        }
        await fixtures.until("the services are listed everywhere", async () => {
            const statuses = await Promise.all(Array.from({ length: HOSTS }, (_, index) => fixture.status(index)));
            return statuses.every((status) => status.pools[0]?.upstreams.length === SERVICES + 1);
        });
    });
    after(() => fixture.stop());

    it("is not blamed for connections that are cut", async () => {
        const service = `http://${ADDRESS}:${portBase + 40}`;
        const body = JSON.stringify({ dropAnswers: 2 });
        await (await fetch(`${service}/standin/faults`, { method: "PUT", body })).text();
        for (let call = 0; call < 20; call++) {
            await stock(call % HOSTS, '{"blocks":"cut"}');
        }
        const received = await stock(0, '{"blocks":"cut"}');
        chai.expect(received.status, received.text).to.equal(200);
    });

    it("is refused at every host after two crashes, and others go on", async () => {
        const harmful = `{"blocks":"${MARK}"}`;
        const first = fixtures.refusal(await stock(0, harmful));
        chai.expect(first).to.include({ reason: "quarantined", ran: "unknown" });
        chai.expect(crashes).to.equal(2);
        for (let host = 0; host < HOSTS; host++) {
            await fixtures.until(`host ${host} refuses it for long`, async () => {
                const refused = fixtures.refusal(await stock(host, harmful));
                chai.expect(refused).to.include({ reason: "quarantined", ran: "no" });
                return (refused.retryAfterMs ?? 0) > 60_000;
            });
        }
        for (let call = 0; call < 12; call++) {
            chai.expect((await stock(call % HOSTS, `{"blocks":${call}}`)).status).to.equal(200);
        }
        chai.expect(crashes).to.equal(2);
    });

    it("is kept for hosts that start later", async () => {
        await fixtures.until("the quarantine is kept", async () => {
            const outcome = await fixture.keyValue.readPrefix("/citronlead/quarantine/");
            return outcome.effect === "known" && outcome.value.entries.length === 1;
        });
    });
});
