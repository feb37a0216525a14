import * as decision from "@citronlead/decision";
import * as membership from "../src/index.js";
import * as services from "./service.js";

/** The hosts of a run and the behaviour of its network. */
export interface FleetOptions {
    readonly hosts: number;
    readonly zones: number;
    readonly partitions: readonly string[];
    readonly omit?: readonly membership.Rule[];
    /** The share of messages and calls that are slow, from 0 to 1. */
    readonly slowShare: number;
    /** The share of messages, calls and answers that are lost, from 0 to 1. */
    readonly lossShare: number;
    readonly successorLimit?: number;
}

/** A simulated process of a host. */
export interface SimulatedHost {
    readonly settings: membership.MemberSettings;
    /** The speed of its monotonic clock relative to the simulated time. */
    readonly clockRate: number;
    readonly clockOffset: number;
    state: membership.MemberState;
    alive: boolean;
    pausedUntil: number;
    /** Until when neither calls to the key-value service nor their answers get through. */
    cutFromServiceUntil: number;
    left: boolean;
    /** Events other than ticks that arrived during a pause. */
    readonly backlog: membership.MemberEvent[];
}

const TICK_INTERVAL_MS = 250;
const READ_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 1_000;
const TYPICAL_DELAY_MS = 3;
const MAX_CLOCK_RATE_ERROR = 0.01;

function linkKey(left: string, right: string): string {
    return left < right ? `${left}|${right}` : `${right}|${left}`;
}

/** Hosts that run the real decisions against a fake key-value service and network, in simulated time from one seed. */
export class SimulatedFleet {
    now = 0;
    outageUntil = 0;
    readonly service = new services.FakeKeyValueService();
    readonly hosts: SimulatedHost[] = [];
    private readonly cutUntil = new Map<string, number>();
    readonly checker = new membership.OwnershipChecker();
    private readonly queue: { at: number; order: number; run: () => void; }[] = [];
    private nextOrder = 0;
    private startCount = 0;
    private table: membership.OwnershipTable = {};

    constructor(readonly random: decision.Random, readonly options: FleetOptions) {
        for (let index = 0; index < options.hosts; index++) {
            this.start(`host-${index}`, `zone-${index % options.zones}`, `http://127.0.0.${index + 1}:1`);
        }
    }

    /** Starts a process. Earlier processes of the same host must be dead or have another address. */
    start(host: string, availabilityZone: string, peerAddress: string): void {
        const { partitions, omit, successorLimit } = this.options;
        const incarnation = `i${++this.startCount}`;
        const settings = {
            host,
            incarnation,
            availabilityZone,
            peerAddress,
            partitions,
            omit,
            successorLimit,
            timing: membership.DEFAULT_TIMING,
        };
        const rate = 1 + (this.random.fraction() * 2 - 1) * MAX_CLOCK_RATE_ERROR;
        const offset = this.random.integer(0, 1_000_000);
        const state = membership.createMemberState(settings, offset + this.now * rate);
        const process: SimulatedHost = {
            ...{
                settings,
                clockRate: rate,
                clockOffset: offset,
                state,
                alive: true,
                pausedUntil: 0,
                cutFromServiceUntil: 0,
                left: false,
            },
            backlog: [],
        };
        this.hosts.push(process);
        this.every(process, TICK_INTERVAL_MS, () => this.deliver(process, { kind: membership.EventKind.Tick }));
        this.every(process, READ_INTERVAL_MS, () => this.read(process));
    }

    kill(host: SimulatedHost): void {
        host.alive = false;
    }

    pause(host: SimulatedHost, durationMs: number): void {
        host.pausedUntil = Math.max(host.pausedUntil, this.now + durationMs);
        this.schedule(host.pausedUntil, () => this.resume(host));
    }

    /** Drops all messages between two hosts until the given time. */
    cut(left: string, right: string, endsAt: number): void {
        const key = linkKey(left, right);
        this.cutUntil.set(key, Math.max(endsAt, this.cutUntil.get(key) ?? 0));
    }

    stop(host: SimulatedHost): void {
        this.deliver(host, { kind: membership.EventKind.StopRequested });
    }

    /** Runs a callback at a simulated time; callbacks of the same time run in the order of their scheduling. */
    schedule(time: number, run: () => void): void {
        const item = { at: time, order: this.nextOrder++, run };
        let low = 0;
        let high = this.queue.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            const other = this.queue[middle] as typeof item;
            if (other.at > time || (other.at === time && other.order > item.order)) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.queue.splice(low, 0, item);
    }

    runUntil(time: number): void {
        for (let next = this.queue.at(-1); next && next.at <= time; next = this.queue.at(-1)) {
            this.queue.pop();
            this.now = next.at;
            next.run();
        }
        this.now = time;
    }

    localTime(host: SimulatedHost): number {
        return host.clockOffset + this.now * host.clockRate;
    }

    isRunning(host: SimulatedHost): boolean {
        return host.alive && !host.left && host.pausedUntil <= this.now;
    }

    /** The share of partitions for which some host could act now. */
    actingShare(partitions: readonly string[] = this.options.partitions): number {
        const withHolder = partitions.filter((partition) => this.holders(partition).length > 0);
        return withHolder.length / partitions.length;
    }

    private holders(partition: string, hosts: readonly SimulatedHost[] = this.hosts): membership.Holder[] {
        return hosts.filter((host) => this.isRunning(host)).flatMap((host) => {
            const right = membership.rightFor(host.state, partition, this.localTime(host));
            const holder = `${host.settings.host}/${host.settings.incarnation}`;
            return right ? [{ holder, right }] : [];
        });
    }

    private checkOwnership(): void {
        const rightHolders = this.hosts.filter((host) =>
            this.isRunning(host) && membership.rightUntil(host.state) > this.localTime(host)
        );
        this.options.partitions.forEach((partition) =>
            this.checker.observeHolders(partition, this.holders(partition, rightHolders))
        );
    }

    private every(host: SimulatedHost, periodMs: number, run: () => void): void {
        const next = () => {
            if (host.alive && !host.left) {
                run();
                this.schedule(this.now + periodMs, next);
            }
        };
        this.schedule(this.now + this.random.fraction() * periodMs, next);
    }

    private resume(host: SimulatedHost): void {
        if (this.isRunning(host)) {
            this.checkOwnership();
            host.backlog.splice(0).forEach((event) => this.deliver(host, event));
        }
    }

    private deliver(host: SimulatedHost, event: membership.MemberEvent): void {
        if (!host.alive || host.left) {
            return;
        }
        if (host.pausedUntil > this.now) {
            if (event.kind !== membership.EventKind.Tick) {
                host.backlog.push(event);
            }
            return;
        }
        const next = membership.decideMember(host.state, event, this.localTime(host));
        host.state = next.state;
        next.actions.forEach((action) => this.perform(host, action));
        if (event.kind !== membership.EventKind.Tick || this.nextOrder % 8 === 0) {
            this.checkOwnership();
        }
    }

    private perform(host: SimulatedHost, action: membership.MemberAction): void {
        const { ActionKind, EventKind } = membership;
        switch (action.kind) {
            case ActionKind.ReadView:
                this.read(host);
                break;
            case ActionKind.Left:
                host.left = true;
                break;
            case ActionKind.RevokeLease:
                this.call(host, () => this.service.revokeLease(action.lease), () => undefined);
                break;
            case ActionKind.GrantLease:
                this.call(
                    host,
                    () => this.service.grantLease(action.timeToLiveMs, this.now),
                    (lease) => ({ kind: EventKind.LeaseAnswered, call: action.call, lease }),
                );
                break;
            case ActionKind.RenewLease:
                this.call(
                    host,
                    () => this.service.renewLease(action.lease, this.now),
                    (lease) => ({ kind: EventKind.LeaseAnswered, call: action.call, lease }),
                );
                break;
            case ActionKind.ConditionalWrite:
                this.call(
                    host,
                    () => this.writeIf(action.comparisons, action.writes),
                    (succeeded) => ({ kind: EventKind.WriteAnswered, call: action.call, succeeded }),
                );
                break;
            case ActionKind.Send:
                this.send(host, action.host, action.message);
                break;
            case ActionKind.PrepareHandOver: {
                const event: membership.MemberEvent = { kind: EventKind.HandOverReady, handOver: action.handOver };
                this.schedule(this.now + this.random.integer(1, 50), () => this.deliver(host, event));
                break;
            }
        }
    }

    private writeIf(comparisons: readonly membership.Comparison[], writes: readonly membership.KeyWrite[]) {
        const succeeded = this.service.writeIf(comparisons, writes, this.now);
        const { table } = this.service.read(this.options.partitions, this.now);
        this.checker.observeTableChange(this.table, table);
        this.table = table;
        return succeeded;
    }

    private read(host: SimulatedHost): void {
        this.call(
            host,
            () => this.service.read(this.options.partitions, this.now),
            (view) => view && { kind: membership.EventKind.ViewUpdated, view },
        );
    }

    /** Makes a call that takes effect at most once, possibly after the caller has timed out. */
    private call<Value>(
        host: SimulatedHost,
        carryOut: () => Value,
        toEvent: (value: Value | undefined) => membership.MemberEvent | undefined,
    ): void {
        let answered = false;
        const answer = (value: Value | undefined) => {
            const event = answered ? undefined : toEvent(value);
            answered = true;
            if (event) {
                this.deliver(host, event);
            }
        };
        const isReachable = () => this.now >= Math.max(this.outageUntil, host.cutFromServiceUntil);
        if (isReachable() && !this.random.chance(this.options.lossShare)) {
            this.schedule(this.now + this.delay(), () => {
                if (this.now < this.outageUntil) {
                    return;
                }
                const value = carryOut();
                if (!this.random.chance(this.options.lossShare) && isReachable()) {
                    this.schedule(this.now + this.delay(), () => answer(value));
                }
            });
        }
        this.schedule(this.now + CALL_TIMEOUT_MS, () => answer(undefined));
    }

    private send(from: SimulatedHost, name: string, message: membership.MemberMessage): void {
        const isCut = () => this.now < (this.cutUntil.get(linkKey(from.settings.host, name)) ?? 0);
        if (isCut() || this.random.chance(this.options.lossShare)) {
            return;
        }
        const event = { kind: membership.EventKind.Message as const, host: from.settings.host, message };
        this.schedule(this.now + this.delay(), () => {
            const target = this.hosts.findLast((host) => host.settings.host === name);
            if (target && !isCut()) {
                this.deliver(target, event);
            }
        });
    }

    /** A random delay in milliseconds: mostly short, for the slow share up to a quarter of a lease. */
    private delay(): number {
        return this.random.chance(this.options.slowShare)
            ? this.random.fraction() * membership.DEFAULT_TIMING.leaseMs / 4
            : TYPICAL_DELAY_MS * (0.5 + this.random.fraction());
    }
}
