import * as lifecycle from "@citronlead/lifecycle";
import * as chai from "chai";
import * as quarantines from "../../src/quarantine/shell.js";
import * as fixture from "./fixture.js";

const CRASH_CHECK_MS = 100;

describe("model path and quarantine", () => {
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

    it("does not place content again until it is known whether its upstream crashed", async () => {
        let standing = quarantines.Standing.Clear;
        const quarantine: quarantines.Quarantine = {
            verdict: () => ({ standing, remainingMs: 60_000 }),
            reportDisconnect: async () => {
                await new Promise((resolve) => setTimeout(resolve, CRASH_CHECK_MS));
                standing = quarantines.Standing.Quarantined;
            },
            reportCompletion: () => undefined,
        };
        const served = fixture.serve(scope, engines, {
            quarantine,
            onToken: (count) => count === 3 ? engines[1]?.scope.close() : undefined,
        });
        const outcome = await served.outcome;
        chai.expect(outcome).to.include({ completed: false });
        chai.expect(outcome.completed ? undefined : outcome.refusal.reason).to.equal("quarantined");
        chai.expect(served.placed).to.deep.equal(["prefill-1, decode-1"]);
    });

    it("clears a suspect that ran to completion", async () => {
        const cleared: string[] = [];
        const quarantine: quarantines.Quarantine = {
            verdict: () => ({ standing: quarantines.Standing.Suspect, remainingMs: 60_000 }),
            reportDisconnect: async () => undefined,
            reportCompletion: (fingerprint) => void cleared.push(fingerprint),
        };
        const served = fixture.serve(scope, engines, { quarantine });
        chai.expect(await served.outcome).to.include({ completed: true });
        chai.expect(cleared).to.deep.equal(["fingerprint"]);
    });
});
