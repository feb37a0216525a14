import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as propagation from "../src/index.js";

const GOLDEN = path.resolve(import.meta.dirname, "../../test/golden");
const { PropagationEventKind } = propagation;

const settings = { host: "braga-a-1", availabilityZone: "braga-a" };
const roster = [
    settings,
    { host: "gmr-c-1", availabilityZone: "gmr-c" },
    { host: "porto-b-1", availabilityZone: "porto-b" },
];

/**
 * A session that puts revision 4 in force, confirmed by a read that was started at 250, then loses the key-value
 * service and gets revision 5 from a peer.
 */
const session: readonly (readonly [number, propagation.PropagationEvent])[] = [
    [0, { kind: PropagationEventKind.RosterChanged, roster }],
    [250, { kind: PropagationEventKind.Tick }],
    [260, { kind: PropagationEventKind.HeadRead, revision: 4, askedAt: 250 }],
    [300, { kind: PropagationEventKind.Fetched, revision: 4 }],
    [400, { kind: PropagationEventKind.HeadRead, revision: 3, askedAt: 399 }],
    [500, { kind: PropagationEventKind.WatchEnded }],
    [3_000, { kind: PropagationEventKind.Tick }],
    [4_000, { kind: PropagationEventKind.HeadReadFailed }],
    [4_001, {
        kind: PropagationEventKind.RevisionReplyReceived,
        peer: "porto-b-1",
        exchange: 2,
        inForce: 4,
        revision: 4,
        witnesses: [{ host: "gmr-c-1", agoMs: 500 }],
    }],
    [9_000, { kind: PropagationEventKind.Tick }],
    [9_010, {
        kind: PropagationEventKind.RevisionReplyReceived,
        peer: "gmr-c-1",
        exchange: 3,
        inForce: 5,
        revision: 5,
        confirmedAgoMs: 100,
        witnesses: [],
    }],
    [9_050, { kind: PropagationEventKind.Fetched, revision: 5 }],
];

function stateAfter(events: typeof session): propagation.PropagationState {
    let state = propagation.propagationModule.start(settings, 0);
    for (const [now, event] of events) {
        state = propagation.propagationModule.decide(state, event, now).state;
    }
    return state;
}

describe("the configuration at one host", () => {
    it("comes from the key-value service and, when that is unreachable, from a peer (golden session)", () => {
        const inputs = session.map(([now, event]) => ({ now, event }));
        const lines = decision.runSession(propagation.propagationModule, [{ now: 0, settings }, ...inputs]);
        testing.expectGolden(path.join(GOLDEN, "cut-off.jsonl"), lines);
    });

    it("is no longer usable for keys 7 s after its confirmation, unless a majority knows of nothing newer", () => {
        const confirmed = stateAfter(session.slice(0, 8));
        chai.expect(propagation.keysUsable(confirmed, 250 + propagation.MAX_KEY_STALENESS_MS)).to.equal(true);
        chai.expect(propagation.keysUsable(confirmed, 251 + propagation.MAX_KEY_STALENESS_MS)).to.equal(false);
        const witnessed = stateAfter(session.slice(0, 9));
        chai.expect(propagation.keysUsable(witnessed, 3_000 + propagation.MAX_KEY_STALENESS_MS)).to.equal(true);
        chai.expect(propagation.keysUsable(witnessed, 3_001 + propagation.MAX_KEY_STALENESS_MS)).to.equal(false);
    });

    it("is not usable for keys while a newer one is known but not in force", () => {
        const state = stateAfter(session.slice(0, 11));
        chai.expect(propagation.keysUsable(state, 9_020)).to.equal(false);
        chai.expect(propagation.keysUsable(stateAfter(session), 9_060)).to.equal(true);
    });

    it("is not replaced when an older one arrives late", () => {
        const state = stateAfter([...session, [9_100, { kind: PropagationEventKind.Fetched, revision: 3 }]]);
        chai.expect(state.inForce).to.equal(5);
    });
});
