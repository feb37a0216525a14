import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";

/** What a pool asks and tells about its upstreams. */
export interface PoolListener {
    readonly onIncarnationGone?: (incarnation: string) => void;
    readonly onListed?: (upstreams: readonly routing.Upstream[]) => void;
    /** Called for each upstream of a zone that is taken back, with the time at which sends to it begin. */
    readonly onReturn?: (upstream: routing.Upstream, at: decision.Milliseconds) => void;
    /** What the observations of all hosts on an incarnation amount to. */
    readonly beliefOf?: dispatch.ObservedUpstreams["beliefOf"];
    /** How long an incarnation takes in relation to others. */
    readonly ratioOf?: dispatch.SharedSpeeds["ratioOf"];
}

/** The upstreams in the directory, with the health of each incarnation as this host has observed it. */
export class UpstreamPool {
    private readonly health = new Map<string, dispatch.UpstreamHealth>();
    private readonly gates = new Map<string, dispatch.SendGate>();
    private directory: routing.Directory = routing.emptyDirectory;
    private byIncarnation: ReadonlyMap<string, routing.Upstream> = new Map();
    private evacuations: routing.Evacuations = routing.noEvacuations;
    private onUpdate: () => void = () => undefined;

    constructor(private readonly listener: PoolListener = {}) {}

    /** Sets what is called after each listing. */
    setUpdateListener(listener: () => void): void {
        this.onUpdate = listener;
    }

    /** Sets which availability zones are emptied. */
    setEvacuations(evacuations: routing.Evacuations, now: decision.Milliseconds): void {
        const former = this.evacuations;
        this.evacuations = evacuations;
        for (const { upstream } of this.directory.entries.values()) {
            const zone = upstream.availabilityZone;
            const endsAt = evacuations.zones.has(zone) ? evacuations.keptUntil.get(zone) : now;
            if (former.zones.has(zone) && endsAt !== undefined) {
                this.listener.onReturn?.(upstream, endsAt);
            }
        }
    }

    /** The availability zones to which nothing new is sent now. */
    emptiedZones(now: decision.Milliseconds): routing.EmptiedZone[] {
        return routing.emptiedZones(this.evacuations, now);
    }

    /** Whether some upstreams of a service accept work, and all of them are in emptied zones. */
    isEmptied(service: string, now: decision.Milliseconds): boolean {
        const accepting = routing.acceptingUpstreams(this.directory, service);
        return accepting.length > 0 && accepting.every((upstream) => this.isInEmptiedZone(upstream, now));
    }

    /** The software versions of the registered engines of each model service. */
    engineVersions(): ReadonlyMap<string, ReadonlySet<string>> {
        const versions = new Map<string, Set<string>>();
        for (const { upstream } of this.directory.entries.values()) {
            if (upstream.stage !== undefined) {
                const known = versions.get(upstream.service) ?? new Set();
                versions.set(upstream.service, known.add(upstream.softwareVersion));
            }
        }
        return versions;
    }

    /** Replaces the directory and forgets the incarnations that are no longer in it and have no sends in flight. */
    update(directory: routing.Directory): void {
        const former = this.directory;
        this.directory = directory;
        const listed = new Map<string, routing.Upstream>();
        this.listener.onListed?.([...directory.entries.values()].map(({ upstream }) => upstream));
        for (const { upstream } of directory.entries.values()) {
            const incarnation = routing.incarnationOf(upstream);
            listed.set(incarnation, upstream);
            // Registrations are counted anew by one that has started again and does not tell when.
            const before = former.entries.get(upstream.id)?.upstream.registrationNumber ?? -Infinity;
            if ((upstream.registrationNumber ?? Infinity) < before) {
                this.gates.delete(incarnation);
            }
        }
        this.byIncarnation = listed;
        for (const [incarnation, health] of this.health) {
            if (!listed.has(incarnation) && health.inFlight === 0) {
                this.health.delete(incarnation);
                this.listener.onIncarnationGone?.(incarnation);
            }
        }
        for (const incarnation of this.gates.keys()) {
            if (!listed.has(incarnation) && !this.health.has(incarnation)) {
                this.gates.delete(incarnation);
            }
        }
        this.onUpdate();
    }

    /** Time since the newest listing; infinite before the first. */
    listingAgeMs(now: decision.Milliseconds): decision.Milliseconds {
        return this.directory.listedAt === undefined ? Infinity : now - this.directory.listedAt;
    }

    /** The upstreams of a service that accept new work, and that this host may send to now. */
    candidates(service: string, now: decision.Milliseconds): dispatch.Candidate[] {
        return routing.acceptingUpstreams(this.directory, service)
            .filter((upstream) => this.exclusionOf(upstream, now) === undefined)
            .map((upstream) => ({ upstream, health: this.healthOf(upstream) }));
    }

    /**
     * Time until this host may send to an upstream of a service again, if some accept work and all of them are excluded;
     * infinite if all leave or are in emptied zones, undefined if one is not excluded or none accepts work.
     */
    returnsInMs(
        service: string,
        now: decision.Milliseconds,
        isEligible: (upstream: routing.Upstream) => boolean,
    ): decision.Milliseconds | undefined {
        const accepting = routing.acceptingUpstreams(this.directory, service).filter(isEligible);
        if (accepting.length === 0 || accepting.some((upstream) => this.exclusionOf(upstream, now) === undefined)) {
            return undefined;
        }
        return Math.min(
            ...accepting.map((upstream) =>
                this.isInEmptiedZone(upstream, now) ? Infinity : this.gateOf(upstream).returnsInMs(now)
            ),
        );
    }

    /** Whether this incarnation of an upstream still accepts new work, and this host may send to it now. */
    acceptsWork(upstream: routing.Upstream, now: decision.Milliseconds): boolean {
        const known = this.directory.entries.get(upstream.id)?.upstream;
        return known?.state === routing.UpstreamState.Ready && known.startedAt === upstream.startedAt
            && this.exclusionOf(upstream, now) === undefined;
    }

    /** What upstreams have said about sends to them. */
    gateOf(upstream: routing.Upstream): dispatch.SendGate {
        const incarnation = routing.incarnationOf(upstream);
        const known = this.gates.get(incarnation) ?? new dispatch.SendGate();
        this.gates.set(incarnation, known);
        return known;
    }

    /** Why this host sends nothing to an upstream now; undefined if it may. */
    exclusionOf(upstream: routing.Upstream, now: decision.Milliseconds): dispatch.Exclusion | undefined {
        return this.gates.get(routing.incarnationOf(upstream))?.exclusion(now)
            ?? (this.isInEmptiedZone(upstream, now) ? dispatch.Exclusion.Evacuated : undefined);
    }

    private isInEmptiedZone({ availabilityZone }: routing.Upstream, now: decision.Milliseconds): boolean {
        return this.evacuations.zones.size > 0 && routing.isEmptied(this.evacuations, availabilityZone, now);
    }

    /** Number of listed upstreams that are excluded for the reason. */
    countExcluded(reason: dispatch.Exclusion, now: decision.Milliseconds): number {
        return this.count((upstream) => this.exclusionOf(upstream, now) === reason);
    }

    /** Number of listed upstreams of which something holds. */
    count(holds: (upstream: routing.Upstream) => boolean): number {
        return [...this.directory.entries.values()].filter(({ upstream }) => holds(upstream)).length;
    }

    /** All listed upstreams. */
    list(): routing.Upstream[] {
        return [...this.byIncarnation.values()];
    }

    /** The listed upstream of an incarnation. */
    find(incarnation: string): routing.Upstream | undefined {
        return this.byIncarnation.get(incarnation);
    }

    /** Whether any upstream of any service accepts new work. */
    get hasAcceptingUpstreams(): boolean {
        return [...this.directory.entries.values()].some(({ upstream }) =>
            upstream.state === routing.UpstreamState.Ready
        );
    }

    /** Health of an upstream. */
    healthOf(upstream: routing.Upstream): dispatch.UpstreamHealth {
        const incarnation = routing.incarnationOf(upstream);
        const known = this.health.get(incarnation)
            ?? new dispatch.UpstreamHealth(
                (now) => this.listener.beliefOf?.(incarnation, now) ?? dispatch.Belief.Sound,
                (now) => this.listener.ratioOf?.(incarnation, now),
            );
        this.health.set(incarnation, known);
        return known;
    }
}
