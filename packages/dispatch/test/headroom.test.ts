import * as decision from "@citronlead/decision";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

const ENGINES = 3;
const MEMORY_TOKENS = 105_000;
const REQUEST_TOKENS = 12_000;
const RUN_MS = 3_000;
const TARGET_MS = 700;
const MAX_OVERDUE_MS = 1_500;
const STEP_MS = 20;
/** Twice what the engines can run. */
const ARRIVALS_PER_MS = 2 * ENGINES * Math.floor(MEMORY_TOKENS / REQUEST_TOKENS) / RUN_MS;

interface Played {
    readonly onTimeShare: number;
    readonly lateShare: number;
}

/** Plays requests that poll the engines for capacity in random order, as hosts do that do not see each other's queues. */
function playOverload(headroom: (onTime: boolean, size: dispatch.TypicalReservation) => number, seed: number): Played {
    const random = decision.seeded(seed);
    const typical = new dispatch.TypicalReservation();
    let running: { engine: number; tokens: number; endsAt: number; }[] = [];
    let waiting: { since: number; tokens: number; }[] = [];
    let [arrived, onTimeCount, lateCount, next] = [0, 0, 0, 0];
    for (let now = 0; now < 30_000; now += STEP_MS) {
        running = running.filter(({ endsAt }) => endsAt > now);
        for (; next <= now; next += random.exponential(1 / ARRIVALS_PER_MS)) {
            const tokens = REQUEST_TOKENS * (0.5 + random.fraction());
            typical.observe(tokens);
            waiting.push({ since: now, tokens });
            arrived++;
        }
        const polls = waiting.map((request) => ({ request, order: random.fraction() }))
            .sort((one, other) => one.order - other.order);
        for (const { request } of polls) {
            const onTime = now - request.since <= TARGET_MS;
            const needed = request.tokens + headroom(onTime, typical);
            for (let engine = 0; engine < ENGINES; engine++) {
                const used = running.reduce((sum, run) => sum + (run.engine === engine ? run.tokens : 0), 0);
                if (used + needed <= MEMORY_TOKENS) {
                    running.push({ engine, tokens: request.tokens, endsAt: now + RUN_MS });
                    waiting = waiting.filter((other) => other !== request);
                    onTimeCount += onTime ? 1 : 0;
                    lateCount += onTime ? 0 : 1;
                    break;
                }
            }
        }
        waiting = waiting.filter(({ since }) => now - since <= TARGET_MS + MAX_OVERDUE_MS);
    }
    return { onTimeShare: onTimeCount / arrived, lateShare: lateCount / arrived };
}

describe("headroomTokens", () => {
    it("lets more requests of an overload be on time, and still serves as many in all", () => {
        const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
        const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
        const without = seeds.map((seed) => playOverload(() => 0, seed));
        const withHeadroom = seeds.map((seed) =>
            playOverload(
                (onTime, { tokens }) => dispatch.headroomTokens({ onTime, typicalTokens: tokens }),
                seed,
            )
        );
        const onTime = (plays: readonly Played[]) => mean(plays.map(({ onTimeShare }) => onTimeShare));
        const late = (plays: readonly Played[]) => mean(plays.map(({ lateShare }) => lateShare));
        chai.expect(onTime(withHeadroom)).to.be.above(onTime(without));
        chai.expect(onTime(withHeadroom) + late(withHeadroom)).to.be.above(0.9 * (onTime(without) + late(without)));
    });

    it("serves late requests where engines have memory to spare", () => {
        chai.expect(dispatch.headroomTokens({ onTime: false, typicalTokens: 12_000.4 })).to.equal(12_000);
        chai.expect(dispatch.headroomTokens({ onTime: true, typicalTokens: 12_000 })).to.equal(0);
    });
});
