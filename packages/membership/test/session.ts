import type * as decision from "@citronlead/decision";
import * as membership from "../src/index.js";
import type * as services from "./service.js";

const { ActionKind, EventKind, MessageKind } = membership;
/** The partitions of the sessions. */
export const PARTITIONS = ["slice-0-1", "slice-1-1", "slice-2-1", "pool-1"];
const PROMISE_MS = membership.DEFAULT_TIMING.promiseMs;

/** Makes the settings of a host. Each process of a host needs another number, since it is part of the incarnation. */
export function makeSettings(host: string, processNumber = 1): membership.MemberSettings {
    return {
        host,
        incarnation: `${host}-${processNumber}`,
        availabilityZone: `zone-${host}`,
        peerAddress: `http://${host}`,
        partitions: PARTITIONS,
        timing: membership.DEFAULT_TIMING,
    };
}

/** One host's session against a fake service that answers at once, or not at all while it is unreachable. */
export class Session {
    now = 0;
    serviceUnreachable = false;
    /** Whether the answers to reads are lost. */
    readsLost = false;
    state: membership.MemberState;
    readonly sentMessages: Extract<membership.MemberAction, { kind: membership.ActionKind.Send; }>[] = [];
    readonly inputs: decision.SessionInput<membership.MemberSettings, membership.MemberEvent>[];

    constructor(readonly settings: membership.MemberSettings, readonly service: services.FakeKeyValueService) {
        this.state = membership.createMemberState(settings, 0);
        this.inputs = [{ now: 0, settings }];
    }

    dispatch(event: membership.MemberEvent): void {
        this.inputs.push({ now: this.now, event });
        const next = membership.decideMember(this.state, event, this.now);
        this.state = next.state;
        next.actions.flatMap((action) => this.perform(action)).forEach((answer) => this.dispatch(answer));
    }

    read(): void {
        this.dispatch({ kind: EventKind.ViewUpdated, view: this.service.read(PARTITIONS, this.now) });
    }

    /** Advances the clock, with a single tick at the end. */
    advance(durationMs: number): void {
        this.now += durationMs;
        this.dispatch({ kind: EventKind.Tick });
    }

    /** Has the successor grant the latest request, if the latest message is one. */
    grantLatestRequest(): void {
        const request = this.sentMessages.at(-1);
        if (request?.message.kind === MessageKind.SuccessorLeaseRequest) {
            const { number, incarnation } = request.message;
            const message: membership.MemberMessage = {
                kind: MessageKind.SuccessorLeaseGrant,
                number,
                incarnation,
                durationMs: PROMISE_MS,
            };
            this.dispatch({ kind: EventKind.Message, host: request.host, message });
        }
    }

    /** The partitions for which this host has the right to act. */
    heldPartitions(): readonly string[] {
        return PARTITIONS.filter((partition) => membership.rightFor(this.state, partition, this.now));
    }

    private perform(action: membership.MemberAction): readonly membership.MemberEvent[] {
        const { now, service, serviceUnreachable } = this;
        switch (action.kind) {
            case ActionKind.ReadView:
                return serviceUnreachable || this.readsLost
                    ? []
                    : [{ kind: EventKind.ViewUpdated, view: service.read(PARTITIONS, now) }];
            case ActionKind.GrantLease: {
                const lease = serviceUnreachable ? undefined : service.grantLease(action.timeToLiveMs, now);
                return [{ kind: EventKind.LeaseAnswered, call: action.call, lease }];
            }
            case ActionKind.RenewLease: {
                const lease = serviceUnreachable ? undefined : service.renewLease(action.lease, now);
                return [{ kind: EventKind.LeaseAnswered, call: action.call, lease }];
            }
            case ActionKind.ConditionalWrite: {
                const succeeded = serviceUnreachable
                    ? undefined
                    : service.writeIf(action.comparisons, action.writes, now);
                return [{ kind: EventKind.WriteAnswered, call: action.call, succeeded }];
            }
            case ActionKind.PrepareHandOver:
                return [{ kind: EventKind.HandOverReady, handOver: action.handOver }];
            case ActionKind.Send:
                this.sentMessages.push(action);
                return [];
            case ActionKind.RevokeLease:
                service.revokeLease(action.lease);
                return [];
            case ActionKind.Left:
                return [];
        }
    }
}

/** Writes another host's record and lease key, as that host would. The lease is never renewed. */
export function registerHost(
    service: services.FakeKeyValueService,
    host: string,
    now: number,
    timeToLiveMs: number,
    successors: readonly membership.Successor[],
): void {
    const lease = service.grantLease(timeToLiveMs, now).id;
    const { incarnation, availabilityZone, peerAddress } = makeSettings(host);
    const session = `${incarnation}.1`;
    const record: membership.HostRecord = { host, incarnation, session, availabilityZone, peerAddress, successors };
    service.writeIf([], [
        { key: membership.recordKey(host), value: JSON.stringify(record) },
        { key: membership.leaseKey(host), value: lease, lease },
    ], now);
}
