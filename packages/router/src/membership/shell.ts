import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membership from "@citronlead/membership";
import type * as contexts from "../context.js";
import type * as peers from "../peers/transport.js";
import * as calls from "./calls.js";
import * as messages from "./messages.js";
import * as views from "./view.js";

/** A router in the roster. */
export interface RosterHost {
    readonly host: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** The base address of its peer port. */
    readonly peerAddress: string;
}

/** The right to act for a partition of shared state. */
export interface PartitionRight {
    /** Fencing token: grows with each owner, and is sent with orders to upstreams. */
    readonly fencing: number;
    /** When the right ends unless it is renewed, on the clock of this process. */
    readonly until: decision.Milliseconds;
}

/** The hosts of the fleet, and which of them owns which partition of the shared state. */
export interface Membership {
    /** The hosts that are not known to be gone, sorted by name. */
    readonly roster: () => readonly RosterHost[];
    /** The last known owner of a partition; undefined if there is none. */
    readonly ownerOf: (partition: string) => RosterHost | undefined;
    /** This host's current right to act for a partition; undefined if it has none. Check it before every action. */
    readonly rightFor: (partition: string) => PartitionRight | undefined;
    /** Whether this host is in the roster and every partition has a last known owner. */
    readonly settled: () => boolean;
    /** Calls the listener after a change of the roster or of an owner. */
    readonly onChange: (listener: () => void) => void;
    /**
     * Calls the listener before a partition is handed over to another host, when this host has already stopped acting
     * for it. The hand-over continues when the promise settles, or after a time limit.
     */
    readonly beforeHandOver: (listener: (partition: string, next: RosterHost) => Promise<void>) => void;
    /** Hands over all partitions that this host owns, for a planned stop. */
    readonly handOver: () => Promise<void>;
}

/** How often the membership module gets a tick event. */
const TICK_INTERVAL_MS = 100;

/** How long the hand-over listeners may take; the hand-over continues without those that take longer. */
const HAND_OVER_LISTENER_TIMEOUT_MS = 2 * decision.SECOND_MS;

/** A planned stop that cannot reach the key-value service within this time leaves its partitions to be taken over. */
const HAND_OVER_TIMEOUT_MS = 8 * decision.SECOND_MS;

type HandOverListener = (partition: string, next: RosterHost) => Promise<void>;

/** Starts membership. */
export function startMembership(
    context: contexts.Context,
    transport: peers.PeerTransport,
    timing: membership.Timing = membership.DEFAULT_TIMING,
): Membership {
    return new MembershipShell(context, transport, timing).asMembership();
}

/** Feeds events to the membership module, and carries out its actions as calls and messages. */
class MembershipShell {
    private state: membership.MemberState;
    private readonly partitions = membership.allPartitions();
    private readonly view: views.ViewFollower;
    private readonly changeListeners: (() => void)[] = [];
    private readonly handOverListeners: HandOverListener[] = [];
    private readonly scope: lifecycle.Scope;
    private onLeft: () => void = () => undefined;
    private hadRight = false;

    constructor(
        private readonly context: contexts.Context,
        private readonly transport: peers.PeerTransport,
        timing: membership.Timing,
    ) {
        const { settings, incarnation } = context;
        const { host, availabilityZone, peers: { address, port } } = settings;
        const peerAddress = `http://${address}:${port}`;
        const { partitions } = this;
        this.scope = context.scope.child("membership");
        this.state = membership.createMemberState(
            { host, incarnation, availabilityZone, peerAddress, partitions, timing },
            context.clock(),
        );
        this.view = views.followView(
            context,
            this.scope,
            partitions,
            (view) => this.dispatch({ kind: membership.EventKind.ViewUpdated, view }),
        );
        transport.onMessage("membership", (arrival) => {
            const message = messages.decodeMessage(arrival.message);
            if (message) {
                this.dispatch({ kind: membership.EventKind.Message, host: arrival.sender, message });
            }
        });
        lifecycle.every(this.scope, TICK_INTERVAL_MS, () => this.dispatch({ kind: membership.EventKind.Tick }));
    }

    asMembership(): Membership {
        return {
            roster: () => membership.roster(this.state),
            ownerOf: (partition) => this.ownerOf(partition),
            rightFor: (partition) => membership.rightFor(this.state, partition, this.context.clock()),
            settled: () => this.settled(),
            onChange: (listener) => this.changeListeners.push(listener),
            beforeHandOver: (listener) => this.handOverListeners.push(listener),
            handOver: () => this.handOver(),
        };
    }

    private ownerOf(partition: string): RosterHost | undefined {
        const { view } = this.state;
        const owner = view.table[partition];
        return owner && membership.isRegistered(view, owner) ? view.hosts[owner.host]?.record : undefined;
    }

    private settled(): boolean {
        return this.state.own !== undefined && this.partitions.every((partition) => this.ownerOf(partition));
    }

    private dispatch(event: membership.MemberEvent): void {
        if (this.scope.closed) {
            return;
        }
        const former = this.state;
        const next = membership.decideMember(former, event, this.context.clock());
        this.state = next.state;
        next.actions.forEach((action) => void this.carryOut(action));
        this.logTransitions(former);
        if (former.view.table !== next.state.view.table || former.view.hosts !== next.state.view.hosts) {
            this.changeListeners.forEach((listener) => listener());
        }
    }

    private logTransitions(former: membership.MemberState): void {
        const { log, clock } = this.context;
        const { own } = this.state;
        if (former.own?.record.session !== own?.record.session) {
            log.info({ member: own !== undefined }, own ? "joined the roster" : "no longer in the roster");
        }
        const holds = membership.rightUntil(this.state) > clock();
        if (holds !== this.hadRight) {
            this.hadRight = holds;
            log[holds || this.state.left ? "info" : "warn"]({ holds }, "right to act for owned partitions changed");
        }
    }

    private async carryOut(action: membership.MemberAction): Promise<void> {
        const { ActionKind } = membership;
        switch (action.kind) {
            case ActionKind.ReadView:
                return this.view.refresh();
            case ActionKind.GrantLease:
            case ActionKind.RenewLease:
                return this.dispatch(await calls.grantOrRenewLease(this.context, action));
            case ActionKind.RevokeLease:
                await this.context.keyValue.revokeLease(action.lease);
                return;
            case ActionKind.ConditionalWrite:
                return this.dispatch(await calls.executeSwap(this.context, action));
            case ActionKind.Send: {
                const address = this.state.view.hosts[action.host]?.record.peerAddress;
                if (address !== undefined) {
                    this.transport.send(action.host, address, messages.encodeMessage(action.message));
                }
                return;
            }
            case ActionKind.PrepareHandOver:
                await this.notifyHandOverListeners(action.next);
                return this.dispatch({ kind: membership.EventKind.HandOverReady, handOver: action.handOver });
            case ActionKind.Left:
                return this.onLeft();
        }
    }

    /** Calls the hand-over listeners for each partition and waits for them for a limited time. */
    private async notifyHandOverListeners(next: Readonly<Record<string, membership.HostId>>): Promise<void> {
        const notifications = Object.entries(next).flatMap(([partition, id]) => {
            const target = this.state.view.hosts[id.host]?.record;
            return target ? this.handOverListeners.map((listener) => listener(partition, target)) : [];
        });
        const allSettled = Promise.allSettled(notifications);
        if (notifications.length > 0) {
            await Promise.race([allSettled, lifecycle.pause(this.scope, HAND_OVER_LISTENER_TIMEOUT_MS)]);
        }
    }

    private async handOver(): Promise<void> {
        const left = new Promise<boolean>((resolve) => this.onLeft = () => resolve(true));
        this.dispatch({ kind: membership.EventKind.StopRequested });
        const timeout = lifecycle.pause(this.scope, HAND_OVER_TIMEOUT_MS).then(() => false);
        if (!await Promise.race([left, timeout])) {
            this.context.log.warn("partitions not handed over in time: the key-value service may be unreachable");
        }
    }
}
