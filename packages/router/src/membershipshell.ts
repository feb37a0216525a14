import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membership from "@citronlead/membership";
import type * as contexts from "./context.js";
import * as calls from "./membershipcalls.js";
import * as messages from "./membershipmessages.js";
import * as views from "./membershipview.js";
import type * as peers from "./peers.js";

/** A router as the roster shows it. */
export interface RosterHost {
    readonly host: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** The base address of its peer port. */
    readonly peerAddress: string;
}

/** The right to act for a partition of shared state. */
export interface PartitionRight {
    /** Grows with each owner; orders to upstreams carry it. */
    readonly fencing: number;
    /** When the right ends, on this process's clock, unless it is renewed. */
    readonly until: decision.Milliseconds;
}

/** The roster, and who owns which partition of the shared state. */
export interface Membership {
    /** The hosts that are not known to be gone, in the order of their names. */
    readonly roster: () => readonly RosterHost[];
    /** The owner of a partition as last known, or undefined. */
    readonly ownerOf: (partition: string) => RosterHost | undefined;
    /** This host's right to act for a partition now, or undefined if it has none. Asked at every act. */
    readonly rightFor: (partition: string) => PartitionRight | undefined;
    /** Whether this host is in the roster and every partition has an owner, as last known. */
    readonly settled: () => boolean;
    /** Calls back when the roster or the owners have changed. */
    readonly onChange: (listener: () => void) => void;
    /**
     * Calls back before a partition is handed to another host, once this host has stopped acting for it. The hand-over
     * goes on when the promise resolves.
     */
    readonly beforeHandOver: (listener: (partition: string, next: RosterHost) => Promise<void>) => void;
    /** Hands over what this host owns, for a planned stop. */
    readonly handOver: () => Promise<void>;
}

/** How often the decisions look at the clock, in milliseconds. */
const TICK_MS = 100;

/** How long the parts of this host may take over their last word about partitions, in milliseconds. */
const LISTENERS_LIMIT_MS = 2 * decision.SECOND_MS;

/** A planned stop that can't reach the key-value service by then leaves its partitions to takeover, in milliseconds. */
const HAND_OVER_LIMIT_MS = 8 * decision.SECOND_MS;

type HandOverListener = (partition: string, next: RosterHost) => Promise<void>;

/** Starts membership. */
export function startMembership(
    context: contexts.Context,
    links: peers.Peers,
    timing: membership.Timing = membership.DEFAULT_TIMING,
): Membership {
    return new MembershipShell(context, links, timing).asMembership();
}

/** Turns what happens into events of the decisions, and their actions into calls and messages. */
class MembershipShell {
    private state: membership.MemberState;
    private readonly partitions = membership.allPartitions();
    private readonly view: views.FollowedView;
    private readonly changeListeners: (() => void)[] = [];
    private readonly handOverListeners: HandOverListener[] = [];
    private readonly scope: lifecycle.Lifecycle;
    private whenLeft: () => void = () => undefined;
    private heldRight = false;

    constructor(
        private readonly context: contexts.Context,
        private readonly links: peers.Peers,
        timing: membership.Timing,
    ) {
        const { settings, incarnation } = context;
        const { host, availabilityZone, peers: { address, port } } = settings;
        const peerAddress = `http://${address}:${port}`;
        const { partitions } = this;
        this.scope = context.scope.child("membership");
        this.state = membership.startMember(
            { host, incarnation, availabilityZone, peerAddress, partitions, timing },
            context.clock(),
        );
        this.view = views.followView(
            context,
            this.scope,
            partitions,
            (view) => this.dispatch({ kind: membership.EventKind.Viewed, view }),
        );
        links.receive("membership", (arrival) => {
            const message = messages.readPeerMessage(arrival.message);
            if (message) {
                this.dispatch({ kind: membership.EventKind.Message, host: arrival.sender, message });
            }
        });
        lifecycle.every(this.scope, TICK_MS, () => this.dispatch({ kind: membership.EventKind.Tick }));
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
        return owner && membership.isPresent(view, owner) ? view.hosts[owner.host]?.record : undefined;
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
            log.info({ member: own !== undefined }, own ? "joined the roster" : "not in the roster any more");
        }
        const holds = membership.rightUntil(this.state) > clock();
        if (holds !== this.heldRight) {
            this.heldRight = holds;
            log[holds || this.state.left ? "info" : "warn"]({ holds }, "right to act changed");
        }
    }

    private async carryOut(action: membership.MemberAction): Promise<void> {
        const { ActionKind } = membership;
        switch (action.kind) {
            case ActionKind.Read:
                return this.view.refresh();
            case ActionKind.GrantLease:
            case ActionKind.KeepLease:
                return this.dispatch(await calls.callLease(this.context, action));
            case ActionKind.RevokeLease:
                await this.context.keyValue.revokeLease(action.lease);
                return;
            case ActionKind.Swap:
                return this.dispatch(await calls.callSwap(this.context, action));
            case ActionKind.Send: {
                const address = this.state.view.hosts[action.host]?.record.peerAddress;
                if (address !== undefined) {
                    this.links.send(action.host, address, messages.toPeerBody(action.message));
                }
                return;
            }
            case ActionKind.PrepareHandOver:
                await this.prepareHandOver(action.next);
                return this.dispatch({ kind: membership.EventKind.HandOverReady, handOver: action.handOver });
            case ActionKind.Left:
                return this.whenLeft();
        }
    }

    /** Has every part say its last word about the partitions; waits for them for a limited time. */
    private async prepareHandOver(next: Readonly<Record<string, membership.HostId>>): Promise<void> {
        const words = Object.entries(next).flatMap(([partition, id]) => {
            const target = this.state.view.hosts[id.host]?.record;
            return target ? this.handOverListeners.map((listener) => listener(partition, target)) : [];
        });
        const said = Promise.allSettled(words);
        if (words.length > 0) {
            await Promise.race([said, lifecycle.pause(this.scope, LISTENERS_LIMIT_MS)]);
        }
    }

    private async handOver(): Promise<void> {
        const left = new Promise<boolean>((resolve) => this.whenLeft = () => resolve(true));
        this.dispatch({ kind: membership.EventKind.StopRequested });
        const limit = lifecycle.pause(this.scope, HAND_OVER_LIMIT_MS).then(() => false);
        if (!await Promise.race([left, limit])) {
            this.context.log.warn("partitions were not handed over: the key-value service was out of reach");
        }
    }
}
