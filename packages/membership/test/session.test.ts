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
const RENEWAL_MS = 3_400;

function expectGolden(name: string, session: sessions.Session): void {
    const lines = decision.runSession(membership.membershipModule, session.inputs);
    testing.expectGolden(path.join(GOLDEN, name), lines);
}

describe("a whole session of one member", () => {
    it("joins, is carried through an outage, takes over, hands over and leaves", () => {
        const service = new services.FakeService();
        const session = new sessions.Session(sessions.settingsOf("b"), service);
        session.pass(0);
        session.read();
        chai.expect(session.rights(), "alone").to.deep.equal(PARTITIONS);
        sessions.join(service, "a", session.now, 3_600_000, []);
        const ownStay = session.state.own?.record.session ?? "";
        sessions.join(service, "c", session.now, 20_000, [{ host: "b", session: ownStay }]);
        session.read();
        session.pass(STEP_MS);
        chai.expect(session.rights().length, "after both joined").to.be.below(PARTITIONS.length);
        session.grant();
        const kept = session.rights();

        session.away = true;
        for (let turn = 0; turn < 4; turn++) {
            session.pass(RENEWAL_MS);
            session.grant();
        }
        chai.expect(session.rights(), "carried by the successor").to.deep.equal(kept);

        session.away = false;
        session.pass(RENEWAL_MS);
        session.grant();
        session.read();
        session.pass(RENEWAL_MS);
        session.pass(STEP_MS);
        session.read();
        session.pass(2 * STEP_MS);
        chai.expect(session.state.view.hosts["c"], "the host whose lease is gone").to.equal(undefined);

        session.happen({ kind: EventKind.StopRequested });
        session.pass(STEP_MS);
        chai.expect(session.state.left).to.equal(true);
        const { table } = service.read(PARTITIONS, session.now);
        chai.expect(Object.values(table).map((owner) => owner.host)).not.to.include("b");
        expectGolden("session.jsonl", session);
    });

    it("is not the successor that its former self was, when it takes the place of that one's record", () => {
        const service = new services.FakeService();
        const former = new sessions.Session(sessions.settingsOf("b"), service);
        former.pass(0);
        former.read();
        const ownStay = former.state.own?.record.session ?? "";
        sessions.join(service, "a", 0, 20_000, [{ host: "b", session: ownStay }]);
        const later = new sessions.Session(sessions.settingsOf("b", 2), service);
        later.now = 2 * membership.DEFAULT_TIMING.leaseMs;
        later.pass(STEP_MS);
        later.read();
        chai.expect(later.state.own, "the later process").not.to.equal(undefined);
        for (let waited = 0; waited < membership.DEFAULT_TIMING.promiseMs; waited += STEP_MS) {
            chai.expect(service.read(PARTITIONS, later.now).hosts["a"], `${waited} ms`).not.to.equal(undefined);
            later.pass(STEP_MS);
            later.read();
        }
    });

    it("goes on refusing when it asks again for a takeover that took effect", () => {
        const service = new services.FakeService();
        const session = new sessions.Session(sessions.settingsOf("b"), service);
        session.pass(0);
        session.read();
        const ownStay = session.state.own?.record.session ?? "";
        sessions.join(service, "c", 0, STEP_MS, [{ host: "b", session: ownStay }]);
        session.read();
        session.pass(2 * STEP_MS);
        session.read();
        const { version } = session.state.view.hosts["c"] ?? { version: 0 };
        session.blind = true;
        session.pass(2 * STEP_MS);
        session.pass(STEP_MS);
        chai.expect(service.read(PARTITIONS, session.now).hosts["c"], "taken over").to.equal(undefined);
        session.happen({
            kind: EventKind.Message,
            host: "c",
            message: { kind: membership.MessageKind.Request, number: 1, incarnation: "c-1", version },
        });
        chai.expect(session.sent.at(-1)?.message).to.include({ reason: membership.Refusal.TakeoverRequested });
    });
});
