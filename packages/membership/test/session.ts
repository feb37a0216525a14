import type * as decision from "@citronlead/decision";
import * as membership from "../src/index.js";
import type * as services from "./service.js";

const { ActionKind, EventKind, MessageKind } = membership;
/** The partitions of the sessions. */
export const PARTITIONS = ["slice-0-1", "slice-1-1", "slice-2-1", "pool-1"];
const PROMISE_MS = membership.DEFAULT_TIMING.promiseMs;

/** The settings of a host; a later process of it counts further. */
export function settingsOf(host: string, process = 1): membership.MemberSettings {
    return {
        host,
        incarnation: `${host}-${process}`,
        availabilityZone: `zone-${host}`,
        peerAddress: `http://${host}`,
        partitions: PARTITIONS,
        timing: membership.DEFAULT_TIMING,
    };
}

/** One host's session against a fake service that answers at once, or not at all while it is away. */
export class Session {
    now = 0;
    away = false;
    /** Whether the answers to reads are lost. */
    blind = false;
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
                return away || this.blind ? [] : [{ kind: EventKind.Viewed, view: service.read(PARTITIONS, now) }];
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
export function join(
    service: services.FakeService,
    host: string,
    now: number,
    timeToLiveMs: number,
    successors: readonly membership.Successor[],
): void {
    const lease = service.grant(timeToLiveMs, now).id;
    const { incarnation, availabilityZone, peerAddress } = settingsOf(host);
    const session = `${incarnation}.1`;
    const record: membership.HostRecord = { host, incarnation, session, availabilityZone, peerAddress, successors };
    service.swap([], [
        { key: membership.recordKey(host), value: JSON.stringify(record) },
        { key: membership.leaseKey(host), value: lease, lease },
    ], now);
}
