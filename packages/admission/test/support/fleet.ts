import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as admission from "../../src/index.js";
import * as sharded from "../../src/sharded.js";
import * as agendas from "./agenda.js";
import * as hosts from "./host.js";

/** How often things go wrong in a fleet, and what it consists of. */
export interface FleetOptions {
    readonly hostCount: number;
    readonly zoneCount: number;
    readonly workspaces: Readonly<Record<string, admission.Terms>>;
    /** Probabilities of each message to be lost, repeated, or very late. */
    readonly lost: number;
    readonly repeated: number;
    readonly late: number;
    /** How long a host may learn of a configuration after it was accepted, in milliseconds. */
    readonly configurationDelayMs: number;
}

/** How one request ended. */
export interface Result {
    readonly requestId: string;
    readonly granted: boolean;
    readonly delayMs: number;
}

interface Asked {
    readonly at: number;
    readonly host: hosts.Host;
    readonly tokens: number;
}

interface Ownership {
    host: hosts.Host;
    fencing: number;
    leavingTo: hosts.Host | undefined;
}

const LEASE_MS = 3_000;
const RENEW_PERIOD_MS = 800;
const USUAL_DELAY_MS = 1;
const LATEST_MS = 4_000;
const CLOCK_ERROR = 0.01;

/** A fleet of admission modules in one process, with a simulated network, key-value service and membership. */
export class Fleet {
    readonly agenda = new agendas.Agenda();
    readonly random: decision.Random;
    readonly hosts = new Map<string, hosts.Host>();
    readonly checker = new admission.WindowChecker();
    /** Everything that was granted, for a check of each charge's final use. */
    readonly grants = new Map<string, admission.Spending>();
    readonly termsInForce: { readonly at: number; readonly workspace: string; readonly terms: admission.Terms; }[] = [];
    serviceUp = true;
    messageCount = 0;
    eventCount = 0;
    onResult: (result: Result) => void = () => undefined;
    private readonly ownerships = new Map<string, Ownership>();
    private readonly revisions: Readonly<Record<string, admission.Terms>>[] = [];
    private readonly common = new Map<string, number>();
    private readonly asked = new Map<string, Asked>();
    private readonly workspacesByBucket = new Map<string, string[]>();
    private hostNumber = 0;

    constructor(seed: number, readonly options: FleetOptions) {
        this.random = decision.seeded(seed);
        this.revisions.push(options.workspaces);
        Object.keys(options.workspaces).forEach((workspace) => {
            const bucket = bucketOf(membership.slicePartition(workspace, 0));
            this.workspacesByBucket.set(bucket, [...this.workspacesByBucket.get(bucket) ?? [], workspace]);
        });
        for (let index = 0; index < options.hostCount; index++) {
            this.addHost(`zone-${index % options.zoneCount}`);
        }
        this.partitions().forEach((partition, index) => {
            const alive = this.aliveHosts();
            this.assign(partition, alive[(index * 5 + Math.floor(index / 3)) % alive.length]!, 1);
        });
    }

    private partitions(): string[] {
        return [...this.workspacesByBucket.keys()].flatMap((bucket) =>
            Array.from({ length: membership.SLICE_COUNT }, (_, slice) => `slice-${slice}-${bucket}`)
        );
    }

    get newestRevision(): number {
        return this.revisions.length;
    }

    aliveHosts(): hosts.Host[] {
        return [...this.hosts.values()].filter((host) => host.alive);
    }

    addHost(availabilityZone: string): hosts.Host {
        const rate = 1 + (this.random.fraction() * 2 - 1) * CLOCK_ERROR;
        const host = new hosts.Host(
            `host-${this.hostNumber++}`,
            availabilityZone,
            this.agenda,
            rate,
            this.random.integer(0, 1_000_000),
            (from, action) => this.carryOut(from, action),
            (from, event) => this.observe(from, event),
        );
        this.hosts.set(host.name, host);
        this.renew(host);
        host.feed(this.configurationEvent(this.newestRevision));
        return host;
    }

    /** Renews a host's rights: at the key-value service, or at its successor while the service is away. */
    private renew(host: hosts.Host): void {
        host.run(() => {
            const couldBeTaken = this.serviceUp && this.agenda.now > host.trueRightEnd + LEASE_MS;
            if (!couldBeTaken || host.rightUntil === -Infinity) {
                host.rightUntil = Math.max(host.rightUntil, host.clock + LEASE_MS * (1 - 2 * CLOCK_ERROR));
                host.trueRightEnd = this.agenda.now + LEASE_MS;
            }
            this.agenda.after(RENEW_PERIOD_MS, () => this.renew(host));
        });
    }

    private assign(partition: string, host: hosts.Host, fencing: number): void {
        this.ownerships.set(partition, { host, fencing, leavingTo: undefined });
        this.agenda.after(this.random.fraction() * 50, () =>
            host.run(() => {
                // A host that slept through a takeover learns of the newer owner when it renews its rights.
                if (this.ownerships.get(partition)?.fencing === fencing) {
                    host.fencing.set(partition, fencing);
                    this.readFloor(partition, host, fencing);
                }
            }));
    }

    private readFloor(partition: string, host: hosts.Host, fencing: number): void {
        const right = host.rightFor(partition);
        if (host.fencing.get(partition) !== fencing) {
            return;
        }
        if (!this.serviceUp || !right) {
            this.agenda.after(500, () => host.run(() => this.readFloor(partition, host, fencing)));
            return;
        }
        const floorRevision = this.newestRevision;
        host.feed({ kind: admission.EventKind.Own, partition, right, floorRevision });
    }

    /** Takes over the partitions of hosts whose rights have certainly ended, if the service is up. */
    takeOver(): void {
        if (!this.serviceUp) {
            return;
        }
        for (const [partition, ownership] of this.ownerships) {
            if (this.agenda.now > ownership.host.trueRightEnd) {
                ownership.host.fencing.delete(partition);
                this.assign(partition, this.random.pick(this.successors()), ownership.fencing + 1);
            }
        }
    }

    private successors(): hosts.Host[] {
        return this.aliveHosts().filter((host) => !host.paused && this.agenda.now < host.trueRightEnd);
    }

    /** Starts a planned hand-over of a partition. */
    handOver(partition: string, next: hosts.Host): void {
        const ownership = this.ownerships.get(partition);
        if (!ownership || ownership.leavingTo || ownership.host === next || !ownership.host.alive) {
            return;
        }
        const { host, fencing } = ownership;
        ownership.leavingTo = next;
        host.run(() => {
            if (host.fencing.get(partition) === fencing) {
                host.fencing.delete(partition);
                host.feed({ kind: admission.EventKind.HandOver, partition, nextHost: next.name });
            }
        });
    }

    private finishHandOver(partition: string, host: hosts.Host): void {
        const ownership = this.ownerships.get(partition);
        if (!ownership || ownership.host !== host || !ownership.leavingTo) {
            return;
        }
        if (!this.serviceUp) {
            this.agenda.after(1_000, () => this.finishHandOver(partition, host));
            return;
        }
        const next = ownership.leavingTo.alive ? ownership.leavingTo : this.random.pick(this.successors());
        this.agenda.after(5, () => {
            if (this.ownerships.get(partition) === ownership) {
                this.assign(partition, next, ownership.fencing + 1);
            }
        });
    }

    firstPartition(): string {
        return this.partitions()[0]!;
    }

    randomPartition(): string {
        return this.random.pick(this.partitions());
    }

    ownerOf(partition: string): hosts.Host | undefined {
        return this.ownerships.get(partition)?.host;
    }

    /** Accepts a configuration; each host learns of it at a time of its own, and may miss one for a newer one. */
    configure(next: Readonly<Record<string, admission.Terms>>): void {
        if (!this.serviceUp) {
            return;
        }
        this.revisions.push(next);
        const revision = this.newestRevision;
        for (const host of this.aliveHosts()) {
            const delay = this.random.fraction() * this.options.configurationDelayMs;
            this.agenda.after(delay, () => host.run(() => host.feed(this.configurationEvent(revision))));
        }
    }

    private configurationEvent(revision: number): admission.Configuration {
        const kind = admission.EventKind.Configuration;
        return { kind, revision, workspaces: this.revisions[revision - 1] ?? {} };
    }

    /** Ends a granted request at its host, with what it used as a share of what it was charged. */
    settle(requestId: string, share: number): void {
        const asked = this.asked.get(requestId);
        if (asked) {
            const usedTokens = asked.tokens * share;
            asked.host.run(() => asked.host.feed({ kind: admission.EventKind.Settle, requestId, usedTokens }));
        }
    }

    /** Makes a request at a host. */
    request(host: hosts.Host, requestId: string, workspace: string, tokens: number, patienceMs: number): void {
        this.asked.set(requestId, { at: this.agenda.now, host, tokens });
        const nearness = (slice: number) => {
            const owner = this.ownerOf(membership.slicePartition(workspace, slice));
            const { SameHost, SameAvailabilityZone, Elsewhere } = admission.Nearness;
            return owner === host
                ? SameHost
                : owner?.availabilityZone === host.availabilityZone
                ? SameAvailabilityZone
                : Elsewhere;
        };
        host.run(() =>
            host.feed({
                kind: admission.EventKind.Wish,
                requestId,
                workspace,
                tokens,
                deadline: host.clock + patienceMs,
                order: admission.orderSlices(requestId, nearness),
            })
        );
    }

    private carryOut(host: hosts.Host, action: admission.Action): void {
        switch (action.kind) {
            case admission.ActionKind.Send:
                this.send(host, action);
                break;
            case admission.ActionKind.Answer: {
                const { requestId, granted } = action;
                const delayMs = this.agenda.now - (this.asked.get(requestId)?.at ?? this.agenda.now);
                this.onResult({ requestId, granted, delayMs });
                break;
            }
            case admission.ActionKind.Record:
                this.check(host, action);
                break;
            case admission.ActionKind.HandedOver:
                this.finishHandOver(action.partition, host);
                break;
        }
    }

    private send(from: hosts.Host, action: admission.Send): void {
        const { to, message } = action;
        const target = "host" in to ? this.hosts.get(to.host) : this.ownerships.get(to.partition)?.host;
        if (target === from) {
            from.deliver(from.name, message);
            return;
        }
        this.messageCount++;
        const copies = this.random.chance(this.options.repeated) ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (target && !this.random.chance(this.options.lost)) {
                const late = this.random.chance(this.options.late);
                const delay = this.random.exponential(USUAL_DELAY_MS) + (late ? this.random.fraction() * LATEST_MS : 0);
                this.agenda.after(delay, () => target.run(() => target.deliver(from.name, message)));
            }
        }
    }

    /** Feeds the checker with what an owner granted or got back. */
    private check(host: hosts.Host, action: admission.Record): void {
        const { workspace, chargeId, record, partition, fencing } = action;
        decision.invariant(
            this.agenda.now < host.trueRightEnd && this.ownerships.get(partition)?.fencing === fencing,
            () => `${host.name} acts for ${partition} without a right at ${this.agenda.now}`,
        );
        const at = this.agenda.now;
        const key = `${partition}/${fencing}/${chargeId}`;
        if (record === admission.RecordKind.Grant) {
            decision.invariant(!this.grants.has(key), () => `${key} was granted twice in one term`);
            const spending = { workspace, at, chargeId, tokens: action.tokens };
            this.grants.set(key, spending);
            this.checker.take(spending);
        }
        else if (record === admission.RecordKind.Refund) {
            const known = this.grants.get(key);
            decision.invariant(
                known !== undefined && known.tokens >= action.tokens,
                () => `${key} gives back too much`,
            );
            this.grants.set(key, { ...known, tokens: known.tokens - action.tokens });
            this.checker.take({ workspace, at, chargeId, tokens: -action.creditedTokens });
        }
    }

    /** Follows the revision that all owners of a workspace's slices act within. */
    private observe(host: hosts.Host, event: admission.Event): void {
        this.eventCount++;
        if (event.kind === admission.EventKind.Configuration) {
            sharded.values(host.state.current.owner.partitions).forEach(({ partition }) =>
                this.followCommon(partition)
            );
        }
        else if (event.kind === admission.EventKind.Own) {
            this.followCommon(event.partition);
        }
        else if (event.kind === admission.EventKind.Message) {
            this.followCommon(admission.partitionOf(event.message) ?? "");
        }
    }

    private followCommon(partition: string): void {
        const bucket = bucketOf(partition);
        const sets = Array.from({ length: membership.SLICE_COUNT }, (_, slice) => `slice-${slice}-${bucket}`)
            .map((sibling) => ({ sibling, ownership: this.ownerships.get(sibling) }))
            .map(({ sibling, ownership }) =>
                ownership && sharded.find(ownership.host.state.current.owner.partitions, sibling)
            )
            .filter((state) => state?.active && state.fencing === this.ownerships.get(state.partition)?.fencing)
            .map((state) => state!.revisions);
        if (sets.length === 0) {
            return;
        }
        // An owner leaves an older revision only once all owners act within the newer one.
        const former = this.common.get(bucket) ?? 0;
        const newest = Math.max(former, ...sets.map((set) => set[0] ?? 0));
        decision.invariant(
            sets.every((set) => set.includes(newest)),
            () => `owners of ${bucket} do not all act within revision ${newest}`,
        );
        if (newest > former) {
            this.common.set(bucket, newest);
            for (const workspace of this.workspacesByBucket.get(bucket) ?? []) {
                const terms = this.revisions[newest - 1]?.[workspace] ?? { tokensPerSecond: 0, burstTokens: 0 };
                this.checker.setTerms(workspace, terms, this.agenda.now, 0);
                this.termsInForce.push({ at: this.agenda.now, workspace, terms });
            }
        }
    }

    /** Checks every window again, counting each charge at its grant with what it used in the end. */
    checkFinalUse(): void {
        const checker = new admission.WindowChecker();
        const steps = [
            ...this.termsInForce.map((entry) => ({
                at: entry.at,
                run: () => checker.setTerms(entry.workspace, entry.terms, entry.at, 0),
            })),
            ...[...this.grants.values()].map((spending) => ({ at: spending.at, run: () => checker.take(spending) })),
        ];
        steps.sort((left, right) => left.at - right.at).forEach((step) => step.run());
    }
}

function bucketOf(partition: string): string {
    return partition.slice(partition.lastIndexOf("-") + 1);
}
