import * as decision from "@citronlead/decision";
import * as membership from "../src/index.js";
import * as services from "./service.js";

/** How the network and the clocks of a run behave. */
export interface FleetOptions {
    readonly hosts: number;
    readonly zones: number;
    readonly partitions: readonly string[];
    readonly omit?: readonly membership.Rule[];
    /** How often a message or call takes long, from 0 to 1. */
    readonly slowShare: number;
    readonly lossShare: number;
    readonly successorLimit?: number;
}

/** A process of a host. */
export interface SimulatedHost {
    readonly settings: membership.MemberSettings;
    readonly rate: number;
    readonly offset: number;
    state: membership.MemberState;
    alive: boolean;
    pausedUntil: number;
    /** Until when no call reaches the service or comes back. */
    cutFromServiceUntil: number;
    left: boolean;
    readonly backlog: membership.MemberEvent[];
}

const TICK_MS = 250;
const READ_MS = 500;
const CALL_TIMEOUT_MS = 1_000;
const QUICK_MS = 3;
const CLOCK_RATE_SPREAD = 0.01;

function pairOf(left: string, right: string): string {
    return left < right ? `${left}|${right}` : `${right}|${left}`;
}

/** Hosts with the real decisions, a fake service and a fake network, under one seeded clock. */
export class SimulatedFleet {
    now = 0;
    outageUntil = 0;
    readonly service = new services.FakeService();
    readonly hosts: SimulatedHost[] = [];
    private readonly cuts = new Map<string, number>();
    readonly checker = new membership.OwnershipChecker();
    private readonly queue: { at: number; order: number; run: () => void; }[] = [];
    private order = 0;
    private starts = 0;
    private table: membership.Table = {};

    constructor(readonly random: decision.Random, readonly options: FleetOptions) {
        for (let index = 0; index < options.hosts; index++) {
            this.start(`host-${index}`, `zone-${index % options.zones}`, `http://127.0.0.${index + 1}:1`);
        }
    }

    /** Starts a process; a host of the same name must be dead or at another address. */
    start(host: string, availabilityZone: string, peerAddress: string): void {
        const { partitions, omit, successorLimit } = this.options;
        const incarnation = `i${++this.starts}`;
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
        const rate = 1 + (this.random.fraction() * 2 - 1) * CLOCK_RATE_SPREAD;
        const offset = this.random.integer(0, 1_000_000);
        const state = membership.startMember(settings, offset + this.now * rate);
        const process: SimulatedHost = {
            ...{ settings, rate, offset, state, alive: true, pausedUntil: 0, cutFromServiceUntil: 0, left: false },
            backlog: [],
        };
        this.hosts.push(process);
        this.every(process, TICK_MS, () => this.deliver(process, { kind: membership.EventKind.Tick }));
        this.every(process, READ_MS, () => this.read(process));
    }

    kill(host: SimulatedHost): void {
        host.alive = false;
    }

    pause(host: SimulatedHost, durationMs: number): void {
        host.pausedUntil = Math.max(host.pausedUntil, this.now + durationMs);
        this.at(host.pausedUntil, () => this.wake(host));
    }

    /** No message passes between two hosts until the given time. */
    cut(left: string, right: string, endsAt: number): void {
        const key = pairOf(left, right);
        this.cuts.set(key, Math.max(endsAt, this.cuts.get(key) ?? 0));
    }

    stop(host: SimulatedHost): void {
        this.deliver(host, { kind: membership.EventKind.StopRequested });
    }

    /** Runs a callback at a time. */
    at(time: number, run: () => void): void {
        const item = { at: time, order: this.order++, run };
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
        return host.offset + this.now * host.rate;
    }

    isRunning(host: SimulatedHost): boolean {
        return host.alive && !host.left && host.pausedUntil <= this.now;
    }

    /** The share of partitions for which some host could act now. */
    acting(partitions: readonly string[] = this.options.partitions): number {
        const acted = partitions.filter((partition) => this.holders(partition).length > 0);
        return acted.length / partitions.length;
    }

    private holders(partition: string, hosts: readonly SimulatedHost[] = this.hosts): membership.Holder[] {
        return hosts.filter((host) => this.isRunning(host)).flatMap((host) => {
            const right = membership.rightFor(host.state, partition, this.localTime(host));
            const holder = `${host.settings.host}/${host.settings.incarnation}`;
            return right ? [{ holder, right }] : [];
        });
    }

    private check(): void {
        const able = this.hosts.filter((host) =>
            this.isRunning(host) && membership.rightUntil(host.state) > this.localTime(host)
        );
        this.options.partitions.forEach((partition) =>
            this.checker.observeHolders(partition, this.holders(partition, able))
        );
    }

    private every(host: SimulatedHost, periodMs: number, run: () => void): void {
        const next = () => {
            if (host.alive && !host.left) {
                run();
                this.at(this.now + periodMs, next);
            }
        };
        this.at(this.now + this.random.fraction() * periodMs, next);
    }

    private wake(host: SimulatedHost): void {
        if (this.isRunning(host)) {
            this.check();
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
        next.actions.forEach((action) => this.carryOut(host, action));
        if (event.kind !== membership.EventKind.Tick || this.order % 8 === 0) {
            this.check();
        }
    }

    private carryOut(host: SimulatedHost, action: membership.MemberAction): void {
        const { ActionKind, EventKind } = membership;
        switch (action.kind) {
            case ActionKind.Read:
                this.read(host);
                break;
            case ActionKind.Left:
                host.left = true;
                break;
            case ActionKind.RevokeLease:
                this.call(host, () => this.service.revoke(action.lease), () => undefined);
                break;
            case ActionKind.GrantLease:
                this.call(
                    host,
                    () => this.service.grant(action.timeToLiveMs, this.now),
                    (lease) => ({ kind: EventKind.LeaseAnswered, call: action.call, lease }),
                );
                break;
            case ActionKind.KeepLease:
                this.call(
                    host,
                    () => this.service.keep(action.lease, this.now),
                    (lease) => ({ kind: EventKind.LeaseAnswered, call: action.call, lease }),
                );
                break;
            case ActionKind.Swap:
                this.call(
                    host,
                    () => this.swap(action.comparisons, action.writes),
                    (succeeded) => ({ kind: EventKind.SwapAnswered, call: action.call, succeeded }),
                );
                break;
            case ActionKind.Send:
                this.send(host, action.host, action.message);
                break;
            case ActionKind.PrepareHandOver: {
                const event: membership.MemberEvent = { kind: EventKind.HandOverReady, handOver: action.handOver };
                this.at(this.now + this.random.integer(1, 50), () => this.deliver(host, event));
                break;
            }
        }
    }

    private swap(comparisons: readonly membership.Comparison[], writes: readonly membership.KeyWrite[]) {
        const succeeded = this.service.swap(comparisons, writes, this.now);
        const { table } = this.service.read(this.options.partitions, this.now);
        this.checker.observeTableChange(this.table, table);
        this.table = table;
        return succeeded;
    }

    private read(host: SimulatedHost): void {
        this.call(
            host,
            () => this.service.read(this.options.partitions, this.now),
            (view) => view && { kind: membership.EventKind.Viewed, view },
        );
    }

    /** A call takes effect once, or not at all, perhaps after the caller has given up on its answer. */
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
        const reaches = () => this.now >= Math.max(this.outageUntil, host.cutFromServiceUntil);
        if (reaches() && !this.random.chance(this.options.lossShare)) {
            this.at(this.now + this.delay(), () => {
                if (this.now < this.outageUntil) {
                    return;
                }
                const value = carryOut();
                if (!this.random.chance(this.options.lossShare) && reaches()) {
                    this.at(this.now + this.delay(), () => answer(value));
                }
            });
        }
        this.at(this.now + CALL_TIMEOUT_MS, () => answer(undefined));
    }

    private send(from: SimulatedHost, name: string, message: membership.MemberMessage): void {
        const isCut = () => this.now < (this.cuts.get(pairOf(from.settings.host, name)) ?? 0);
        if (isCut() || this.random.chance(this.options.lossShare)) {
            return;
        }
        const event = { kind: membership.EventKind.Message as const, host: from.settings.host, message };
        this.at(this.now + this.delay(), () => {
            const target = this.hosts.findLast((host) => host.settings.host === name);
            if (target && !isCut()) {
                this.deliver(target, event);
            }
        });
    }

    /** Mostly quick, now and then up to a quarter of a lease. */
    private delay(): number {
        return this.random.chance(this.options.slowShare)
            ? this.random.fraction() * membership.DEFAULT_TIMING.leaseMs / 4
            : QUICK_MS * (0.5 + this.random.fraction());
    }
}
