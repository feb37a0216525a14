import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import * as chai from "chai";
import * as fixture from "./fixture.js";

describe("model path", () => {
    let scope: lifecycle.Scope;
    let engines: fixture.TestEngine[];

    beforeEach(async () => {
        scope = new lifecycle.Scope("test");
        engines = [
            await fixture.startEngine(scope, "prefill-1", "prefill"),
            await fixture.startEngine(scope, "decode-1", "decode"),
            await fixture.startEngine(scope, "decode-2", "decode"),
        ];
    });
    afterEach(() => scope.close());

    const engine = (name: string) => engines.find((candidate) => candidate.name === name) as fixture.TestEngine;

    async function expectCompleteAnswer(served: fixture.ServedRequest): Promise<void> {
        const outcome = await served.outcome;
        chai.expect(outcome, served.traceSteps.join("; ")).to.include({ completed: true });
        chai.expect(served.texts.join("")).to.equal(fixture.ANSWER);
        await fixture.expectMemoryReleased(engines);
    }

    for (const count of [1, 5, fixture.OUTPUT_TOKENS - 1, fixture.OUTPUT_TOKENS]) {
        it(`sends the complete answer, each token once, when the decode engine dies after token ${count}`, async () => {
            const served = fixture.serve(scope, engines, {
                onToken: async (received) => {
                    if (received === count) {
                        await engine("decode-1").scope.close();
                    }
                },
            });
            await expectCompleteAnswer(served);
            chai.expect(served.placed[0]).to.equal("prefill-1, decode-1");
        });
    }

    it("sends the complete answer when the decode engine dies before the first token", async () => {
        const served = fixture.serve(scope, engines, {
            onTraceStep: (traceStep) =>
                traceStep === "decode-1: import done" ? engine("decode-1").scope.close() : undefined,
        });
        await expectCompleteAnswer(served);
        chai.expect(served.placed).to.have.length(2);
    });

    it("sends the complete answer when the decode engine dies after the prefill", async () => {
        const served = fixture.serve(scope, engines, {
            onTraceStep: (traceStep) =>
                traceStep === "prefill-1: prefill done" ? engine("decode-1").scope.close() : undefined,
        });
        await expectCompleteAnswer(served);
    });

    it("sends the complete answer when the prefill engine dies", async () => {
        engines.push(await fixture.startEngine(scope, "prefill-2", "prefill"));
        await fixture.setFaults(engine("prefill-1"), { slowdown: 50 });
        const served = fixture.serve(scope, engines);
        setTimeout(() => void engine("prefill-1").scope.close(), 100);
        await expectCompleteAnswer(served);
    });

    it("sends the complete answer although the engine repeats pieces, cuts its stream or sends garbage", async () => {
        await fixture.setFaults(engine("decode-1"), { repeatTokens: true, cutAfterTokens: 5 });
        await expectCompleteAnswer(fixture.serve(scope, engines));
        await fixture.setFaults(engine("decode-1"), { repeatTokens: true, cutAfterTokens: 0, garbage: true });
        await expectCompleteAnswer(fixture.serve(scope, engines));
    });

    it("gives up after a few placements when every result expires before it is imported", async () => {
        engines = [
            await fixture.startEngine(scope, "prefill-1", "prefill", { survivalMs: 30 }),
            await fixture.startEngine(scope, "decode-1", "decode", { slots: 0 }),
        ];
        const served = fixture.serve(scope, engines);
        const outcome = await served.outcome;
        chai.expect(outcome).to.include({ completed: false });
        chai.expect(served.texts).to.be.empty;
        chai.expect(served.placed).to.have.length(3);
        await fixture.expectMemoryReleased(engines);
    });

    it("retries an import while no slot is free, until the prefill result expires", async () => {
        engines = [
            await fixture.startEngine(scope, "prefill-1", "prefill"),
            await fixture.startEngine(scope, "decode-1", "decode", { slots: 1 }),
        ];
        const first = fixture.serve(scope, engines);
        const second = fixture.serve(scope, engines);
        await expectCompleteAnswer(first);
        await expectCompleteAnswer(second);
        chai.expect([...first.placed, ...second.placed]).to.have.length(2);
    });

    describe("when the caller disconnects", () => {
        const steps = [
            "scheduling: placed",
            "prefill-1: prefill done",
            "decode-1: import done",
        ];
        for (const step of steps) {
            it(`releases all memory after "${step}"`, async () => {
                const served = fixture.serve(scope, engines, {
                    onTraceStep: (traceStep, running) => traceStep === step ? running.abort() : undefined,
                });
                chai.expect(await served.outcome).to.include({ completed: false });
                await fixture.expectMemoryReleased(engines);
            });
        }
        for (const count of [1, 6, fixture.OUTPUT_TOKENS]) {
            it(`releases all memory after token ${count}`, async () => {
                const served = fixture.serve(scope, engines, {
                    onToken: (received, running) => received === count ? running.abort() : undefined,
                });
                await served.outcome;
                chai.expect(fixture.ANSWER.startsWith(served.texts.join(""))).to.equal(true);
                await fixture.expectMemoryReleased(engines);
            });
        }

        it("releases all memory while a prefill is running", async () => {
            await fixture.setFaults(engine("prefill-1"), { slowdown: 10 });
            const served = fixture.serve(scope, engines);
            setTimeout(() => served.abort(), 60);
            chai.expect(await served.outcome).to.include({ completed: false });
            await new Promise((resolve) => setTimeout(resolve, 300));
            await fixture.expectMemoryReleased(engines);
        });

        it("releases all memory although the first cancel is lost", async () => {
            const served = fixture.serve(scope, engines, {
                onToken: async (received, running) => {
                    if (received === 3) {
                        await fixture.setFaults(engine("decode-1"), { frozen: true });
                        running.abort();
                    }
                },
            });
            await served.outcome;
            setTimeout(() => void fixture.setFaults(engine("decode-1"), { frozen: false }), 300);
            await new Promise((resolve) => setTimeout(resolve, 400));
            await fixture.expectMemoryReleased(engines);
        });

        it("refuses an import that arrives after the cancel", async () => {
            const attempt = { requestId: "late", attempt: 1, holder: "host-1/first" };
            const source = engine("prefill-1").address;
            const from = { address: source, timeoutMs: 1_000 };
            const to = { address: engine("decode-1").address, timeoutMs: 1_000 };
            const prefilled = await upstream.prefill(from, { ...attempt, prompt: fixture.PROMPT, priority: 0 });
            const handle = prefilled.result === upstream.CallResult.Done ? prefilled.value.handle : "";
            await upstream.cancel(to, attempt);
            const imported = await upstream.importCache(to, { ...attempt, source, handle });
            chai.expect(imported).to.include({ refusal: upstream.UpstreamRefusal.Cancelled });
            await upstream.cancel(from, attempt);
            await fixture.expectMemoryReleased(engines);
        });
    });
});
