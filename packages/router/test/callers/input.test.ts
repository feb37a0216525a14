import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as http from "node:http";
import * as openai from "../../src/callers/openai.js";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 1_050;

const SETTINGS = `
limits: { body: 64KiB, headers: 8KiB, headerTimeout: 400ms, requestTimeout: 400ms, openRequests: 40 }
`;

function requestHead(fixture: fixtures.Fixture, more: string): string {
    return `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer ${fixture.key}\r\n${more}\r\n\r\n`;
}

/** Runs the action; checks that it ended with the outcome, was counted and released its resources. */
async function expectOutcome(
    fixture: fixtures.Fixture,
    outcome: string,
    action: () => Promise<string>,
    count = 1,
): Promise<void> {
    const before = await fixtures.countOutcome(fixture, outcome);
    const text = await action();
    chai.expect(text).to.contain(`"reason":"${outcome}"`);
    chai.expect(await fixtures.countOutcome(fixture, outcome) - before).to.equal(count);
    await fixtures.expectResourcesReleased(fixture);
}

describe("bad input", () => {
    const scope = new lifecycle.Scope("test");
    let fixture: fixtures.Fixture;
    before(async () => {
        fixture = await fixtures.startFixture(scope, testing.testPortBase(PORT_OFFSET), SETTINGS);
    });
    after(() => scope.close());

    const chat = async (more: object) => (await fixtures.chat(fixture, more)).text;
    const post = async (body: string) =>
        (await fixtures.call(fixture, "/v1/chat/completions", { method: "POST", body })).text;

    it("refuses a body over the limit, with and without a content-length", async () => {
        const long = "x".repeat(200 * 1024);
        await expectOutcome(fixture, "body-too-large", () => post(long));
        const chunked = `${requestHead(fixture, "transfer-encoding: chunked")}${
            long.length.toString(16)
        }\r\n${long}\r\n0\r\n\r\n`;
        await expectOutcome(fixture, "body-too-large", () => fixtures.sendRaw(fixture, [chunked]));
    });

    it("refuses invalid JSON, unknown models, invalid fields and unsupported options", async () => {
        await expectOutcome(fixture, "bad-request", () => post('{"model":'));
        await expectOutcome(fixture, "unknown-model", () => chat({ model: "nobody" }));
        await expectOutcome(fixture, "unknown-model", () => chat({ model: "__proto__" }));
        await expectOutcome(fixture, "bad-request", () => chat({ messages: [] }));
        await expectOutcome(fixture, "bad-request", () => chat({ n: 2 }));
        const long = [{ role: "user", content: "x".repeat(61_000) }];
        await expectOutcome(fixture, "prompt-too-long", () => chat({ messages: long }));
        await expectOutcome(fixture, "key-misplaced", () => chat({ note: fixture.key }));
    });

    it("refuses paths with dot segments, so that an open route gives no access to another", async () => {
        const paths = [
            "/open/../stock/7",
            "/open/%2e%2E/stock/7",
            "/open/x\\..\\..\\stock",
            "/open/..%2fstock",
            "/open/.",
        ];
        for (const target of paths) {
            const request = `GET ${target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`;
            await expectOutcome(fixture, "bad-request", () => fixtures.sendRaw(fixture, [request]));
        }
        const runs = (await fixtures.send(`${fixture.service}/standin/runs`)).text;
        chai.expect(runs).not.to.contain("/stock/7");
        chai.expect((await fixtures.send(`${fixture.callers}/open/a..b/.hidden`)).status).to.equal(200);
    });

    it("refuses headers over the limit", async () => {
        const flood = Array.from({ length: 400 }, (_, index) => `x-flood-${index}: ${"y".repeat(40)}`).join("\r\n");
        await expectOutcome(
            fixture,
            "headers-too-large",
            () => fixtures.sendRaw(fixture, [requestHead(fixture, flood)]),
        );
    });

    it("refuses data that is not HTTP", async () => {
        await expectOutcome(fixture, "bad-request", () => fixtures.sendRaw(fixture, ["\u0000\u0001 nonsense\r\n\r\n"]));
    });

    it("refuses callers that send their headers too slowly", async () => {
        const bytes = [..."GET /stock HTTP/1.1\r\nx-slow: "].concat(Array.from({ length: 100 }, () => "z"));
        await expectOutcome(fixture, "request-timeout", () => fixtures.sendRaw(fixture, bytes, 50));
    });

    it("refuses a chunked body that stalls, and one with an invalid chunk", async () => {
        const start = `${requestHead(fixture, "transfer-encoding: chunked")}5\r\n{"mod\r\n`;
        await expectOutcome(fixture, "request-timeout", () => fixtures.sendRaw(fixture, [start]));
        await expectOutcome(fixture, "bad-request", () => fixtures.sendRaw(fixture, [start, "not a length\r\n"], 20));
    });

    it("refuses requests over the limit of open requests", async () => {
        await fixtures.setFaults(fixture.service, { delayMs: 1_000 });
        const agent = new http.Agent({ maxSockets: Infinity });
        const before = await fixtures.countOutcome(fixture, "overloaded");
        const all = await Promise.all(Array.from({ length: 50 }, () => fixtures.call(fixture, "/stock/1", { agent })));
        await fixtures.setFaults(fixture.service, { delayMs: 0 });
        chai.expect(all.filter((received) => received.status === 200)).to.have.length(40);
        chai.expect(all.filter((received) => received.text.includes("overloaded"))).to.have.length(10);
        chai.expect(await fixtures.countOutcome(fixture, "overloaded") - before).to.equal(10);
        await fixtures.expectResourcesReleased(fixture);
    });

    it("sends the complete answer when an engine repeats tokens or cuts its stream", async () => {
        const clean = JSON.parse(await chat({ max_tokens: 12 })) as { choices: object; };
        for (const faults of [{ repeatTokens: true }, { cutAfterTokens: 5 }]) {
            await fixtures.setFaults(fixture.decode, faults);
            const answer = JSON.parse(await chat({ max_tokens: 12 })) as { choices: object; };
            chai.expect(answer.choices, JSON.stringify(faults)).to.deep.equal(clean.choices);
            await fixtures.setFaults(fixture.decode, { repeatTokens: false, cutAfterTokens: 0 });
        }
        await fixtures.expectResourcesReleased(fixture);
    });

    it("refuses a request whose engine sends an invalid stream", async () => {
        await fixtures.setFaults(fixture.decode, { garbage: true });
        const messages = [{ role: "user", content: "meets a stream that is garbage" }];
        const refused = await chat({ max_tokens: 12, messages, stream: true });
        await fixtures.setFaults(fixture.decode, { garbage: false });
        chai.expect(refused).to.match(/"reason":"(upstream-failed|overloaded|quarantined)"/);
        chai.expect(refused).to.contain('"ran":"unknown"');
        chai.expect(refused).not.to.contain("[DONE]");
        await fixtures.expectResourcesReleased(fixture);
    });

    it("takes no more tokens from an overlong stream than the caller asked for", async () => {
        await fixtures.setFaults(fixture.decode, { overlong: true });
        const messages = [{ role: "user", content: "meets a stream that is overlong" }];
        const answer = await chat({ max_tokens: 12, messages, stream: true });
        await fixtures.setFaults(fixture.decode, { overlong: false });
        chai.expect(answer.match(/"content":"[^"]+"/g)).to.have.length(12);
        chai.expect(answer.match(/"finish_reason":"length"/g)).to.have.length(1);
        chai.expect(answer.endsWith("data: [DONE]\n\n")).to.equal(true);
        await fixtures.expectResourcesReleased(fixture);
    });

    it("parses any body without throwing, and accepts only valid completions", () => {
        const bodies = fastCheck.oneof(
            fastCheck.json(),
            fastCheck.string(),
            fastCheck.record({
                model: fastCheck.oneof(fastCheck.string(), fastCheck.integer()),
                prompt: fastCheck.anything(),
                messages: fastCheck.anything(),
                stream: fastCheck.anything(),
                max_tokens: fastCheck.oneof(fastCheck.integer(), fastCheck.double()),
            }, { requiredKeys: [] }).map((value) =>
                JSON.stringify(value, (_key, field: unknown) => typeof field === "bigint" ? String(field) : field) ?? ""
            ),
        );
        fastCheck.assert(
            fastCheck.property(
                bodies,
                fastCheck.constantFrom(...Object.values(openai.CompletionKind)),
                (text, kind) => {
                    const parsed = openai.parseCompletion(kind, Buffer.from(text));
                    if (typeof parsed !== "string") {
                        chai.expect(parsed.model).not.to.equal("");
                        chai.expect(parsed.outputTokens ?? 1).to.be.greaterThan(0);
                    }
                },
            ),
            { numRuns: 500 },
        );
    });
});
