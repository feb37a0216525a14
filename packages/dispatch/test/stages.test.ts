import * as chai from "chai";
import * as dispatch from "../src/index.js";

const LONG_RUNS = { slots: 32, memoryTokens: 105_000 };

function makeEngines(prefill: number, decode: number): dispatch.StagedEngine[] {
    return Array.from({ length: prefill + decode }, (_, index) => ({
        incarnation: `engine-${index}`,
        isPrefill: index < prefill,
        isSettled: true,
        mayChange: true,
    }));
}

/** A balance that has seen the given load, with decode memory short. */
function observe(prefillMs: number, runMs: number, reservedTokens: number): dispatch.StageBalance {
    const balance = new dispatch.StageBalance();
    for (let count = 0; count < 30; count++) {
        balance.observePrefill(5_200, prefillMs);
        balance.observeRun(runMs, reservedTokens);
        balance.observeRefusal(1_000);
    }
    return balance;
}

describe("StageBalance", () => {
    it("lets idle prefill engines decode where runs are long, until those left are half used", () => {
        const balance = observe(95, 3_400, 12_700);
        chai.expect(balance.engineToChange(makeEngines(3, 3), LONG_RUNS, 1_000)?.isPrefill).to.equal(true);
        chai.expect(balance.engineToChange(makeEngines(2, 4), LONG_RUNS, 1_000)).to.equal(undefined);
        chai.expect(balance.engineToChange(makeEngines(9, 18), { slots: 12, memoryTokens: 77_000 }, 1_000)).to.not
            .equal(
                undefined,
            );
    });

    it("leaves the stages where prefill engines are used as much as the decode engines need", () => {
        const balance = observe(110, 3_000, 6_400);
        const capacity = { slots: 128, memoryTokens: 53_000 };
        chai.expect(balance.engineToChange(makeEngines(5, 8), capacity, 1_000)).to.equal(undefined);
    });

    it("changes nothing while engines have memory to spare, or before it knows the load", () => {
        const balance = observe(95, 3_400, 12_700);
        chai.expect(balance.engineToChange(makeEngines(3, 3), LONG_RUNS, 7_000)).to.equal(undefined);
        chai.expect(new dispatch.StageBalance().engineToChange(makeEngines(3, 3), LONG_RUNS, 0)).to.equal(undefined);
    });

    it("changes one engine at a time", () => {
        const balance = observe(95, 3_400, 12_700);
        const engines = makeEngines(9, 18).map((engine, index) => ({ ...engine, isSettled: index !== 4 }));
        chai.expect(balance.engineToChange(engines, { slots: 12, memoryTokens: 77_000 }, 1_000)).to.equal(undefined);
    });

    it("passes over engines that may not be changed", () => {
        const balance = observe(95, 3_400, 12_700);
        const engines = makeEngines(3, 3).map((engine, index) => ({ ...engine, mayChange: index > 0 }));
        chai.expect(balance.engineToChange(engines, LONG_RUNS, 1_000)?.incarnation).to.equal("engine-1");
    });
});
