import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import type * as logs from "./log.js";
import type * as metrics from "./metrics.js";
import * as agents from "./upstream/agent.js";
import * as calls from "./upstream/call.js";
import type * as pools from "./upstream/pool.js";

/** Hosts to which news is sent, which send it on: enough that each of hundreds of hosts is reached with near certainty. */
const FAN_OUT = 6;
/** Time in which news is collected before it is sent on. */
const BATCH_MS = 6;
/** Observations in a datagram, so that it fits in an Ethernet frame. */
const MAX_BATCH = 10;
/** Observations that wait to be sent; beyond it the oldest are dropped, as others tell the same. */
const MAX_PENDING = 200;
/** Bound on the batches that a host sends, each to `FAN_OUT` hosts. */
const SEND_RATE: decision.TokenRate = { burst: 40, perSecond: 5 };
/** Observations of other hosts that are remembered, so that none goes round. */
const MAX_SEEN = 5_000;
/** Time between hosts that the age of an observation does not show. */
const HOP_MS = 1;
/** Hosts that probe an upstream at first, and after each further `PROBE_DELAY_MS` without news. */
const PROBERS = 2;
const PROBE_DELAY_MS = 150;
/** Hosts that probe an upstream at all. */
const MAX_PROBERS = 6;
/** Pauses between the probes of an upstream that does not answer. */
const PROBE_PAUSES_MS = [300, 700, 1_500];

/** An observation as hosts tell it to each other. */
export interface ToldObservation {
    /** Tells the observations of one host apart: each is taken in once, however often and late it comes. */
    readonly id: number;
    readonly incarnation: string;
    readonly state: dispatch.ObservedState;
    readonly observer: string;
    /** Time since it was made. */
    readonly ageMs: decision.Milliseconds;
}

export interface UpstreamObservationsOptions {
    readonly scope: lifecycle.Scope;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    readonly view: dispatch.ObservedUpstreams;
    readonly pool: pools.UpstreamPool;
    readonly self: string;
    /** Addresses of all hosts. */
    readonly hosts: () => readonly string[];
    /** Draws a number in [0, 1). */
    readonly random: () => number;
    /** Whether what this host reads and times now may be old, because it stood still. */
    readonly readsBacklog: () => boolean;
    /** Whether this host reaches upstreams of a service; otherwise its failures say nothing of them. */
    readonly reaches: (service: string) => boolean;
    readonly send: (observations: readonly ToldObservation[], hosts: readonly string[]) => void;
    /** Calls an upstream, whose answer is observed like that of any other call. */
    readonly probe: (upstream: routing.Upstream) => Promise<void>;
}

/** Tells other hosts which upstreams this one finds down or back, and hears it from them. */
export class UpstreamObservations {
    private readonly pending: dispatch.Observation[] = [];
    private sendsAt: decision.Milliseconds = -Infinity;
    private scheduled = false;
    private readonly probed = new Set<string>();
    private readonly seen = new Map<string, true>();
    private readonly sends: decision.TokenBucket;
    /** Later than those of a former process at this address. */
    private lastId = Date.now();

    constructor(private readonly options: UpstreamObservationsOptions) {
        this.sends = new decision.TokenBucket(SEND_RATE, options.clock());
    }

    /** Records how a call that was sent at `sentAt` ended, up to the headers of the response. */
    record(
        upstream: routing.Upstream,
        outcome: calls.CallOutcome,
        isReplaced: boolean,
        sentAt: decision.Milliseconds,
    ): void {
        if (outcome.progress === calls.CallProgress.Responded) {
            this.recordOwn(
                upstream,
                isReplaced ? dispatch.ObservedState.Replaced : dispatch.ObservedState.Responded,
                sentAt,
            );
        }
        else if (outcome.failure === calls.CallFailure.Broken) {
            this.recordOwn(upstream, stateOfBroken(outcome.progress, outcome.reason));
        }
    }

    /** Records that an upstream broke off an answer. */
    recordBroken(upstream: routing.Upstream): void {
        this.recordOwn(upstream, dispatch.ObservedState.Broken);
    }

    /** Records that an upstream is silent for longer than its load explains. */
    recordSilent(upstream: routing.Upstream): void {
        this.recordOwn(upstream, dispatch.ObservedState.Silent);
    }

    /** Handles what another host tells. */
    receive(told: readonly ToldObservation[]): void {
        const { clock, hosts, readsBacklog, self } = this.options;
        if (readsBacklog()) {
            return;
        }
        const known = new Set(hosts());
        for (const { id, incarnation, state, observer, ageMs } of told) {
            const upstream = this.options.pool.find(incarnation);
            const name = `${observer} ${id}`;
            if (this.seen.has(name)) {
                continue;
            }
            dispatch.setNewest(this.seen, name, true, MAX_SEEN);
            // A host that is not registered may have left, or be cut off for long.
            if (upstream && observer !== self && known.has(observer)) {
                this.take({ id, incarnation, state, observer, observedAt: clock() - ageMs }, upstream);
            }
        }
    }

    private recordOwn(
        upstream: routing.Upstream,
        state: dispatch.ObservedState,
        observedAt = this.options.clock(),
    ): void {
        const { reaches, readsBacklog, self } = this.options;
        const isContact = state === dispatch.ObservedState.Responded;
        if (!isContact && (readsBacklog() || !reaches(upstream.service))) {
            return;
        }
        const incarnation = routing.incarnationOf(upstream);
        this.take({ id: ++this.lastId, incarnation, state, observer: self, observedAt }, upstream);
    }

    private take(observation: dispatch.Observation, upstream: routing.Upstream): void {
        const { clock, log, metrics, pool, self, view } = this.options;
        const { incarnation, observer, state, observedAt } = observation;
        const { pass, before, after } = view.record(observation, clock());
        const source = observer === self ? "own" : "told";
        if (pass) {
            metrics.observations.inc({ state, source });
            if (state !== dispatch.ObservedState.Broken) {
                this.tell(observation);
            }
            else if (source === "own") {
                this.tellProbers(observation);
            }
        }
        if (before !== after && (before === dispatch.Belief.Down || after === dispatch.Belief.Down)) {
            log.decision("upstream believed", {
                upstream: upstream.id,
                service: upstream.service,
                incarnation,
                belief: after,
                state,
                observer: source === "own" ? undefined : observer,
                ageMs: Math.round(clock() - observedAt),
            });
        }
        if (state === dispatch.ObservedState.Responded) {
            if (source === "told" && pass) {
                pool.healthOf(upstream).endSuspension();
            }
        }
        else if (pass) {
            this.probeIfDue(upstream, observer);
        }
    }

    /** Connections break at sound upstreams too, so that those that probe are told, and tell the others what they find. */
    private tellProbers(observation: dispatch.Observation): void {
        const { clock, hosts, self, send } = this.options;
        if (this.sends.tryTake(clock())) {
            const others = hosts().filter((host) => host !== self);
            send([this.toTold(observation)], dispatch.firstOf(others, observation.incarnation, PROBERS));
        }
    }

    private toTold({ observedAt, ...observation }: dispatch.Observation): ToldObservation {
        return { ...observation, ageMs: Math.max(0, Math.ceil(this.options.clock() - observedAt)) + HOP_MS };
    }

    private tell(observation: dispatch.Observation): void {
        this.pending.push(observation);
        if (this.pending.length > MAX_PENDING) {
            this.pending.shift();
        }
        if (!this.scheduled) {
            this.scheduled = true;
            const { clock, scope } = this.options;
            lifecycle.after(scope, Math.max(0, this.sendsAt + BATCH_MS - clock()), () => this.send());
        }
    }

    private send(): void {
        const { clock, hosts, random, self, send } = this.options;
        this.scheduled = false;
        this.sendsAt = clock();
        const others = hosts().filter((host) => host !== self);
        const batch = this.pending.splice(0, MAX_BATCH).map((observation) => this.toTold(observation));
        if (batch.length > 0 && this.sends.tryTake(clock())) {
            send(batch, dispatch.drawSome(others, FAN_OUT, random));
        }
        const [next] = this.pending.splice(0, 1);
        if (next) {
            this.tell(next);
        }
    }

    /** Probes an upstream that is said to be down, if this host is among the few that do, until its state is clear. */
    private probeIfDue(upstream: routing.Upstream, observer: string): void {
        const { hosts, scope, self } = this.options;
        const incarnation = routing.incarnationOf(upstream);
        if (this.probed.has(incarnation)) {
            return;
        }
        // The host that saw it says nothing new by a probe, but stands in if the others say nothing.
        const others = hosts().filter((host) => host !== observer);
        const rank = observer === self ? PROBERS : dispatch.rankOf(others, incarnation, self);
        if (rank < MAX_PROBERS) {
            this.probed.add(incarnation);
            lifecycle.after(scope, Math.floor(rank / PROBERS) * PROBE_DELAY_MS, () => void this.probe(upstream, rank));
        }
    }

    private async probe(upstream: routing.Upstream, rank: number): Promise<void> {
        const { clock, pool, probe, scope, view } = this.options;
        const incarnation = routing.incarnationOf(upstream);
        const isOpen = () =>
            !scope.closed && pool.find(incarnation) !== undefined && pool.exclusionOf(upstream, clock()) === undefined
            && view.beliefOf(incarnation, clock()) !== dispatch.Belief.Sound;
        // Those that come later stand in for the first ones, which have told by now that it is down.
        const isCovered = () => rank >= PROBERS && view.beliefOf(incarnation, clock()) === dispatch.Belief.Down;
        for (let count = 0; isOpen() && !isCovered(); count++) {
            await probe(upstream);
            const pauseMs = PROBE_PAUSES_MS[Math.min(count, PROBE_PAUSES_MS.length - 1)] as number;
            await lifecycle.pause(scope, pauseMs * (0.8 + 0.4 * this.options.random()));
        }
        this.probed.delete(incarnation);
    }
}

function stateOfBroken(progress: calls.CallProgress, reason: string): dispatch.ObservedState {
    if (progress === calls.CallProgress.NoResponse) {
        return dispatch.ObservedState.Broken;
    }
    return reason === agents.CONNECT_TIMEOUT_REASON ? dispatch.ObservedState.Silent : dispatch.ObservedState.Refused;
}
