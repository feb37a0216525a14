import * as standins from "@citronlead/standins";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as http from "node:http";
import * as fixtures from "./routers.js";

describe("keys, through a router", () => {
    const fixture = new fixtures.RouterFixture(testing.testPortBase(760), 1);
    let authorization: http.OutgoingHttpHeaders;

    before(async () => {
        await fixture.start();
        authorization = { authorization: `Bearer ${fixture.key}` };
    });
    after(() => fixture.stop());

    /** The encodings in which a key might reach an upstream. */
    function encodings(key: string): string[] {
        const base64 = [key, `:${key}`, `user:${key}`].map((text) => Buffer.from(text).toString("base64"));
        const percent = [...key].map((letter) => `%${letter.charCodeAt(0).toString(16)}`).join("");
        return [key, encodeURIComponent(key), percent, ...base64].map((form) => form.replace(/=+$/, ""));
    }

    async function expectKeyNotSent(): Promise<void> {
        const seen = JSON.stringify(await fixture.serviceRuns());
        for (const form of encodings(fixture.key)) {
            chai.expect(seen).not.to.contain(form);
        }
    }

    it("do not reach an upstream in any header, however it is spelled or encoded", async () => {
        const { key } = fixture;
        const basic = `Basic ${Buffer.from(`user:${key}`).toString("base64")}`;
        const spellings: readonly http.OutgoingHttpHeaders[] = [
            { AUTHORIZATION: `Bearer ${key}`, authorization: undefined },
            { "X-API-Key": key },
            { "x-api-key": [key, "other"] },
            { "Api-Key": key },
            { "Proxy-Authorization": `Bearer ${key}` },
            { "X-Auth-Token": key },
            { Cookie: `session=${key}` },
            { "X-Anything": `before ${key} after` },
            { "X-Basic": basic },
            { "X-Percent": encodeURIComponent(key).replace("-", "%2D") },
            { [`x-${key.toLowerCase().replace(/[^a-z0-9-]/g, "")}`]: "1" },
        ];
        for (const headers of spellings) {
            const sent = { ...authorization, ...headers };
            const received = await fixture.send(0, { method: "GET", path: "/stock/blocks", headers: sent });
            chai.expect(received.status, JSON.stringify(headers)).to.equal(200);
        }
        const runs = await fixture.serviceRuns();
        chai.expect(runs).to.have.length(spellings.length);
        await expectKeyNotSent();
    });

    it("are removed from the query, while the other parameters reach the upstream", async () => {
        const { key } = fixture;
        const base64 = encodeURIComponent(Buffer.from(key).toString("base64"));
        const percent = [...key].map((letter) => `%${letter.charCodeAt(0).toString(16)}`).join("");
        const path = `/stock/blocks?quarry=3&key=${key}&api=${base64}&p=${percent}&${key}=1&size=2`;
        const received = await fixture.send(0, { method: "GET", path });
        chai.expect(received.status).to.equal(200);
        chai.expect((await fixture.serviceRuns()).at(-1)?.path).to.equal("/stock/blocks?quarry=3&size=2");
        await expectKeyNotSent();
    });

    it("are refused in the path and in the body", async () => {
        const runsBefore = (await fixture.serviceRuns()).length;
        const percent = fixture.key.replace("-", "%2d");
        const inPath = await fixture.send(0, { method: "GET", path: `/stock/${fixture.key}/blocks` });
        const encoded = await fixture.send(0, { method: "GET", path: `/stock/${percent}` });
        const inBody = await fixture.send(0, { path: "/stock/blocks", body: `{"key":"${fixture.key}"}` });
        chai.expect(inBody.status, "in the body").to.equal(400);
        chai.expect([inPath.status, encoded.status], "in the path").to.deep.equal([400, 400]);
        chai.expect((await fixture.serviceRuns()).length).to.equal(runsBefore);
        await expectKeyNotSent();
    });

    it("are required in the authorization header, except for open services", async () => {
        const headers = { "authorization": "Bearer cl-nobody", "x-api-key": fixture.key };
        const received = await fixture.send(0, { method: "GET", path: "/stock/blocks", headers });
        chai.expect(received.status).to.equal(401);
        const open = await fixture.send(0, {
            method: "GET",
            path: "/notices/all",
            headers: { authorization: undefined },
        });
        chai.expect(open.status).to.equal(200);
    });

    it("stop working within seconds when they are withdrawn, also for calls in flight", async () => {
        await fixture.setServiceFaults({ delayMs: 6_000 });
        const runsBefore = (await fixture.serviceRuns()).length;
        const running = fixture.send(0, { method: "GET", path: "/stock/blocks" });
        await fixtures.until("the call runs", async () => (await fixture.serviceRuns()).length === runsBefore + 1);
        await fixture.withdrawKey();
        const ended = fixtures.refusal(await running);
        chai.expect(ended).to.include({ reason: "unauthenticated", ran: "unknown" });
        const next = await fixture.send(0, { method: "GET", path: "/stock/blocks" });
        chai.expect(next.status).to.equal(401);
        const order = await fixture.sendOrder(0, "withdrawn");
        chai.expect(order.status).to.equal(401);
    });
});

describe("a stream whose key is withdrawn", () => {
    const fixture = new fixtures.RouterFixture(testing.testPortBase(770), 1);

    before(async () => {
        await fixture.start();
        for (const role of ["prefill", "decode"]) {
            const engine = await standins.startEngine(fixture.scope, {
                address: "127.0.0.31",
                port: 0,
                role,
                model: "reader",
                version: "1",
                slots: 20,
                memoryPieces: 10_000,
                pieceTokens: 64,
                prefillTokenMs: 0.01,
                decodeTokenMs: 20,
                survivalMs: 800,
                checksFencing: true,
                crash: () => undefined,
            });
            await fixture.listUpstream(`reader-${role}`, engine.address, "reader");
        }
    });
    after(() => fixture.stop());

    it("ends early, with the reason", async () => {
        const body = JSON.stringify({ model: "reader", prompt: "stone", max_tokens: 2_000, stream: true });
        const sent = { path: "/v1/completions", body, headers: { "content-type": "application/json" } };
        let pieces = 0;
        await fixtures.until("an engine takes the request", async () => {
            const probe = JSON.stringify({ model: "reader", prompt: "stone", max_tokens: 2 });
            return (await fixture.send(0, { ...sent, body: probe })).status === 200;
        });
        const received = fixture.send(0, sent, () => {
            pieces++;
            if (pieces === 3) {
                void fixture.withdrawKey();
            }
        });
        const { text } = await received;
        chai.expect(pieces).to.be.greaterThan(2);
        chai.expect(text).not.to.contain("[DONE]");
        chai.expect(text).to.contain("the key was withdrawn");
    });
});
