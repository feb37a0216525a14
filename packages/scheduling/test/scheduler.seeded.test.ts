import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as scheduling from "../src/index.js";
import * as support from "./support.js";

const STEPS = 1_500;

/** Runs random traffic with failures against a small pool; the scheduler asserts its own invariants. */
function runSeed(seed: number): void {
    const random = decision.seeded(seed);
    const driver = new support.Driver();
    const open = new Set<string>();
    const answered = new Map<string, number>();
    const held = new Map<string, string>();
    let now = 0;
    const take = (actions: readonly scheduling.Action[]) => {
        for (const action of actions) {
            if (action.kind === scheduling.ActionKind.WakeAt) {
                continue;
            }
            answered.set(action.id, (answered.get(action.id) ?? 0) + 1);
            if (action.kind === scheduling.ActionKind.Grant) {
                held.set(action.id, action.decode);
            }
            else {
                open.delete(action.id);
            }
        }
    };
    const finish = (id: string, failed: readonly string[]) => {
        open.delete(id);
        held.delete(id);
        take(driver.happen(support.end(id, failed), now));
    };
    for (let step = 0; step < STEPS; step++) {
        now += random.exponential(20);
        const choice = random.fraction();
        if (choice < 0.45) {
            const id = `r${step}`;
            open.add(id);
            take(driver.happen(
                support.ask(id, now, {
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
            const engine = held.get(id);
            finish(id, engine !== undefined && random.chance(0.05) ? [engine] : []);
        }
        else if (choice < 0.9) {
            const decode = random.chance(0.7);
            const name = decode ? `d${random.integer(1, 4)}` : `p${random.integer(1, 2)}`;
            const role = decode ? scheduling.Role.Decode : scheduling.Role.Prefill;
            take(driver.happen(support.report(name, role, 5, step), now));
        }
        else if (choice < 0.95 && held.size > 0) {
            const id = random.pick([...held.keys()]);
            const tokenMs = random.integer(10, 200);
            take(
                driver.happen(
                    { kind: scheduling.EventKind.Progress, id, prefillMs: 100, transferMs: 50, tokenMs },
                    now,
                ),
            );
        }
        else if (choice < 0.96) {
            take(driver.happen({ kind: scheduling.EventKind.EngineGone, engine: `d${random.integer(1, 4)}` }, now));
        }
        else {
            take(driver.happen({ kind: scheduling.EventKind.Wake }, now));
        }
    }
    for (const [id, times] of answered) {
        chai.expect(times, `${id} was answered`).to.equal(1);
    }
    chai.expect(driver.state.waiting.size + driver.state.stays.size).to.equal(open.size);
}

describe("scheduler under random traffic", () => {
    it("answers each request once and never loses one", () => {
        testing.forEachSeed([1, 2, 3, 4, 5, 6, 7, 8], runSeed);
    });
});
