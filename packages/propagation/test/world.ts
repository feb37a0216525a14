import * as decision from "@citronlead/decision";
import * as propagation from "../src/index.js";

/** One host of the world. */
interface WorldHost {
    readonly name: string;
    readonly zone: string;
    state: propagation.PropagationState;
    generation: number;
    pausedUntil: number;
    cutUntil: number;
    isolatedUntil: number;
    /** While isolated, only hosts on the same island are connected. */
    island: number;
    watching: boolean;
    silentWatch: boolean;
    /** When something last kept this host from hearing of revisions. */
    faultAt: number;
}

/** How faulty the world is. */
export interface WorldOptions {
    readonly hosts: number;
    readonly zones: number;
    /** Faults of single hosts happen with this probability for each host and second. */
    readonly faultRate: number;
    /** The service is away from the first to the second time. */
    readonly outage?: readonly [number, number];
    /** A change of the configuration is accepted with this probability a second. */
    readonly changeRate: number;
}

const TICK_MS = 250;
const ANSWER_LIMIT_MS = 1_000;

/** Hosts that follow the configuration, on simulated time. Counts ticks at which keys were usable. */
export class World {
    usableTicks = 0;
    ticks = 0;
    reads = 0;
    asks = 0;
    /** Host ticks during a restart-free outage at which keys were refused. */
    readonly refused: number[] = [];
    readonly ledger: propagation.PropagationLedger;
    readonly hosts: WorldHost[] = [];
    private readonly random: decision.Random;
    private readonly queue = new Map<number, (() => void)[]>();
    private now = 0;
    private islands = 0;

    constructor(seed: number, private readonly options: WorldOptions) {
        this.random = decision.seeded(seed);
        this.ledger = new propagation.PropagationLedger(options.hosts);
        for (let index = 0; index < options.hosts; index++) {
            const name = `host-${index}`;
            const zone = `zone-${index % options.zones}`;
            this.hosts.push({
                name,
                zone,
                state: this.fresh(name, zone),
                generation: 0,
                pausedUntil: 0,
                cutUntil: 0,
                isolatedUntil: 0,
                island: 0,
                watching: false,
                silentWatch: false,
                faultAt: 0,
            });
        }
    }

    run(durationMs: number): void {
        this.accept();
        for (const host of this.hosts) {
            this.start(host, this.random.integer(0, TICK_MS));
        }
        for (let at = 1_000; at < durationMs; at += 1_000) {
            this.at(at, () => this.everySecond());
        }
        for (this.now = 0; this.now < durationMs; this.now++) {
            const due = this.queue.get(this.now);
            this.queue.delete(this.now);
            due?.forEach((callback) => callback());
        }
    }

    private fresh(host: string, availabilityZone: string): propagation.PropagationState {
        return propagation.propagationModule.start({ host, availabilityZone }, this.now);
    }

    private start(host: WorldHost, afterMs: number): void {
        const roster = this.hosts.map(({ name, zone }) => ({ host: name, availabilityZone: zone }));
        this.tell(host, { kind: propagation.PropagationEventKind.RosterChanged, roster }, afterMs);
        const { generation } = host;
        const tick = () => {
            if (host.generation === generation) {
                this.at(this.now + TICK_MS, tick);
                this.tick(host);
            }
        };
        this.at(this.now + afterMs + 1, tick);
    }

    private at(time: number, callback: () => void): void {
        const tick = Math.max(this.now + 1, Math.ceil(time));
        const list = this.queue.get(tick);
        if (list) {
            list.push(callback);
        }
        else {
            this.queue.set(tick, [callback]);
        }
    }

    private tick(host: WorldHost): void {
        if (host.pausedUntil > this.now) {
            return;
        }
        this.take(host, { kind: propagation.PropagationEventKind.Tick });
        const inForce = host.state.inForce;
        this.ticks++;
        if (propagation.keysUsable(host.state, this.now)) {
            this.usableTicks++;
            this.ledger.noteServed(host.name, inForce, this.now);
        }
        else {
            this.refused.push(this.now);
        }
        if (this.now - host.faultAt > propagation.KEYS_FRESH_MS + 2 * ANSWER_LIMIT_MS) {
            this.ledger.noteConnected(host.name, inForce, this.now);
        }
    }

    private everySecond(): void {
        const [from, until] = this.options.outage ?? [Infinity, Infinity];
        if (this.now >= from && this.now <= until) {
            this.hosts.forEach((host) => this.endWatch(host));
            this.hosts.forEach((host) => host.faultAt = this.now);
        }
        else if (this.random.chance(this.options.changeRate)) {
            this.accept();
        }
        for (const host of this.hosts) {
            if (this.random.chance(this.options.faultRate)) {
                this.disturb(host);
            }
            const alone = host.cutUntil > this.now && !this.mostAreSound();
            if (alone || Math.max(host.pausedUntil, host.isolatedUntil) > this.now) {
                host.faultAt = this.now;
            }
        }
    }

    /** Whether a host that is cut off from the service finds an up-to-date peer soon. */
    private mostAreSound(): boolean {
        const sound = this.hosts.filter((host) =>
            Math.max(host.pausedUntil, host.isolatedUntil, host.cutUntil) <= this.now
        );
        return sound.length * 3 >= this.hosts.length * 2;
    }

    private disturb(host: WorldHost): void {
        const until = this.now + this.random.integer(500, 25_000);
        switch (this.random.integer(0, 4)) {
            case 0:
                host.pausedUntil = Math.max(until, host.pausedUntil);
                host.faultAt = this.now;
                break;
            case 1:
                host.cutUntil = until;
                this.endWatch(host);
                break;
            case 2:
                this.isolate(this.random.chance(0.5) ? [host] : this.neighbours(host), until);
                break;
            case 3:
                host.silentWatch = true;
                break;
            default:
                host.generation++;
                host.faultAt = this.now;
                host.watching = false;
                this.ledger.noteRestarted(host.name);
                host.state = this.fresh(host.name, host.zone);
                this.start(host, 100);
        }
    }

    private neighbours(host: WorldHost): readonly WorldHost[] {
        const ofZone = this.random.chance(0.5);
        const chosen = (candidate: WorldHost) => ofZone ? candidate.zone === host.zone : this.random.chance(0.3);
        return this.hosts.filter((candidate) => candidate === host || chosen(candidate));
    }

    /** Cuts hosts off from the service and from all hosts but each other. */
    private isolate(hosts: readonly WorldHost[], until: number): void {
        this.islands++;
        for (const host of hosts) {
            host.island = this.islands;
            host.cutUntil = until;
            host.isolatedUntil = until;
            host.faultAt = this.now;
            this.endWatch(host);
        }
    }

    private endWatch(host: WorldHost): void {
        if (host.watching) {
            host.watching = false;
            this.tell(host, { kind: propagation.PropagationEventKind.WatchEnded }, 1);
        }
    }

    private accept(): void {
        this.ledger.noteAccepted(this.now);
        const revision = this.ledger.newest;
        for (const host of this.hosts) {
            const gap = this.random.chance(0.1);
            if (host.watching && !host.silentWatch && !gap && this.reaches(host)) {
                const delayMs = this.random.chance(0.1) ? this.random.integer(500, 6_000) : this.random.integer(1, 50);
                this.tell(host, { kind: propagation.PropagationEventKind.WatchTold, revision }, delayMs);
            }
        }
    }

    private reaches(host: WorldHost): boolean {
        const [from, until] = this.options.outage ?? [Infinity, Infinity];
        return host.cutUntil <= this.now && !(this.now >= from && this.now <= until);
    }

    /** Tells a host something after a delay; a paused host learns it when it wakes, a restarted one never. */
    private tell(host: WorldHost, event: propagation.PropagationEvent, delayMs: number): void {
        const { generation } = host;
        const deliver = () => {
            if (host.generation !== generation) {
                return;
            }
            if (host.pausedUntil > this.now) {
                this.at(host.pausedUntil, deliver);
                return;
            }
            this.take(host, event);
        };
        this.at(this.now + delayMs, deliver);
    }

    private take(host: WorldHost, event: propagation.PropagationEvent): void {
        const next = propagation.propagationModule.decide(host.state, event, this.now);
        host.state = next.state;
        this.ledger.noteLearnt(host.name, next.state.known, this.now);
        next.actions.forEach((action) => this.carryOut(host, action));
    }

    private carryOut(host: WorldHost, action: propagation.PropagationAction): void {
        const { PropagationActionKind, PropagationEventKind } = propagation;
        switch (action.kind) {
            case PropagationActionKind.Watch:
                host.watching = this.reaches(host);
                host.silentWatch = this.random.chance(0.1);
                return host.watching ? undefined : this.tell(host, { kind: PropagationEventKind.WatchEnded }, 5);
            case PropagationActionKind.ReadHead:
                return this.readHead(host);
            case PropagationActionKind.Fetch:
                return this.fetch(host, action);
            case PropagationActionKind.PutInForce:
                return this.ledger.noteInForce(action.revision);
            case PropagationActionKind.Ask:
                this.asks++;
                return this.send(host, action.peer, {
                    kind: PropagationEventKind.PeerAsked,
                    peer: host.name,
                    exchange: action.exchange,
                    revision: action.revision,
                    withWitnesses: action.withWitnesses,
                });
            case PropagationActionKind.Reply:
                return this.send(host, action.peer, {
                    ...action,
                    kind: PropagationEventKind.PeerReplied,
                    peer: host.name,
                });
        }
    }

    private readHead(host: WorldHost): void {
        this.reads++;
        const askedAt = this.now;
        const arrives = this.random.integer(1, 10);
        if (!this.reaches(host) || this.random.chance(0.02)) {
            this.tell(host, { kind: propagation.PropagationEventKind.ReadLost }, ANSWER_LIMIT_MS);
            return;
        }
        this.at(this.now + arrives, () => {
            const revision = this.ledger.newest;
            this.tell(host, { kind: propagation.PropagationEventKind.HeadRead, revision, askedAt }, arrives);
        });
    }

    private fetch(host: WorldHost, action: Extract<propagation.PropagationAction, { kind: "fetch"; }>): void {
        this.at(this.now + action.afterMs + this.random.integer(2, 40), () => {
            const { PropagationEventKind } = propagation;
            const peer = this.hosts.find((candidate) => candidate.name === action.from);
            const behind = this.random.chance(0.1) ? this.random.integer(1, 4) : 0;
            const revision = peer ? peer.state.inForce : Math.max(1, this.ledger.newest - behind);
            const served = peer ? this.connected(host, peer) : this.reaches(host);
            this.tell(
                host,
                served && revision > 0
                    ? { kind: PropagationEventKind.Fetched, revision }
                    : { kind: PropagationEventKind.FetchLost, revision: action.revision },
                served ? 1 : ANSWER_LIMIT_MS,
            );
        });
    }

    private connected(host: WorldHost, peer: WorldHost): boolean {
        const islandOf = (one: WorldHost) => one.isolatedUntil > this.now ? one.island : 0;
        return islandOf(host) === islandOf(peer);
    }

    private send(host: WorldHost, name: string, event: propagation.PropagationEvent): void {
        const peer = this.hosts.find((candidate) => candidate.name === name);
        if (peer && this.connected(host, peer) && !this.random.chance(0.02)) {
            const late = this.random.chance(0.02);
            this.tell(peer, event, late ? this.random.integer(100, 10_000) : this.random.integer(1, 5));
        }
    }
}
