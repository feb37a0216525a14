import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as quarantine from "../src/index.js";

const GOLDEN = path.resolve(import.meta.dirname, "../../test/golden");
const { QuarantineEventKind, Standing } = quarantine;

function crash(upstream: string, fingerprints: readonly string[], own = true, incarnation = "1") {
    return { kind: QuarantineEventKind.Crashed, upstream, incarnation, fingerprints, own } as const;
}

function stateAfter(events: readonly (readonly [number, quarantine.QuarantineEvent])[]): quarantine.QuarantineState {
    let state = quarantine.quarantineModule.start({ host: "braga-a-1" }, 0);
    for (const [now, event] of events) {
        state = quarantine.quarantineModule.decide(state, event, now).state;
    }
    return state;
}

const tick = { kind: QuarantineEventKind.Tick } as const;

describe("contents that were running at upstreams when they crashed", () => {
    it("become suspects until one is quarantined and the others are cleared (golden session)", () => {
        const lines = decision.runSession(quarantine.quarantineModule, [
            { now: 0, settings: { host: "braga-a-1" } },
            { now: 0, event: crash("dossierllm-1", ["harmful", "beside"]) },
            { now: 10, event: crash("dossierllm-1", ["elsewhere"], false) },
            { now: 900, event: { kind: QuarantineEventKind.Completed, fingerprint: "beside" } },
            { now: 2_000, event: tick },
            { now: 3_000, event: crash("dossierllm-2", ["harmful", "later"]) },
            { now: 5_000, event: tick },
            { now: 5_100, event: { kind: QuarantineEventKind.QuarantinesRequested, peer: "porto-b-1" } },
        ]);
        testing.expectGolden(path.join(GOLDEN, "named.jsonl"), lines);
    });

    it("are held back from the second crash until it is evaluated, however late", () => {
        const events = [[0, crash("a", ["harmful"])], [100, crash("b", ["harmful"])]] as const;
        const state = stateAfter(events);
        for (const now of [100, 2_099, 2_101, 2_400]) {
            chai.expect(quarantine.verdict(state, "harmful", now).standing).to.equal(Standing.Quarantined);
        }
        const evaluated = quarantine.quarantineModule.decide(state, tick, 2_400).state;
        chai.expect(quarantine.verdict(evaluated, "harmful", 2_400)).to.deep.equal({
            standing: Standing.Quarantined,
            remainingMs: quarantine.FIRST_QUARANTINE_MS,
        });
    });

    it("count one crash once, however often it is reported and by whichever host", () => {
        const state = stateAfter([
            [0, crash("a", ["one"])],
            [10, crash("a", ["one"], false)],
            [400, crash("a", ["one", "two"], false, "")],
        ]);
        chai.expect([...state.suspects.values()].map((suspect) => suspect.crashes)).to.deep.equal([1, 1]);
    });

    it("are not quarantined while two have the same number of crashes; the third crash decides", () => {
        const tie = [[0, crash("a", ["one", "two"])], [100, crash("b", ["one", "two"])], [2_200, tick]] as const;
        const undecided = stateAfter(tie);
        chai.expect(quarantine.verdict(undecided, "one", 2_300).standing).to.equal(Standing.Suspect);
        const decided = stateAfter([...tie, [3_000, crash("c", ["two"])], [5_100, tick]]);
        chai.expect(quarantine.verdict(decided, "two", 5_200).standing).to.equal(Standing.Quarantined);
        chai.expect(quarantine.verdict(decided, "one", 5_200).standing).to.equal(Standing.Clear);
    });

    it("are cleared after a time, and quarantined for longer if they crash an upstream again after a quarantine", () => {
        const quarantinedOnce = [[0, crash("a", ["x"])], [100, crash("b", ["x"])], [2_200, tick]] as const;
        const quarantineEndsAt = 2_200 + quarantine.FIRST_QUARANTINE_MS;
        chai.expect(quarantine.verdict(stateAfter(quarantinedOnce), "x", quarantineEndsAt).standing).to.not.equal(
            Standing.Quarantined,
        );
        const again = stateAfter([...quarantinedOnce, [quarantineEndsAt + 1, crash("c", ["x"])], [
            quarantineEndsAt + 3_000,
            tick,
        ]]);
        chai.expect(quarantine.verdict(again, "x", quarantineEndsAt + 3_000).remainingMs).to.equal(
            2 * quarantine.FIRST_QUARANTINE_MS,
        );
        const suspect = stateAfter([[0, crash("a", ["y"])]]);
        chai.expect(quarantine.verdict(suspect, "y", quarantine.SUSPICION_MS).standing).to.equal(Standing.Clear);
        chai.expect(stateAfter([[0, crash("a", ["y"])], [quarantine.SUSPICION_MS, tick]]).suspects.size).to.equal(0);
    });

    it("are kept in bounded memory", () => {
        const many = Array.from({ length: 3_000 }, (_, index) => `content-${index}`);
        chai.expect(stateAfter([[0, crash("a", many)]]).suspects.size).to.be.lessThan(3_000);
    });
});
