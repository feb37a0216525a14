import type * as decision from "@citronlead/decision";

/** What of an engine's work is timed. */
export enum SpeedKind {
    /** Time for a prompt token, with the queue before it. */
    Prefill = "prefill",
    /** Time from event to event of a stream. */
    Step = "step",
}

/** Samples of one engine that a host has taken, to be told to others. */
export interface SpeedSamples {
    readonly incarnation: string;
    readonly kind: SpeedKind;
    /** Mean time for a unit of the work. */
    readonly unitMs: decision.Milliseconds;
    readonly count: number;
}

/** Half-life of samples: engines are slow for a second or for good. */
const HALF_LIFE_MS = 5_000;
/** Samples that one message counts for at most, so that one host that is wrong, or far, does not decide. */
const MAX_TOLD_COUNT = 3;
/** Weight of samples, after decay, from which an engine's speed counts. */
const MIN_WEIGHT = 1;
/** Engines of a group from which there is a typical speed. */
const MIN_GROUP = 3;
/** Bounds of the ratio to the typical time. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;
/** How long the typical time of a group is kept before it is calculated anew. */
const TYPICAL_TTL_MS = 500;

interface Known {
    readonly group: string;
    readonly kind: SpeedKind;
    /** Sums with exponential decay. */
    weight: number;
    total: number;
    at: decision.Milliseconds;
}

/**
 * How long engines take, by the samples of all hosts. Answers a load of hundreds of hosts on fewer engines of different speeds that are
 * slow for moments: a host sees an engine once in seconds, all of them together many times.
 */
export class SharedSpeeds {
    private readonly known = new Map<string, Known>();
    private readonly own = new Map<string, { kind: SpeedKind; total: number; count: number; }>();
    private readonly typical = new Map<string, { readonly unitMs: number | undefined; readonly at: number; }>();

    /** Records a sample of this host. Engines are compared to others of their service and kind of work. */
    recordOwn(incarnation: string, service: string, kind: SpeedKind, unitMs: number, now: decision.Milliseconds): void {
        this.add(incarnation, service, { kind, unitMs, count: 1 }, now);
        const own = this.own.get(incarnation);
        const before = own?.kind === kind ? own : { kind, total: 0, count: 0 };
        this.own.set(incarnation, { kind, total: before.total + unitMs, count: before.count + 1 });
    }

    /** Records what another host tells. */
    recordTold({ incarnation, ...told }: SpeedSamples, service: string, now: decision.Milliseconds): void {
        this.add(incarnation, service, { ...told, count: Math.min(MAX_TOLD_COUNT, told.count) }, now);
    }

    /** Takes this host's samples since the last call, for at most so many engines. */
    takeOwn(maxEngines: number): SpeedSamples[] {
        const taken = [...this.own].slice(0, maxEngines);
        taken.forEach(([incarnation]) => this.own.delete(incarnation));
        return taken.map(([incarnation, { kind, total, count }]) => ({
            incarnation,
            kind,
            unitMs: Number((total / count).toPrecision(4)),
            count,
        }));
    }

    /** How long an engine takes in relation to the typical one; undefined while that is not known. */
    ratioOf(incarnation: string, now: decision.Milliseconds): number | undefined {
        const known = this.known.get(incarnation);
        if (!known || known.weight * decay(known.at, now) < MIN_WEIGHT) {
            return undefined;
        }
        const typicalMs = this.typicalOf(known.group, now);
        return typicalMs === undefined
            ? undefined
            : Math.min(MAX_RATIO, Math.max(MIN_RATIO, known.total / known.weight / typicalMs));
    }

    /** Forgets an engine that is gone. */
    forget(incarnation: string): void {
        this.known.delete(incarnation);
        this.own.delete(incarnation);
    }

    private add(
        incarnation: string,
        service: string,
        { kind, unitMs, count }: Omit<SpeedSamples, "incarnation">,
        now: decision.Milliseconds,
    ): void {
        const former = this.known.get(incarnation);
        const known = former?.kind === kind
            ? former
            : { group: `${service} ${kind}`, kind, weight: 0, total: 0, at: now };
        const kept = decay(known.at, now);
        known.weight = known.weight * kept + count;
        known.total = known.total * kept + unitMs * count;
        known.at = now;
        this.known.set(incarnation, known);
    }

    private typicalOf(group: string, now: decision.Milliseconds): number | undefined {
        const cached = this.typical.get(group);
        if (cached && now - cached.at < TYPICAL_TTL_MS) {
            return cached.unitMs;
        }
        const times = [...this.known.values()]
            .filter((known) => known.group === group && known.weight > 0)
            .map(({ total, weight }) => total / weight)
            .sort((one, other) => one - other);
        const unitMs = times.length >= MIN_GROUP ? times[Math.floor(times.length / 2)] : undefined;
        this.typical.set(group, { unitMs, at: now });
        return unitMs;
    }
}

function decay(at: decision.Milliseconds, now: decision.Milliseconds): number {
    return 0.5 ** ((now - at) / HALF_LIFE_MS);
}
