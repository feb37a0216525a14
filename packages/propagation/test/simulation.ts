import * as decision from "@citronlead/decision";
import * as propagation from "../src/index.js";

interface SimulatedHost {
    readonly name: string;
    readonly zone: string;
    state: propagation.PropagationState;
    generation: number;
    pausedUntil: number;
    disconnectedUntil: number;
    partitionedUntil: number;
    /** While partitioned, a host is connected only to hosts with the same partition number. */
    partition: number;
    watching: boolean;
    /** Whether the watch stays open but delivers nothing. */
    stalledWatch: boolean;
    /** The latest time at which a fault may have kept this host from learning of revisions. */
    lastFaultAt: number;
}

/** The size of the simulation and the faults that occur in it. */
export interface SimulationOptions {
    readonly hosts: number;
    readonly zones: number;
    /** The probability per second that a fault occurs at a host. */
    readonly faultRate: number;
    /** The key-value service is unreachable from the first to the second time. */
    readonly outage?: readonly [number, number];
    /** The probability per second that a new revision is accepted. */
    readonly changeRate: number;
}

const TICK_MS = 250;
const RESPONSE_TIMEOUT_MS = 1_000;

/** Hosts that follow the configuration, on simulated time. */
export class Simulation {
    /** Ticks of all hosts at which keys were usable. */
    usableTicks = 0;
    ticks = 0;
    headReads = 0;
    exchanges = 0;
    /** The times of all ticks at which a host refused keys. */
    readonly refusedAt: number[] = [];
    readonly checker: propagation.PropagationChecker;
    readonly hosts: SimulatedHost[] = [];
    private readonly random: decision.Random;
    private readonly queue = new Map<number, (() => void)[]>();
    private now = 0;
    private partitionCount = 0;

    constructor(seed: number, private readonly options: SimulationOptions) {
        this.random = decision.seeded(seed);
        this.checker = new propagation.PropagationChecker(options.hosts);
        for (let index = 0; index < options.hosts; index++) {
            const name = `host-${index}`;
            const zone = `zone-${index % options.zones}`;
            this.hosts.push({
                name,
                zone,
                state: this.initialState(name, zone),
                generation: 0,
                pausedUntil: 0,
                disconnectedUntil: 0,
                partitionedUntil: 0,
                partition: 0,
                watching: false,
                stalledWatch: false,
                lastFaultAt: 0,
            });
        }
    }

    run(durationMs: number): void {
        this.acceptRevision();
        for (const host of this.hosts) {
            this.start(host, this.random.integer(0, TICK_MS));
        }
        for (let at = 1_000; at < durationMs; at += 1_000) {
            this.schedule(at, () => this.everySecond());
        }
        for (this.now = 0; this.now < durationMs; this.now++) {
            const due = this.queue.get(this.now);
            this.queue.delete(this.now);
            due?.forEach((callback) => callback());
        }
    }

    private initialState(host: string, availabilityZone: string): propagation.PropagationState {
        return propagation.propagationModule.start({ host, availabilityZone }, this.now);
    }

    private start(host: SimulatedHost, afterMs: number): void {
        const roster = this.hosts.map(({ name, zone }) => ({ host: name, availabilityZone: zone }));
        this.scheduleEvent(host, { kind: propagation.PropagationEventKind.RosterChanged, roster }, afterMs);
        const { generation } = host;
        const tick = () => {
            if (host.generation === generation) {
                this.schedule(this.now + TICK_MS, tick);
                this.tick(host);
            }
        };
        this.schedule(this.now + afterMs + 1, tick);
    }

    private schedule(time: number, callback: () => void): void {
        const tick = Math.max(this.now + 1, Math.ceil(time));
        const list = this.queue.get(tick);
        if (list) {
            list.push(callback);
        }
        else {
            this.queue.set(tick, [callback]);
        }
    }

    private tick(host: SimulatedHost): void {
        if (host.pausedUntil > this.now) {
            return;
        }
        this.deliver(host, { kind: propagation.PropagationEventKind.Tick });
        const inForce = host.state.inForce;
        this.ticks++;
        if (propagation.keysUsable(host.state, this.now)) {
            this.usableTicks++;
            this.checker.checkServed(host.name, inForce, this.now);
        }
        else {
            this.refusedAt.push(this.now);
        }
        if (this.now - host.lastFaultAt > propagation.MAX_KEY_STALENESS_MS + 2 * RESPONSE_TIMEOUT_MS) {
            this.checker.checkConnected(host.name, inForce, this.now);
        }
    }

    private everySecond(): void {
        const [from, until] = this.options.outage ?? [Infinity, Infinity];
        if (this.now >= from && this.now <= until) {
            this.hosts.forEach((host) => this.endWatch(host));
            this.hosts.forEach((host) => host.lastFaultAt = this.now);
        }
        else if (this.random.chance(this.options.changeRate)) {
            this.acceptRevision();
        }
        for (const host of this.hosts) {
            if (this.random.chance(this.options.faultRate)) {
                this.injectFault(host);
            }
            const unreachable = host.disconnectedUntil > this.now && !this.mostHostsAreHealthy();
            if (unreachable || Math.max(host.pausedUntil, host.partitionedUntil) > this.now) {
                host.lastFaultAt = this.now;
            }
        }
    }

    /** Whether a host that is disconnected from the key-value service will soon reach an up-to-date peer. */
    private mostHostsAreHealthy(): boolean {
        const healthy = this.hosts.filter((host) =>
            Math.max(host.pausedUntil, host.partitionedUntil, host.disconnectedUntil) <= this.now
        );
        return healthy.length * 3 >= this.hosts.length * 2;
    }

    private injectFault(host: SimulatedHost): void {
        const until = this.now + this.random.integer(500, 25_000);
        switch (this.random.integer(0, 4)) {
            case 0:
                host.pausedUntil = Math.max(until, host.pausedUntil);
                host.lastFaultAt = this.now;
                break;
            case 1:
                host.disconnectedUntil = until;
                this.endWatch(host);
                break;
            case 2:
                this.partitionHosts(this.random.chance(0.5) ? [host] : this.neighbours(host), until);
                break;
            case 3:
                host.stalledWatch = true;
                break;
            default:
                host.generation++;
                host.lastFaultAt = this.now;
                host.watching = false;
                this.checker.recordRestart(host.name);
                host.state = this.initialState(host.name, host.zone);
                this.start(host, 100);
        }
    }

    private neighbours(host: SimulatedHost): readonly SimulatedHost[] {
        const sameZone = this.random.chance(0.5);
        const chosen = (candidate: SimulatedHost) => sameZone ? candidate.zone === host.zone : this.random.chance(0.3);
        return this.hosts.filter((candidate) => candidate === host || chosen(candidate));
    }

    /** Disconnects hosts from the key-value service and from all hosts but each other. */
    private partitionHosts(hosts: readonly SimulatedHost[], until: number): void {
        this.partitionCount++;
        for (const host of hosts) {
            host.partition = this.partitionCount;
            host.disconnectedUntil = until;
            host.partitionedUntil = until;
            host.lastFaultAt = this.now;
            this.endWatch(host);
        }
    }

    private endWatch(host: SimulatedHost): void {
        if (host.watching) {
            host.watching = false;
            this.scheduleEvent(host, { kind: propagation.PropagationEventKind.WatchEnded }, 1);
        }
    }

    private acceptRevision(): void {
        this.checker.recordAccepted(this.now);
        const revision = this.checker.newest;
        for (const host of this.hosts) {
            const notificationLost = this.random.chance(0.1);
            if (host.watching && !host.stalledWatch && !notificationLost && this.reachesService(host)) {
                const delayMs = this.random.chance(0.1) ? this.random.integer(500, 6_000) : this.random.integer(1, 50);
                this.scheduleEvent(host, { kind: propagation.PropagationEventKind.WatchNotified, revision }, delayMs);
            }
        }
    }

    private reachesService(host: SimulatedHost): boolean {
        const [from, until] = this.options.outage ?? [Infinity, Infinity];
        return host.disconnectedUntil <= this.now && !(this.now >= from && this.now <= until);
    }

    /** Delivers an event to a host after a delay; deferred while the host is paused, dropped if it restarts. */
    private scheduleEvent(host: SimulatedHost, event: propagation.PropagationEvent, delayMs: number): void {
        const { generation } = host;
        const deliver = () => {
            if (host.generation !== generation) {
                return;
            }
            if (host.pausedUntil > this.now) {
                this.schedule(host.pausedUntil, deliver);
                return;
            }
            this.deliver(host, event);
        };
        this.schedule(this.now + delayMs, deliver);
    }

    private deliver(host: SimulatedHost, event: propagation.PropagationEvent): void {
        const next = propagation.propagationModule.decide(host.state, event, this.now);
        host.state = next.state;
        this.checker.recordLearned(host.name, next.state.highestKnown, this.now);
        next.actions.forEach((action) => this.execute(host, action));
    }

    private execute(host: SimulatedHost, action: propagation.PropagationAction): void {
        const { PropagationActionKind, PropagationEventKind } = propagation;
        switch (action.kind) {
            case PropagationActionKind.Watch:
                host.watching = this.reachesService(host);
                host.stalledWatch = this.random.chance(0.1);
                return host.watching
                    ? undefined
                    : this.scheduleEvent(host, { kind: PropagationEventKind.WatchEnded }, 5);
            case PropagationActionKind.ReadHead:
                return this.readHead(host);
            case PropagationActionKind.Fetch:
                return this.fetch(host, action);
            case PropagationActionKind.PutInForce:
                return this.checker.checkInForce(action.revision);
            case PropagationActionKind.SendRevisionRequest:
                this.exchanges++;
                return this.send(host, action.peer, {
                    kind: PropagationEventKind.RevisionRequestReceived,
                    peer: host.name,
                    exchange: action.exchange,
                    revision: action.revision,
                    withWitnesses: action.withWitnesses,
                });
            case PropagationActionKind.SendRevisionReply:
                return this.send(host, action.peer, {
                    ...action,
                    kind: PropagationEventKind.RevisionReplyReceived,
                    peer: host.name,
                });
        }
    }

    private readHead(host: SimulatedHost): void {
        this.headReads++;
        const askedAt = this.now;
        const latencyMs = this.random.integer(1, 10);
        if (!this.reachesService(host) || this.random.chance(0.02)) {
            this.scheduleEvent(host, { kind: propagation.PropagationEventKind.HeadReadFailed }, RESPONSE_TIMEOUT_MS);
            return;
        }
        this.schedule(this.now + latencyMs, () => {
            const revision = this.checker.newest;
            this.scheduleEvent(host, { kind: propagation.PropagationEventKind.HeadRead, revision, askedAt }, latencyMs);
        });
    }

    private fetch(host: SimulatedHost, action: Extract<propagation.PropagationAction, { kind: "fetch"; }>): void {
        this.schedule(this.now + action.afterMs + this.random.integer(2, 40), () => {
            const { PropagationEventKind } = propagation;
            const peer = this.hosts.find((candidate) => candidate.name === action.from);
            const behind = this.random.chance(0.1) ? this.random.integer(1, 4) : 0;
            const revision = peer ? peer.state.inForce : Math.max(1, this.checker.newest - behind);
            const fetchSucceeds = peer ? this.connected(host, peer) : this.reachesService(host);
            this.scheduleEvent(
                host,
                fetchSucceeds && revision > 0
                    ? { kind: PropagationEventKind.Fetched, revision }
                    : { kind: PropagationEventKind.FetchFailed, revision: action.revision },
                fetchSucceeds ? 1 : RESPONSE_TIMEOUT_MS,
            );
        });
    }

    private connected(host: SimulatedHost, peer: SimulatedHost): boolean {
        const partitionOf = (one: SimulatedHost) => one.partitionedUntil > this.now ? one.partition : 0;
        return partitionOf(host) === partitionOf(peer);
    }

    private send(host: SimulatedHost, name: string, event: propagation.PropagationEvent): void {
        const peer = this.hosts.find((candidate) => candidate.name === name);
        if (peer && this.connected(host, peer) && !this.random.chance(0.02)) {
            const isDelayed = this.random.chance(0.02);
            this.scheduleEvent(peer, event, isDelayed ? this.random.integer(100, 10_000) : this.random.integer(1, 5));
        }
    }
}
