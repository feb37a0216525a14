import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as logs from "./log.js";

/** What is configured for upstreams that warm up. */
export interface WarmUpSettings {
    /** How the upstreams of a service warm up; undefined if they bear their usual rate at once. */
    readonly limitsOf: (service: string) => routing.WarmUpLimits | undefined;
    readonly tolerance: () => dispatch.WarmUpTolerance;
}

/** By how much a second may exceed the rate if no tolerance is configured. */
export const NO_TOLERANCE: dispatch.WarmUpTolerance = { factor: 1, slack: 0 };
/** Settings until they are known: no upstream warms up. */
const NO_SETTINGS: WarmUpSettings = { limitsOf: () => undefined, tolerance: () => NO_TOLERANCE };

/** Tells all hosts how long an upstream goes on to warm up. */
export type WarmUpChannel = (incarnation: string, leftMs: decision.Milliseconds) => void;

/** Knows which upstreams warm up and what they bear meanwhile, together with the other hosts. */
export class UpstreamWarmUps {
    private readonly warmUps = new dispatch.WarmUps();
    private settings = NO_SETTINGS;
    private broadcast: WarmUpChannel = () => undefined;
    /** End of the warm-up that was logged last, by incarnation. */
    private readonly loggedUntil = new Map<string, decision.Milliseconds>();

    constructor(
        private readonly clock: decision.Clock,
        private readonly log: logs.DecisionLog,
        private readonly wallClock: decision.Clock = Date.now,
    ) {}

    /** Sets what is configured; until then no upstream warms up. */
    setSettings(settings: WarmUpSettings): void {
        this.settings = settings;
    }

    /** Sets how other hosts are told. */
    setChannel(broadcast: WarmUpChannel): void {
        this.broadcast = broadcast;
    }

    /** Takes in a listing of upstreams. */
    recordListing(upstreams: Iterable<routing.Upstream>): void {
        for (const upstream of upstreams) {
            const incarnation = routing.incarnationOf(upstream);
            this.warmUps.recordListed(incarnation, upstream, this.wallClock(), this.clock());
            this.logBelief(upstream);
        }
    }

    /** Takes in how long an answer says that its upstream goes on to warm up; undefined if it does not say. */
    observe(upstream: routing.Upstream, leftMs: decision.Milliseconds | undefined): void {
        if (leftMs === undefined) {
            return;
        }
        const incarnation = routing.incarnationOf(upstream);
        if (this.warmUps.recordNamed(incarnation, leftMs, dispatch.WarmUpSource.Answer, this.clock())) {
            this.broadcast(incarnation, leftMs);
            this.logBelief(upstream);
        }
    }

    /** Handles what another host has read in an answer. */
    receive(incarnation: string, leftMs: decision.Milliseconds): void {
        if (this.warmUps.recordNamed(incarnation, leftMs, dispatch.WarmUpSource.OtherHost, this.clock())) {
            this.log.decision("upstream warms up", {
                incarnation,
                source: dispatch.WarmUpSource.OtherHost,
                leftMs: Math.round(leftMs),
                until: new Date(this.wallClock() + leftMs).toISOString(),
            });
        }
    }

    /** Records that nothing is sent to an upstream up to a time, by which it may have turned cold. */
    recordReturn(upstream: routing.Upstream, at: decision.Milliseconds): void {
        this.warmUps.recordReturn(routing.incarnationOf(upstream), at);
        this.logBelief(upstream);
    }

    /** Forgets an upstream that is gone. */
    forget(incarnation: string): void {
        this.warmUps.forget(incarnation);
        this.loggedUntil.delete(incarnation);
    }

    /** Time until an upstream has warmed up; 0 if it has. */
    leftMs(upstream: routing.Upstream): decision.Milliseconds {
        const end = this.endOf(upstream);
        return end ? end.until - this.clock() : 0;
    }

    /** What all hosts together may send to an upstream now; undefined if it does not warm up. */
    limitOf(upstream: routing.Upstream): dispatch.WarmUpLimit | undefined {
        const limits = this.settings.limitsOf(upstream.service);
        return limits && this.endOf(upstream)
            ? dispatch.warmUpLimit(limits.requestsPerSecond, this.settings.tolerance())
            : undefined;
    }

    private endOf(upstream: routing.Upstream): dispatch.WarmUpEnd | undefined {
        const limits = this.settings.limitsOf(upstream.service);
        return limits && this.warmUps.endOf(routing.incarnationOf(upstream), limits.durationMs, this.clock());
    }

    private logBelief(upstream: routing.Upstream): void {
        const end = this.endOf(upstream);
        const incarnation = routing.incarnationOf(upstream);
        if (!end || end.until === this.loggedUntil.get(incarnation)) {
            return;
        }
        this.loggedUntil.set(incarnation, end.until);
        const leftMs = end.until - this.clock();
        this.log.decision("upstream warms up", {
            upstream: upstream.id,
            service: upstream.service,
            incarnation,
            source: end.source,
            leftMs: Math.round(leftMs),
            until: new Date(this.wallClock() + leftMs).toISOString(),
            ...this.limitOf(upstream),
        });
    }
}
