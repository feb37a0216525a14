import type * as decision from "@citronlead/decision";

/** What a host has seen of an upstream incarnation by a call of its own. */
export enum ObservedState {
    /** Nothing accepts connections at its address. */
    Refused = "refused",
    /** Another incarnation or another upstream answers at its address. */
    Replaced = "replaced",
    /** It closed a connection on which an answer was due. */
    Broken = "broken",
    /** No answer came in the time in which upstreams answer whatever their load. */
    Silent = "silent",
    /** It answered a call. */
    Responded = "responded",
}

/** One observation, by the host that made it. */
export interface Observation {
    /** Tells the observations of one host apart. */
    readonly id: number;
    readonly incarnation: string;
    readonly state: ObservedState;
    /** Address of the host that made it. */
    readonly observer: string;
    /** When it was made, on this host's clock; for `Responded`, when the call was sent. */
    readonly observedAt: decision.Milliseconds;
}

/** What all observations of an upstream amount to. */
export enum Belief {
    Sound = "sound",
    /** One host, or a kind of failure that also sound upstreams show: others are preferred for a moment. */
    Suspected = "suspected",
    /** Several hosts agree: nothing is sent but probes. */
    Down = "down",
}

/** Weight of an observation; those of different hosts are added up. */
const WEIGHTS: Readonly<Record<ObservedState, number>> = {
    [ObservedState.Refused]: 3,
    [ObservedState.Replaced]: 3,
    // Also seen at sound upstreams whose connections are cut, and by hosts that are cut off or stood still.
    [ObservedState.Silent]: 2,
    [ObservedState.Broken]: 1,
    [ObservedState.Responded]: 0,
};
/** Weight from which an upstream is down: two hosts that were refused, or three to which it is silent. */
const DOWN_WEIGHT = 6;
/** How long a report counts. */
const REPORT_TTL_MS = 4_000;
/** How long a suspicion lasts that no other host shares: probes tell much earlier. */
const SUSPICION_MS = 1_000;
/** Oldest observation that is taken in. */
const MAX_AGE_MS = 2_000;
/** Observers of an incarnation whose reports are passed on; more would tell nothing new. */
const MAX_PASSED_OBSERVERS = 4;
/** Upstreams that one host may report alone within `SUSPICION_MS` before it is itself in doubt. */
const MAX_LONE_REPORTS = 3;
/** A report that an answer refutes within this time was wrong, or of a failure that passed at once. */
const REFUTED_WITHIN_MS = 300;
/** How long a host that was refuted about an upstream is not believed alone about the same one. */
const REFUTED_MS = 10_000;
/** Upstreams of which something is remembered: several times those of the largest fleet. */
const MAX_INCARNATIONS = 4_000;

interface Report {
    readonly state: ObservedState;
    readonly at: decision.Milliseconds;
    /** When the host began to report the upstream. */
    readonly since: decision.Milliseconds;
}

interface Known {
    /** Newest bad report of each host. */
    readonly reports: Map<string, Report>;
    /** When hosts were last refuted about it. */
    readonly refutedAt: Map<string, decision.Milliseconds>;
    /** When the upstream was last known to answer. */
    contactAt: decision.Milliseconds;
}

/** What became of an observation. */
export interface ObservationEffect {
    /** Whether other hosts are to be told. */
    readonly pass: boolean;
    readonly before: Belief;
    readonly after: Belief;
}

/**
 * One view of which upstreams are down, from this host's own calls and the words of others. Answers a load in which a quarter of
 * the upstreams go down at once under hundreds of hosts, beside hosts that are cut off, frozen or wrong about sound upstreams: it takes
 * two hosts to call an upstream down, one answer that was asked for later clears it, and a host that alone reports several upstreams is itself in
 * doubt.
 */
export class ObservedUpstreams {
    private readonly known = new Map<string, Known>();
    /** Number of upstreams that a host reports and no other host does. */
    private loneReports = new Map<string, number>();

    constructor(private readonly self: string) {}

    /** Takes in an observation of this host or another one. */
    record(observation: Observation, now: decision.Milliseconds): ObservationEffect {
        const { incarnation, observer, state, observedAt } = observation;
        const before = this.beliefOf(incarnation, now);
        const nothing = { pass: false, before, after: before };
        const isOwn = observer === this.self;
        if (now - observedAt > MAX_AGE_MS && !isOwn) {
            return nothing;
        }
        if (state === ObservedState.Responded) {
            return this.recordContact(incarnation, isOwn, observedAt, before, now);
        }
        const known = this.knownOf(incarnation);
        const former = known.reports.get(observer);
        if (observedAt <= known.contactAt || (former && former.at >= observedAt)) {
            return nothing;
        }
        const goesOn = former !== undefined && observedAt - former.at < SUSPICION_MS;
        known.reports.set(observer, { state, at: observedAt, since: goesOn ? former.since : observedAt });
        this.countLoneReports(now);
        const isNews = !former || now - former.at > SUSPICION_MS || WEIGHTS[former.state] < WEIGHTS[state];
        const live = [...known.reports.values()].filter((report) => now - report.at < REPORT_TTL_MS).length;
        const after = this.beliefOf(incarnation, now);
        return { pass: isNews && (after !== before || live <= MAX_PASSED_OBSERVERS), before, after };
    }

    /** What this host makes of an upstream now. */
    beliefOf(incarnation: string, now: decision.Milliseconds): Belief {
        const known = this.known.get(incarnation);
        if (!known || known.reports.size === 0) {
            return Belief.Sound;
        }
        let weight = 0;
        let newest = -Infinity;
        let believable = false;
        for (const [observer, { state, at }] of known.reports) {
            if (at > known.contactAt && now - at < REPORT_TTL_MS && !this.isDoubted(observer)) {
                weight += WEIGHTS[state];
                newest = Math.max(newest, at);
                believable ||= observer === this.self
                    || now - (known.refutedAt.get(observer) ?? -Infinity) > REFUTED_MS;
            }
        }
        if (weight >= DOWN_WEIGHT) {
            return Belief.Down;
        }
        return believable && now - newest < SUSPICION_MS ? Belief.Suspected : Belief.Sound;
    }

    /** Whether a host's reports count for nothing, as it reports several upstreams that no other host finds at fault. */
    isDoubted(observer: string): boolean {
        return observer !== this.self && (this.loneReports.get(observer) ?? 0) > MAX_LONE_REPORTS;
    }

    /** Time since the newest report on an upstream; infinite if there is none. */
    reportAgeMs(incarnation: string, now: decision.Milliseconds): decision.Milliseconds {
        const reports = [...this.known.get(incarnation)?.reports.values() ?? []];
        return now - Math.max(-Infinity, ...reports.map(({ at }) => at));
    }

    /** Forgets an upstream that is gone. */
    forget(incarnation: string): void {
        this.known.delete(incarnation);
    }

    private recordContact(
        incarnation: string,
        isOwn: boolean,
        at: decision.Milliseconds,
        before: Belief,
        now: decision.Milliseconds,
    ): ObservationEffect {
        const known = this.knownOf(incarnation);
        const isNews = at > known.contactAt;
        known.contactAt = Math.max(known.contactAt, at);
        let refuted = false;
        for (const [observer, report] of known.reports) {
            if (report.since <= at && at - report.since < REFUTED_WITHIN_MS) {
                known.refutedAt.set(observer, at);
            }
            if (report.at <= at) {
                known.reports.delete(observer);
                refuted ||= report.state !== ObservedState.Broken && now - report.at < REPORT_TTL_MS;
            }
        }
        // What this host found out itself is told although it counts for nothing any more here: others may believe it still.
        return { pass: refuted && (isOwn || isNews), before, after: this.beliefOf(incarnation, now) };
    }

    private countLoneReports(now: decision.Milliseconds): void {
        const counts = new Map<string, number>();
        for (const { reports, contactAt } of this.known.values()) {
            const live = [...reports].filter(([, { at }]) => at > contactAt && now - at < SUSPICION_MS);
            const [first] = live;
            if (first && live.length === 1) {
                counts.set(first[0], (counts.get(first[0]) ?? 0) + 1);
            }
        }
        this.loneReports = counts;
    }

    private knownOf(incarnation: string): Known {
        const known = this.known.get(incarnation) ?? {
            reports: new Map<string, Report>(),
            refutedAt: new Map<string, decision.Milliseconds>(),
            contactAt: -Infinity,
        };
        this.known.set(incarnation, known);
        if (this.known.size > MAX_INCARNATIONS) {
            this.known.delete(this.known.keys().next().value as string);
        }
        return known;
    }
}
