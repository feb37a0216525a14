import * as lifecycle from "@citronlead/lifecycle";
import * as standins from "@citronlead/standins";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fixtures from "./operationsfixture.js";

const HOSTS = 3;
const SERVICES = 4;
const ADDRESS = "127.0.0.31";
const MARK = "fissure";

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
