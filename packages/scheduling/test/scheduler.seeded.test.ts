import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as scheduling from "../src/index.js";
import * as support from "./support.js";

const STEPS = 1_500;

/** Runs random traffic with failures against a small pool. The scheduler checks its own invariants. */
function runSeed(seed: number): void {
    const random = decision.seeded(seed);
    const driver = new support.Driver();
    const open = new Set<string>();
    const answerCounts = new Map<string, number>();
    const decodeEngines = new Map<string, string>();
    let now = 0;
    const recordActions = (actions: readonly scheduling.Action[]) => {
        for (const action of actions) {
            if (action.kind === scheduling.ActionKind.WakeAt) {
                continue;
            }
            answerCounts.set(action.id, (answerCounts.get(action.id) ?? 0) + 1);
            if (action.kind === scheduling.ActionKind.Grant) {
                decodeEngines.set(action.id, action.decode);
            }
            else {
                open.delete(action.id);
            }
        }
    };
    const finish = (id: string, failed: readonly string[]) => {
        open.delete(id);
        decodeEngines.delete(id);
        recordActions(driver.dispatch(support.end(id, failed), now));
    };
    for (let step = 0; step < STEPS; step++) {
        now += random.exponential(20);
        const choice = random.fraction();
        if (choice < 0.45) {
            const id = `r${step}`;
            open.add(id);
            recordActions(driver.dispatch(
                support.request(id, now, {
                    workspace: random.pick(["guild", "school", "studio"]),
                    priority: random.integer(0, 2),
                    promptTokens: random.integer(30, 20_000),
                    outputTokens: random.integer(1, 400),
                    firstTokenDeadline: now + random.integer(50, 3_000),
                    deadline: now + random.integer(3_000, 20_000),
                    suspect: random.chance(0.05),
                    retry: random.chance(0.1),
                    prefixHashes: random.chance(0.5) ? ["a", "b", `c${random.integer(0, 5)}`] : [],
                }),
                now,
            ));
        }
        else if (choice < 0.8 && open.size > 0) {
            const id = random.pick([...open]);
            const engine = decodeEngines.get(id);
            finish(id, engine !== undefined && random.chance(0.05) ? [engine] : []);
        }
        else if (choice < 0.9) {
            const decode = random.chance(0.7);
            const name = decode ? `d${random.integer(1, 4)}` : `p${random.integer(1, 2)}`;
            const role = decode ? scheduling.Role.Decode : scheduling.Role.Prefill;
            recordActions(driver.dispatch(support.report(name, role, 5, step), now));
        }
        else if (choice < 0.95 && decodeEngines.size > 0) {
            const id = random.pick([...decodeEngines.keys()]);
            const tokenMs = random.integer(10, 200);
            recordActions(
                driver.dispatch(
                    { kind: scheduling.EventKind.Progress, id, prefillMs: 100, transferMs: 50, tokenMs },
                    now,
                ),
            );
        }
        else if (choice < 0.96) {
            recordActions(
                driver.dispatch({ kind: scheduling.EventKind.EngineGone, engine: `d${random.integer(1, 4)}` }, now),
            );
        }
        else {
            recordActions(driver.dispatch({ kind: scheduling.EventKind.Wake }, now));
        }
    }
    for (const [id, answerCount] of answerCounts) {
        chai.expect(answerCount, `${id} was answered`).to.equal(1);
    }
    chai.expect(driver.state.waiting.size + driver.state.reservations.size).to.equal(open.size);
}

describe("scheduler under random traffic", () => {
    it("answers each request exactly once and loses none", () => {
        testing.forEachSeed([1, 2, 3, 4, 5, 6, 7, 8], runSeed);
    });
});
