import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

/** A send as the world sees it: what it does to the request does not depend on what the host hears of it. */
interface Send {
    readonly entry: dispatch.RunEntry;
    /** Whether its bytes have left, so that the request may run at any later time. */
    hasLeft: boolean;
    proof: dispatch.NotRunProof | undefined;
}

const STEPS = 60;
const SEEDS = Array.from({ length: 500 }, (_, index) => index + 1);
const PROMISES = [408, 421, 429, 503];
const { NotConnected, UpstreamRefusal, WrongUpstream, HostRefusal } = dispatch.NotRunProof;

// Guards against a promise, or a second run, while a send of the request may still run it (REFUSED, TWICE).
describe("RunLedger", () => {
    it("lets out no promise and no second run while a send is unproven", () => {
        testing.forEachSeed(SEEDS, (seed) => {
            const random = decision.seeded(seed);
            const { pick } = random;
            const mayRepeat = random.chance(0.3);
            const ledger = new dispatch.RunLedger(mayRepeat);
            const sends: Send[] = [];
            let isFinal = false;
            const open = () => sends.filter(({ proof }) => proof === undefined);
            for (let step = 0; step < STEPS; step++) {
                const kind = pick(["enter", "enter", "begin", "begin", "prove", "refuse", "passOn", "close"]);
                const send = sends.length > 0 ? pick(sends) : undefined;
                if (kind === "enter") {
                    const wasOpen = open().length > 0;
                    const entry = ledger.tryEnter();
                    chai.expect(entry !== undefined).to.equal(!isFinal && (mayRepeat || !wasOpen));
                    sends.push(...entry ? [{ entry, hasLeft: false, proof: undefined }] : []);
                }
                else if (kind === "begin" && send) {
                    const may = send.entry.tryBegin();
                    chai.expect(may && (send.hasLeft || isFinal), "begun twice, or after the final answer").to.equal(
                        false,
                    );
                    send.hasLeft ||= may;
                }
                else if (kind === "prove" && send) {
                    const proof = pick([NotConnected, UpstreamRefusal, WrongUpstream, HostRefusal]);
                    send.entry.prove(proof);
                    send.proof ??= proof;
                }
                else if (kind === "refuse") {
                    const status = pick([...PROMISES, 404, 502, 504]);
                    const isTimedOut = random.chance(0.5);
                    const sent = ledger.refusalStatus(status, isTimedOut);
                    chai.expect(open().length > 0 && dispatch.isPromise(sent), "a promise while it may run").to.equal(
                        false,
                    );
                    chai.expect(sent).to.equal(
                        open().length === 0 || !PROMISES.includes(status) ? status : isTimedOut ? 504 : 502,
                    );
                    const basis = ledger.basisOf(sent);
                    chai.expect(basis === undefined).to.equal(!PROMISES.includes(sent));
                    const proofs = sends.map(({ proof }) => proof);
                    chai.expect(basis ?? []).to.have.members(
                        basis === undefined ? [] : proofs.length === 0 ? [dispatch.PromiseBasis.NothingSent] : proofs,
                    );
                }
                else if (kind === "passOn") {
                    const status = pick([...PROMISES, 200, 404, 500]);
                    chai.expect(ledger.mayPassOn(status))
                        .to.equal(mayRepeat || open().length === 0 || !PROMISES.includes(status));
                }
                else if (kind === "close" && random.chance(0.2)) {
                    ledger.close();
                    isFinal = true;
                }
                chai.expect(ledger.mayHaveRun).to.equal(open().length > 0);
                chai.expect(mayRepeat || open().length <= 1, "two sends at a time").to.equal(true);
            }
        });
    });

    it("takes no answer for a proof that does not name the request, or is no refusal", () => {
        const proofOf = (status: number, isMarked: boolean, namesRequest = true) =>
            dispatch.proofOfAnswer({ status, isMarked, namesRequest });
        for (const status of [200, 204, 302, 399, 400, 408, 421, 429, 500, 503, 504]) {
            chai.expect(proofOf(status, false)).to.equal(status === 421 ? WrongUpstream : undefined);
            chai.expect(proofOf(status, true))
                .to.equal(status < 400 ? undefined : status === 421 ? WrongUpstream : UpstreamRefusal);
            chai.expect(proofOf(status, true, false)).to.equal(undefined);
        }
    });
});
