import * as decision from "@citronlead/decision";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

const MEMORY_TOKENS = 53_000;
const PROMPT_TOKENS = 5_000;
const MOST = 1_870;
const ENGINES = 8;
const MS_PER_TOKEN = 4;
const TARGET_MS = 700;

/**
 * Plays a burst on engines that admit what fits by its reservation. Returns the share that was admitted before its target.
 */
function playBurst(reserve: (estimate: number) => number, seed: number): number {
    const random = decision.seeded(seed);
    const running: { engine: number; tokens: number; until: number; }[] = [];
    let waiting: { since: number; tokens: number; output: number; }[] = [];
    let served = 0;
    let asked = 0;
    let next = 0;
    for (let now = 0; now < 12_000; now += 10) {
        running.splice(0, running.length, ...running.filter(({ until }) => until > now));
        while (next <= now) {
            next += random.exponential(1_000 / 28);
            const output = Math.min(MOST, random.exponential(715));
            const estimate = Math.min(MOST, output * (0.5 + random.fraction()));
            waiting.push({ since: now, tokens: PROMPT_TOKENS + reserve(estimate), output });
            asked++;
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
    return served / asked;
}

describe("OutputForecast", () => {
    it("admits more callers of a burst in time than reserving the limit does", () => {
        for (const seed of [1, 2, 3]) {
            const forecast = new dispatch.OutputForecast();
            const byForecast = playBurst((estimate) => {
                forecast.learn("model", estimate);
                return forecast.expect("model", { most: MOST, estimate });
            }, seed);
            const byLimit = playBurst(() => MOST, seed);
            chai.expect(byForecast, `seed ${seed}`).to.be.above(byLimit + 0.05);
        }
    });

    it("goes by the mean and by the caller's estimate, and never beyond the limit", () => {
        const forecast = new dispatch.OutputForecast();
        forecast.learn("model", 600);
        chai.expect(forecast.expect("model", { most: MOST, estimate: undefined })).to.equal(600);
        chai.expect(forecast.expect("model", { most: MOST, estimate: 1_000 })).to.equal(800);
        chai.expect(forecast.expect("model", { most: 400, estimate: 1_000 })).to.equal(400);
    });
});
