import * as decision from "@citronlead/decision";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

const MEMORY_TOKENS = 53_000;
const PROMPT_TOKENS = 5_000;
const OUTPUT_LIMIT_TOKENS = 1_870;
const ENGINES = 8;
const MS_PER_TOKEN = 4;
const TARGET_MS = 700;

/**
 * Simulates a burst of requests on engines that admit a request if its reservation fits. Returns the share of requests
 * that were admitted before their latency target.
 */
function simulateBurst(reserve: (estimate: number) => number, seed: number): number {
    const random = decision.seeded(seed);
    const running: { engine: number; tokens: number; until: number; }[] = [];
    let waiting: { since: number; tokens: number; output: number; }[] = [];
    let served = 0;
    let arrived = 0;
    let next = 0;
    for (let now = 0; now < 12_000; now += 10) {
        running.splice(0, running.length, ...running.filter(({ until }) => until > now));
        while (next <= now) {
            next += random.exponential(1_000 / 28);
            const output = Math.min(OUTPUT_LIMIT_TOKENS, random.exponential(715));
            const estimate = Math.min(OUTPUT_LIMIT_TOKENS, output * (0.5 + random.fraction()));
            waiting.push({ since: now, tokens: PROMPT_TOKENS + reserve(estimate), output });
            arrived++;
        }
        waiting = waiting.filter((request) => {
            if (now - request.since > TARGET_MS) {
                return false;
            }
            for (let engine = 0; engine < ENGINES; engine++) {
                const used = running.reduce((sum, run) => sum + (run.engine === engine ? run.tokens : 0), 0);
                if (used + request.tokens <= MEMORY_TOKENS) {
                    running.push({ engine, tokens: request.tokens, until: now + 200 + request.output * MS_PER_TOKEN });
                    served++;
                    return false;
                }
            }
            return true;
        });
    }
    return served / arrived;
}

describe("OutputForecast", () => {
    it("admits more requests of a burst in time than reserving the output limit does", () => {
        for (const seed of [1, 2, 3]) {
            const forecast = new dispatch.OutputForecast();
            const byForecast = simulateBurst((estimate) => {
                forecast.observe("model", estimate);
                return forecast.forecastTokens("model", { maxTokens: OUTPUT_LIMIT_TOKENS, estimatedTokens: estimate });
            }, seed);
            const byLimit = simulateBurst(() => OUTPUT_LIMIT_TOKENS, seed);
            chai.expect(byForecast, `seed ${seed}`).to.be.above(byLimit + 0.05);
        }
    });

    it("averages the mean and the caller's estimate, and never exceeds the limit", () => {
        const forecast = new dispatch.OutputForecast();
        forecast.observe("model", 600);
        chai.expect(forecast.forecastTokens("model", { maxTokens: OUTPUT_LIMIT_TOKENS, estimatedTokens: undefined })).to
            .equal(600);
        chai.expect(forecast.forecastTokens("model", { maxTokens: OUTPUT_LIMIT_TOKENS, estimatedTokens: 1_000 })).to
            .equal(800);
        chai.expect(forecast.forecastTokens("model", { maxTokens: 400, estimatedTokens: 1_000 })).to.equal(400);
    });
});
