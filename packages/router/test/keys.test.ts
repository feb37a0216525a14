import * as standins from "@citronlead/standins";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as http from "node:http";
import * as fixtures from "./operationsfixture.js";

describe("keys, through a router", () => {
    const fixture = new fixtures.Fixture(testing.testPortBase(760), 1);
    let authorization: http.OutgoingHttpHeaders;

    before(async () => {
        await fixture.start();
        authorization = { authorization: `Bearer ${fixture.key}` };
    });
    after(() => fixture.stop());

    /** Every form in which a key might reach an upstream. */
    function forms(key: string): string[] {
        const base64 = [key, `:${key}`, `user:${key}`].map((text) => Buffer.from(text).toString("base64"));
        const percent = [...key].map((letter) => `%${letter.charCodeAt(0).toString(16)}`).join("");
        return [key, encodeURIComponent(key), percent, ...base64].map((form) => form.replace(/=+$/, ""));
    }

    async function expectUnseen(): Promise<void> {
        const seen = JSON.stringify(await fixture.runs());
        for (const form of forms(fixture.key)) {
            chai.expect(seen).not.to.contain(form);
        }
    }

    it("reach no upstream in any spelling of a header", async () => {
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
        const runs = await fixture.runs();
        chai.expect(runs).to.have.length(spellings.length);
        await expectUnseen();
    });

    it("reach no upstream in the query, and the other parameters do", async () => {
        const { key } = fixture;
        const base64 = encodeURIComponent(Buffer.from(key).toString("base64"));
        const percent = [...key].map((letter) => `%${letter.charCodeAt(0).toString(16)}`).join("");
        const path = `/stock/blocks?quarry=3&key=${key}&api=${base64}&p=${percent}&${key}=1&size=2`;
        const received = await fixture.send(0, { method: "GET", path });
        chai.expect(received.status).to.equal(200);
        chai.expect((await fixture.runs()).at(-1)?.path).to.equal("/stock/blocks?quarry=3&size=2");
        await expectUnseen();
    });

    it("are refused in the path and in the body", async () => {
        const former = (await fixture.runs()).length;
        const percent = fixture.key.replace("-", "%2d");
        const inPath = await fixture.send(0, { method: "GET", path: `/stock/${fixture.key}/blocks` });
        const encoded = await fixture.send(0, { method: "GET", path: `/stock/${percent}` });
        const inBody = await fixture.send(0, { path: "/stock/blocks", body: `{"key":"${fixture.key}"}` });
        chai.expect(inBody.status, "in the body").to.equal(400);
        chai.expect([inPath.status, encoded.status], "in the path").to.deep.equal([400, 400]);
        chai.expect((await fixture.runs()).length).to.equal(former);
        await expectUnseen();
    });

    it("name the only workspace that a request runs for", async () => {
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

    it("stop working within seconds when they are withdrawn, for calls under way too", async () => {
        await fixture.serviceFaults({ delayMs: 6_000 });
        const former = (await fixture.runs()).length;
        const running = fixture.send(0, { method: "GET", path: "/stock/blocks" });
        await fixtures.until("the call runs", async () => (await fixture.runs()).length === former + 1);
        await fixture.withdraw();
        const ended = fixtures.refusal(await running);
        chai.expect(ended).to.include({ reason: "unauthenticated", ran: "unknown" });
        const next = await fixture.send(0, { method: "GET", path: "/stock/blocks" });
        chai.expect(next.status).to.equal(401);
        const order = await fixture.order(0, "withdrawn");
        chai.expect(order.status).to.equal(401);
    });
});

describe("a stream whose key is withdrawn", () => {
    const fixture = new fixtures.Fixture(testing.testPortBase(770), 1);

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
            await fixture.list(`reader-${role}`, engine.address, "reader");
        }
    });
    after(() => fixture.stop());

    it("ends before its end, and says why", async () => {
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
                void fixture.withdraw();
            }
        });
        const { text } = await received;
        chai.expect(pieces).to.be.greaterThan(2);
        chai.expect(text).not.to.contain("[DONE]");
        chai.expect(text).to.contain("the key was withdrawn");
    });
});
