import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as membership from "../src/index.js";
import * as services from "./service.js";

const GOLDEN = path.resolve(import.meta.dirname, "../../test/golden");
const { ActionKind, EventKind, MessageKind } = membership;
const PARTITIONS = ["slice-0-1", "slice-1-1", "slice-2-1", "pool-1"];
const STEP_MS = 1_000;
const RENEWAL_MS = 3_400;
const PROMISE_MS = membership.DEFAULT_TIMING.promiseMs;

function settingsOf(host: string): membership.MemberSettings {
    return {
        host,
        incarnation: `${host}-1`,
        availabilityZone: `zone-${host}`,
        peerAddress: `http://${host}`,
        partitions: PARTITIONS,
        timing: membership.DEFAULT_TIMING,
    };
}

/** One host's session against a fake service that answers at once, or not at all while it is away. */
class Session {
    now = 0;
    away = false;
    state: membership.MemberState;
    readonly sent: Extract<membership.MemberAction, { kind: membership.ActionKind.Send; }>[] = [];
    readonly inputs: decision.SessionInput<membership.MemberSettings, membership.MemberEvent>[];

    constructor(readonly settings: membership.MemberSettings, readonly service: services.FakeService) {
        this.state = membership.startMember(settings, 0);
        this.inputs = [{ now: 0, settings }];
    }

    happen(event: membership.MemberEvent): void {
        this.inputs.push({ now: this.now, event });
        const next = membership.decideMember(this.state, event, this.now);
        this.state = next.state;
        next.actions.flatMap((action) => this.answer(action)).forEach((answer) => this.happen(answer));
    }

    read(): void {
        this.happen({ kind: EventKind.Viewed, view: this.service.read(PARTITIONS, this.now) });
    }

    /** Lets time pass, with one look at the clock at the end. */
    pass(durationMs: number): void {
        this.now += durationMs;
        this.happen({ kind: EventKind.Tick });
    }

    /** The successor grants the latest request. */
    grant(): void {
        const request = this.sent.at(-1);
        if (request?.message.kind === MessageKind.Request) {
            const { number, incarnation } = request.message;
            const message: membership.MemberMessage = {
                kind: MessageKind.Grant,
                number,
                incarnation,
                durationMs: PROMISE_MS,
            };
            this.happen({ kind: EventKind.Message, host: request.host, message });
        }
    }

    rights(): readonly string[] {
        return PARTITIONS.filter((partition) => membership.rightFor(this.state, partition, this.now));
    }

    private answer(action: membership.MemberAction): readonly membership.MemberEvent[] {
        const { now, service, away } = this;
        switch (action.kind) {
            case ActionKind.Read:
                return away ? [] : [{ kind: EventKind.Viewed, view: service.read(PARTITIONS, now) }];
            case ActionKind.GrantLease: {
                const lease = away ? undefined : service.grant(action.timeToLiveMs, now);
                return [{ kind: EventKind.LeaseAnswered, call: action.call, lease }];
            }
            case ActionKind.KeepLease: {
                const lease = away ? undefined : service.keep(action.lease, now);
                return [{ kind: EventKind.LeaseAnswered, call: action.call, lease }];
            }
            case ActionKind.Swap: {
                const succeeded = away ? undefined : service.swap(action.comparisons, action.writes, now);
                return [{ kind: EventKind.SwapAnswered, call: action.call, succeeded }];
            }
            case ActionKind.PrepareHandOver:
                return [{ kind: EventKind.HandOverReady, handOver: action.handOver }];
            case ActionKind.Send:
                this.sent.push(action);
                return [];
            case ActionKind.RevokeLease:
                service.revoke(action.lease);
                return [];
            case ActionKind.Left:
                return [];
        }
    }
}

/** Writes another host's record, as that host would, with a lease that lasts. */
function join(
    service: services.FakeService,
    host: string,
    now: number,
    timeToLiveMs: number,
    successor?: membership.Successor,
): void {
    const lease = service.grant(timeToLiveMs, now).id;
    const { incarnation, availabilityZone, peerAddress } = settingsOf(host);
    const record: membership.HostRecord = { host, incarnation, availabilityZone, peerAddress, successor };
    service.swap([], [
        { key: membership.recordKey(host), value: JSON.stringify(record) },
        { key: membership.leaseKey(host), value: lease, lease },
    ], now);
}

function expectGolden(name: string, session: Session): void {
    const lines = decision.runSession(membership.membershipModule, session.inputs);
    testing.expectGolden(path.join(GOLDEN, name), lines);
}

describe("a whole session of one member", () => {
    it("joins, is carried through an outage, takes over, hands over and leaves", () => {
        const service = new services.FakeService();
        const session = new Session(settingsOf("b"), service);
        session.pass(0);
        session.read();
        chai.expect(session.rights(), "alone").to.deep.equal(PARTITIONS);
        join(service, "a", session.now, 3_600_000);
        const ownStay = session.state.own?.created ?? 0;
        join(service, "c", session.now, 20_000, { host: "b", session: ownStay });
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
});
