import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as membership from "../src/index.js";
import * as services from "./service.js";
import * as sessions from "./session.js";

const GOLDEN = path.resolve(import.meta.dirname, "../../test/golden");
const { EventKind } = membership;
const { PARTITIONS } = sessions;
const STEP_MS = 1_000;
const RENEWAL_INTERVAL_MS = 3_400;

function expectGolden(name: string, session: sessions.Session): void {
    const lines = decision.runSession(membership.membershipModule, session.inputs);
    testing.expectGolden(path.join(GOLDEN, name), lines);
}

describe("session of one member", () => {
    it("joins, survives an outage on successor leases, takes over, hands over and leaves", () => {
        const service = new services.FakeKeyValueService();
        const session = new sessions.Session(sessions.makeSettings("b"), service);
        session.advance(0);
        session.read();
        chai.expect(session.heldPartitions(), "as the only host").to.deep.equal(PARTITIONS);
        sessions.registerHost(service, "a", session.now, 3_600_000, []);
        const ownSession = session.state.own?.record.session ?? "";
        sessions.registerHost(service, "c", session.now, 20_000, [{ host: "b", session: ownSession }]);
        session.read();
        session.advance(STEP_MS);
        chai.expect(session.heldPartitions().length, "after both joined").to.be.below(PARTITIONS.length);
        session.grantLatestRequest();
        const heldBefore = session.heldPartitions();

        session.serviceUnreachable = true;
        for (let renewal = 0; renewal < 4; renewal++) {
            session.advance(RENEWAL_INTERVAL_MS);
            session.grantLatestRequest();
        }
        chai.expect(session.heldPartitions(), "during the outage, by successor leases").to.deep.equal(heldBefore);

        session.serviceUnreachable = false;
        session.advance(RENEWAL_INTERVAL_MS);
        session.grantLatestRequest();
        session.read();
        session.advance(RENEWAL_INTERVAL_MS);
        session.advance(STEP_MS);
        session.read();
        session.advance(2 * STEP_MS);
        chai.expect(session.state.view.hosts["c"], "the host whose lease is gone").to.equal(undefined);

        session.dispatch({ kind: EventKind.StopRequested });
        session.advance(STEP_MS);
        chai.expect(session.state.left).to.equal(true);
        const { table } = service.read(PARTITIONS, session.now);
        chai.expect(Object.values(table).map((owner) => owner.host)).not.to.include("b");
        expectGolden("session.jsonl", session);
    });

    it("is not the successor that an earlier process of its host was, after replacing that one's record", () => {
        const service = new services.FakeKeyValueService();
        const earlier = new sessions.Session(sessions.makeSettings("b"), service);
        earlier.advance(0);
        earlier.read();
        const ownSession = earlier.state.own?.record.session ?? "";
        sessions.registerHost(service, "a", 0, 20_000, [{ host: "b", session: ownSession }]);
        const later = new sessions.Session(sessions.makeSettings("b", 2), service);
        later.now = 2 * membership.DEFAULT_TIMING.leaseMs;
        later.advance(STEP_MS);
        later.read();
        chai.expect(later.state.own, "the later process").not.to.equal(undefined);
        for (let elapsedMs = 0; elapsedMs < membership.DEFAULT_TIMING.promiseMs; elapsedMs += STEP_MS) {
            chai.expect(service.read(PARTITIONS, later.now).hosts["a"], `${elapsedMs} ms`).not.to.equal(undefined);
            later.advance(STEP_MS);
            later.read();
        }
    });

    it("keeps refusing leases when it repeats a takeover that already took effect", () => {
        const service = new services.FakeKeyValueService();
        const session = new sessions.Session(sessions.makeSettings("b"), service);
        session.advance(0);
        session.read();
        const ownSession = session.state.own?.record.session ?? "";
        sessions.registerHost(service, "c", 0, STEP_MS, [{ host: "b", session: ownSession }]);
        session.read();
        session.advance(2 * STEP_MS);
        session.read();
        const { version } = session.state.view.hosts["c"] ?? { version: 0 };
        session.readsLost = true;
        session.advance(2 * STEP_MS);
        session.advance(STEP_MS);
        chai.expect(service.read(PARTITIONS, session.now).hosts["c"], "taken over").to.equal(undefined);
        session.dispatch({
            kind: EventKind.Message,
            host: "c",
            message: { kind: membership.MessageKind.SuccessorLeaseRequest, number: 1, incarnation: "c-1", version },
        });
        chai.expect(session.sentMessages.at(-1)?.message).to.include({
            reason: membership.RefusalReason.TakeoverRequested,
        });
    });
});
