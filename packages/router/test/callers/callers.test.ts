import * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as http from "node:http";
import * as openai from "../../src/callers/openai.js";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 1_000;

interface Chunk {
    readonly choices: readonly { readonly delta: { readonly role?: string; readonly content?: string; }; }[];
    readonly usage?: { readonly completion_tokens: number; readonly total_tokens: number; } | null;
}

function readChunks(text: string): Chunk[] {
    return text.split("\n\n")
        .filter((event) => event.startsWith("data: {"))
        .map((event) => JSON.parse(event.slice("data: ".length)) as Chunk);
}

function readError(received: fixtures.ReceivedResponse): { reason: string; ran: string; requestId: string; } {
    return (JSON.parse(received.text) as { error: { reason: string; ran: string; requestId: string; }; }).error;
}

describe("callers", () => {
    const scope = new lifecycle.Scope("test");
    let fixture: fixtures.Fixture;
    before(async () => {
        fixture = await fixtures.startFixture(scope, testing.testPortBase(PORT_OFFSET));
    });
    after(() => scope.close());

    it("streams a chat completion with the token counts at the end", async () => {
        const received = await fixtures.chat(fixture, { stream: true, stream_options: { include_usage: true } });
        const chunks = readChunks(received.text);
        const contents = chunks.flatMap((chunk) => chunk.choices).filter((choice) => choice.delta.content);
        chai.expect(received.headers["content-type"]).to.equal("text/event-stream");
        chai.expect(contents).to.have.length(4);
        chai.expect(contents[0]?.delta.role).to.equal("assistant");
        chai.expect(chunks.slice(0, -1).every((chunk) => chunk.usage === null)).to.equal(true);
        chai.expect(chunks.at(-1)?.choices).to.deep.equal([]);
        chai.expect(chunks.at(-1)?.usage?.completion_tokens).to.equal(4);
        chai.expect(received.text.endsWith("data: [DONE]\n\n")).to.equal(true);
    });

    it("sends the same text with and without streaming, and serves both completion routes", async () => {
        const streamed = await fixtures.chat(fixture, { stream: true });
        const whole = await fixtures.chat(fixture, {});
        const text = readChunks(streamed.text).flatMap((chunk) => chunk.choices).map((choice) =>
            choice.delta.content ?? ""
        );
        const answer = JSON.parse(whole.text) as { choices: { message: { content: string; }; }[]; usage: object; };
        chai.expect(answer.choices[0]?.message.content).to.equal(text.join(""));
        chai.expect(streamed.text).not.to.contain("usage");
        const body = JSON.stringify({ model: "reader", prompt: "read this", max_tokens: 3 });
        const completion = await fixtures.call(fixture, "/v1/completions", { method: "POST", body });
        const { object, choices } = JSON.parse(completion.text) as { object: string; choices: { text: string; }[]; };
        chai.expect(object).to.equal("text_completion");
        chai.expect(choices[0]?.text.trim().split(" ")).to.have.length(3);
    });

    it("writes chunks that are valid JSON for any text", () => {
        for (const kind of [openai.CompletionKind.Chat, openai.CompletionKind.Text]) {
            const writer = openai.makeChunkWriter({ id: "a", kind, model: "m", created: 1 }, true);
            const texts = ['quote " and \n line', "\u2028", '{"content":'].map(writer.text);
            const last = [writer.end("stop"), writer.usage({ promptTokens: 1, outputTokens: 2 })];
            [...texts, ...last].forEach((text) => chai.expect(() => JSON.parse(text) as unknown, text).not.to.throw());
        }
    });

    it("lists the models only to callers with a key", async () => {
        const listed = await fixtures.call(fixture, "/v1/models");
        chai.expect(JSON.parse(listed.text)).to.have.nested.property("data[0].id", "reader");
        chai.expect(listed.headers["x-request-id"]).to.be.a("string");
        const refused = await fixtures.send(`${fixture.callers}/v1/models`);
        chai.expect(refused.status).to.equal(401);
        chai.expect(readError(refused)).to.include({ reason: "unauthenticated", ran: "no" });
        chai.expect(readError(refused).requestId).to.equal(refused.headers["x-request-id"]);
    });

    it("serves open routes without a key and HEAD without a body", async () => {
        chai.expect((await fixtures.send(`${fixture.callers}/open/hours`)).status).to.equal(200);
        const head = await fixtures.call(fixture, "/stock/lot-7", { method: "HEAD" });
        chai.expect(head.status).to.equal(200);
        chai.expect(head.text).to.equal("");
        chai.expect(head.headers["content-length"]).to.equal(undefined);
    });

    it("answers Expect: 100-continue only when the key is valid", async () => {
        const headers = { "expect": "100-continue", "content-length": "2" };
        const continues = (key: string) =>
            new Promise<boolean>((resolve, reject) => {
                const request = http.request(`${fixture.callers}/stock`, {
                    method: "POST",
                    headers: { ...headers, authorization: `Bearer ${key}` },
                });
                request.on("continue", () => {
                    resolve(true);
                    request.end("{}");
                });
                request.on("response", (response) => {
                    response.resume();
                    resolve(false);
                    request.destroy();
                });
                request.on("error", reject);
                request.flushHeaders();
            });
        chai.expect(await continues(fixture.key)).to.equal(true);
        chai.expect(await continues("unknown")).to.equal(false);
    });

    it("refuses a request when the caller's own deadline passes", async () => {
        await fixtures.setFaults(fixture.prefill, { frozen: true });
        const refused = await fixtures.chat(fixture, { stream: true }, { "x-deadline-ms": "300" });
        await fixtures.setFaults(fixture.prefill, { frozen: false });
        chai.expect(refused.status).to.equal(504);
        chai.expect(readError(refused).reason).to.equal("deadline-passed");
        chai.expect(Number(refused.headers["retry-after"])).to.be.at.least(1);
        const invalid = await fixtures.chat(fixture, {}, { "x-deadline-ms": "soon" });
        chai.expect(readError(invalid).reason).to.equal("bad-request");
        await fixtures.expectResourcesReleased(fixture);
    });

    it("ends a request whose key is withdrawn while it runs", async () => {
        const shortLivedKey = configuration.generateKey();
        await fixtures.putConfiguration(fixture.keyValue, 10, [fixture.key, shortLivedKey]);
        await fixtures.waitFor("the key", async () => {
            const headers = { authorization: `Bearer ${shortLivedKey}` };
            return (await fixtures.send(`${fixture.callers}/v1/models`, { headers })).status === 200;
        });
        const headers = { authorization: `Bearer ${shortLivedKey}` };
        await fixtures.setFaults(fixture.decode, { slowdown: 5 });
        const response = fixtures.chat(fixture, { stream: true, max_tokens: 800 }, headers);
        await fixtures.putConfiguration(fixture.keyValue, 11, [fixture.key]);
        chai.expect((await response).text).to.contain("the key was withdrawn");
        await fixtures.setFaults(fixture.decode, { slowdown: 1 });
        await fixtures.expectResourcesReleased(fixture);
    });
});
