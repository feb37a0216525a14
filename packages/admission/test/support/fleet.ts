import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as admission from "../../src/index.js";
import * as sharded from "../../src/shardedmap.js";
import * as hosts from "./host.js";
import * as schedulers from "./scheduler.js";

/** The size of a fleet, its workspaces, and the faults of its network. */
export interface FleetOptions {
    readonly hostCount: number;
    readonly zoneCount: number;
    readonly workspaces: Readonly<Record<string, admission.RateLimit>>;
    readonly lossProbability: number;
    readonly duplicateProbability: number;
    readonly lateProbability: number;
    /** The longest time until a host learns of an accepted configuration. */
    readonly configurationDelayMs: number;
}

/** How one request ended. */
export interface Result {
    readonly requestId: string;
    readonly granted: boolean;
    readonly delayMs: number;
}

interface SentRequest {
    readonly at: number;
    readonly host: hosts.Host;
    readonly tokens: number;
}

interface Ownership {
    host: hosts.Host;
    fencing: number;
    nextOwner: hosts.Host | undefined;
}

const LEASE_MS = 3_000;
const RENEW_PERIOD_MS = 800;
const MEAN_DELAY_MS = 1;
const MAX_LATE_DELAY_MS = 4_000;
const MAX_CLOCK_DRIFT = 0.01;

/** A fleet of admission modules in one process, with a simulated network, key-value service and membership. */
export class Fleet {
    readonly scheduler = new schedulers.SimulatedScheduler();
    readonly random: decision.Random;
    readonly hosts = new Map<string, hosts.Host>();
    readonly checker = new admission.RateLimitChecker();
    /** All grants less their refunds, for the check of the final use. */
    readonly grants = new Map<string, admission.GrantChange>();
    readonly rateLimitChanges: {
        readonly at: number;
        readonly workspace: string;
        readonly rateLimit: admission.RateLimit;
    }[] = [];
    keyValueServiceUp = true;
    messageCount = 0;
    eventCount = 0;
    onResult: (result: Result) => void = () => undefined;
    private readonly ownerships = new Map<string, Ownership>();
    private readonly revisions: Readonly<Record<string, admission.RateLimit>>[] = [];
    private readonly commonRevisions = new Map<string, number>();
    private readonly requests = new Map<string, SentRequest>();
    private readonly workspacesByHashBucket = new Map<string, string[]>();
    private addedHostCount = 0;

    constructor(seed: number, readonly options: FleetOptions) {
        this.random = decision.seeded(seed);
        this.revisions.push(options.workspaces);
        Object.keys(options.workspaces).forEach((workspace) => {
            const hashBucket = hashBucketOf(membership.slicePartition(workspace, 0));
            this.workspacesByHashBucket.set(hashBucket, [
                ...this.workspacesByHashBucket.get(hashBucket) ?? [],
                workspace,
            ]);
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
        return [...this.workspacesByHashBucket.keys()].flatMap((hashBucket) =>
            Array.from({ length: membership.SLICE_COUNT }, (_, slice) => `slice-${slice}-${hashBucket}`)
        );
    }

    get newestRevision(): number {
        return this.revisions.length;
    }

    aliveHosts(): hosts.Host[] {
        return [...this.hosts.values()].filter((host) => host.alive);
    }

    addHost(availabilityZone: string): hosts.Host {
        const rate = 1 + (this.random.fraction() * 2 - 1) * MAX_CLOCK_DRIFT;
        const host = new hosts.Host(
            `host-${this.addedHostCount++}`,
            availabilityZone,
            this.scheduler,
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

    /** Renews a host's rights at the key-value service, or at its successor while the service is down. */
    private renew(host: hosts.Host): void {
        host.run(() => {
            const couldBeTaken = this.keyValueServiceUp && this.scheduler.now > host.trueRightEnd + LEASE_MS;
            if (!couldBeTaken || host.rightUntil === -Infinity) {
                host.rightUntil = Math.max(host.rightUntil, host.clock + LEASE_MS * (1 - 2 * MAX_CLOCK_DRIFT));
                host.trueRightEnd = this.scheduler.now + LEASE_MS;
            }
            this.scheduler.after(RENEW_PERIOD_MS, () => this.renew(host));
        });
    }

    private assign(partition: string, host: hosts.Host, fencing: number): void {
        this.ownerships.set(partition, { host, fencing, nextOwner: undefined });
        this.scheduler.after(this.random.fraction() * 50, () =>
            host.run(() => {
                // A host that was paused during a takeover learns of the newer owner when it renews its rights.
                if (this.ownerships.get(partition)?.fencing === fencing) {
                    host.fencingByPartition.set(partition, fencing);
                    this.startTerm(partition, host, fencing);
                }
            }));
    }

    private startTerm(partition: string, host: hosts.Host, fencing: number): void {
        const right = host.rightFor(partition);
        if (host.fencingByPartition.get(partition) !== fencing) {
            return;
        }
        if (!this.keyValueServiceUp || !right) {
            this.scheduler.after(500, () => host.run(() => this.startTerm(partition, host, fencing)));
            return;
        }
        const floorRevision = this.newestRevision;
        host.feed({ kind: admission.EventKind.OwnershipGained, partition, right, floorRevision });
    }

    /** Takes over the partitions of hosts whose rights have expired for certain, if the service is up. */
    takeOver(): void {
        if (!this.keyValueServiceUp) {
            return;
        }
        for (const [partition, ownership] of this.ownerships) {
            if (this.scheduler.now > ownership.host.trueRightEnd) {
                ownership.host.fencingByPartition.delete(partition);
                this.assign(partition, this.random.pick(this.possibleOwners()), ownership.fencing + 1);
            }
        }
    }

    private possibleOwners(): hosts.Host[] {
        return this.aliveHosts().filter((host) => !host.paused && this.scheduler.now < host.trueRightEnd);
    }

    /** Starts a planned hand-over of a partition. */
    handOver(partition: string, next: hosts.Host): void {
        const ownership = this.ownerships.get(partition);
        if (!ownership || ownership.nextOwner || ownership.host === next || !ownership.host.alive) {
            return;
        }
        const { host, fencing } = ownership;
        ownership.nextOwner = next;
        host.run(() => {
            if (host.fencingByPartition.get(partition) === fencing) {
                host.fencingByPartition.delete(partition);
                host.feed({ kind: admission.EventKind.HandOver, partition, nextHost: next.name });
            }
        });
    }

    private finishHandOver(partition: string, host: hosts.Host): void {
        const ownership = this.ownerships.get(partition);
        if (!ownership || ownership.host !== host || !ownership.nextOwner) {
            return;
        }
        if (!this.keyValueServiceUp) {
            this.scheduler.after(1_000, () => this.finishHandOver(partition, host));
            return;
        }
        const next = ownership.nextOwner.alive ? ownership.nextOwner : this.random.pick(this.possibleOwners());
        this.scheduler.after(5, () => {
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

    /** Accepts a configuration. Each host learns of it after a random delay, possibly only after a newer one. */
    configure(next: Readonly<Record<string, admission.RateLimit>>): void {
        if (!this.keyValueServiceUp) {
            return;
        }
        this.revisions.push(next);
        const revision = this.newestRevision;
        for (const host of this.aliveHosts()) {
            const delay = this.random.fraction() * this.options.configurationDelayMs;
            this.scheduler.after(delay, () => host.run(() => host.feed(this.configurationEvent(revision))));
        }
    }

    private configurationEvent(revision: number): admission.Configuration {
        const kind = admission.EventKind.Configuration;
        return { kind, revision, workspaces: this.revisions[revision - 1] ?? {} };
    }

    /** Ends a granted request at its host. It has used the given fraction of the charged tokens. */
    settle(requestId: string, usedFraction: number): void {
        const request = this.requests.get(requestId);
        if (request) {
            const usedTokens = request.tokens * usedFraction;
            request.host.run(() => request.host.feed({ kind: admission.EventKind.Settle, requestId, usedTokens }));
        }
    }

    request(host: hosts.Host, requestId: string, workspace: string, tokens: number, patienceMs: number): void {
        this.requests.set(requestId, { at: this.scheduler.now, host, tokens });
        const proximityOf = (slice: number) => {
            const owner = this.ownerOf(membership.slicePartition(workspace, slice));
            const { SameHost, SameAvailabilityZone, Elsewhere } = admission.Proximity;
            return owner === host
                ? SameHost
                : owner?.availabilityZone === host.availabilityZone
                ? SameAvailabilityZone
                : Elsewhere;
        };
        host.run(() =>
            host.feed({
                kind: admission.EventKind.AdmissionRequest,
                requestId,
                workspace,
                tokens,
                deadline: host.clock + patienceMs,
                order: admission.orderSlices(requestId, proximityOf),
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
                const delayMs = this.scheduler.now - (this.requests.get(requestId)?.at ?? this.scheduler.now);
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
        const copies = this.random.chance(this.options.duplicateProbability) ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (target && !this.random.chance(this.options.lossProbability)) {
                const late = this.random.chance(this.options.lateProbability);
                const delay = this.random.exponential(MEAN_DELAY_MS)
                    + (late ? this.random.fraction() * MAX_LATE_DELAY_MS : 0);
                this.scheduler.after(delay, () => target.run(() => target.deliver(from.name, message)));
            }
        }
    }

    /** Checks that an owner's grant or refund was allowed, and applies it to the rate limit checker. */
    private check(host: hosts.Host, action: admission.RecordTokens): void {
        const { workspace, chargeId, record, partition, fencing } = action;
        decision.invariant(
            this.scheduler.now < host.trueRightEnd && this.ownerships.get(partition)?.fencing === fencing,
            () => `${host.name} acts for ${partition} without a valid right at ${this.scheduler.now}`,
        );
        const at = this.scheduler.now;
        const key = `${partition}/${fencing}/${chargeId}`;
        if (record === admission.RecordKind.Grant) {
            decision.invariant(!this.grants.has(key), () => `${key} was granted twice in one term`);
            const change = { workspace, at, chargeId, tokens: action.tokens };
            this.grants.set(key, change);
            this.checker.apply(change);
        }
        else if (record === admission.RecordKind.Refund) {
            const known = this.grants.get(key);
            decision.invariant(
                known !== undefined && known.tokens >= action.tokens,
                () => `${key} was refunded more than it was granted`,
            );
            this.grants.set(key, { ...known, tokens: known.tokens - action.tokens });
            this.checker.apply({ workspace, at, chargeId, tokens: -action.creditedTokens });
        }
    }

    /** Updates the revision that all owners of a workspace's slices keep within. */
    private observe(host: hosts.Host, event: admission.Event): void {
        this.eventCount++;
        if (event.kind === admission.EventKind.Configuration) {
            sharded.values(host.state.current.owner.partitions).forEach(({ partition }) =>
                this.trackCommonRevision(partition)
            );
        }
        else if (event.kind === admission.EventKind.OwnershipGained) {
            this.trackCommonRevision(event.partition);
        }
        else if (event.kind === admission.EventKind.Message) {
            this.trackCommonRevision(admission.partitionOf(event.message) ?? "");
        }
    }

    private trackCommonRevision(partition: string): void {
        const hashBucket = hashBucketOf(partition);
        const revisionLists = Array.from(
            { length: membership.SLICE_COUNT },
            (_, slice) => `slice-${slice}-${hashBucket}`,
        )
            .map((sibling) => ({ sibling, ownership: this.ownerships.get(sibling) }))
            .map(({ sibling, ownership }) =>
                ownership && sharded.find(ownership.host.state.current.owner.partitions, sibling)
            )
            .filter((state) => state?.active && state.fencing === this.ownerships.get(state.partition)?.fencing)
            .map((state) => state!.revisions);
        if (revisionLists.length === 0) {
            return;
        }
        // An owner drops an older revision only once all owners keep within the newer one.
        const previous = this.commonRevisions.get(hashBucket) ?? 0;
        const newest = Math.max(previous, ...revisionLists.map((revisions) => revisions[0] ?? 0));
        decision.invariant(
            revisionLists.every((revisions) => revisions.includes(newest)),
            () => `owners of ${hashBucket} do not all keep within revision ${newest}`,
        );
        if (newest > previous) {
            this.commonRevisions.set(hashBucket, newest);
            for (const workspace of this.workspacesByHashBucket.get(hashBucket) ?? []) {
                const rateLimit = this.revisions[newest - 1]?.[workspace] ?? { tokensPerSecond: 0, burstTokens: 0 };
                this.checker.setRateLimit(workspace, rateLimit, this.scheduler.now, 0);
                this.rateLimitChanges.push({ at: this.scheduler.now, workspace, rateLimit });
            }
        }
    }

    /** Checks the rate limits again, counting for each charge at the time of its grant only what it used in the end. */
    checkFinalUse(): void {
        const checker = new admission.RateLimitChecker();
        const steps = [
            ...this.rateLimitChanges.map((entry) => ({
                at: entry.at,
                run: () => checker.setRateLimit(entry.workspace, entry.rateLimit, entry.at, 0),
            })),
            ...[...this.grants.values()].map((grant) => ({ at: grant.at, run: () => checker.apply(grant) })),
        ];
        steps.sort((left, right) => left.at - right.at).forEach((step) => step.run());
    }
}

function hashBucketOf(partition: string): string {
    return partition.slice(partition.lastIndexOf("-") + 1);
}
