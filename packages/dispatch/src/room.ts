import type * as decision from "@citronlead/decision";

/** A request that occupies room at a place, such as an engine. */
export interface Run {
    readonly id: string;
    readonly place: string;
    /** In units of the place: tokens of memory, or 1 for a slot. */
    readonly amount: number;
    /** Forecast of its end. */
    readonly endsAt: decision.Milliseconds;
}

/** A place that has room for requests. */
export interface Place {
    readonly name: string;
    readonly capacity: number;
    readonly availabilityZone: string;
}

/** When and where a request can begin. */
export interface Start {
    readonly place: string;
    readonly at: decision.Milliseconds;
}

/** What a request needs of a place. */
export interface RoomNeed {
    readonly amount: number;
    readonly durationMs: decision.Milliseconds;
    readonly availabilityZone: string;
    /** Places that it cannot use. */
    readonly avoided: ReadonlySet<string>;
}

/** How long a refusal by a place counts: hosts that report no runs may occupy it. */
const FULL_MS = 100;
/** How long the runs of which hosts report nothing last, for the rate at which they leave room. */
const UNKNOWN_RUN_MS = 3_000;
/** How long a place that could not be reached is left out. */
const UNREACHABLE_MS = 1_000;
/** Time after which a run that has outlasted its forecast is expected to end. */
const OVERDUE_RUN_MS = 250;
/** How long a run is kept past its forecast: the message that it has ended may be lost. */
const LOST_RUN_MS = 5_000;
/** Maximum number of runs that are kept. */
const MAX_RUNS = 20_000;

interface Shortage {
    readonly amount: number;
    readonly until: decision.Milliseconds;
}

/** The runs at the places of a service, as far as hosts report them, and what places have refused beyond that. */
export class RoomLedger {
    private places = new Map<string, Place>();
    private readonly runs = new Map<string, Run>();
    private readonly used = new Map<string, number>();
    private readonly unreachable = new Map<string, { host: string; at: decision.Milliseconds; }>();
    private readonly shortages = new Map<string, Shortage>();

    /** Replaces the places that take new requests. */
    setPlaces(places: readonly Place[]): void {
        this.places = new Map(places.map((place) => [place.name, place]));
        for (const name of [...this.shortages.keys(), ...this.unreachable.keys()]) {
            if (!this.places.has(name)) {
                this.shortages.delete(name);
                this.unreachable.delete(name);
            }
        }
    }

    /** Records a run; one that is known by its id is replaced. */
    take(run: Run): void {
        this.release(run.id);
        if (this.runs.size < MAX_RUNS) {
            this.runs.set(run.id, run);
            this.used.set(run.place, (this.used.get(run.place) ?? 0) + run.amount);
        }
    }

    /** Records the end of a run. Returns the run, unless it is not known. */
    release(id: string): Run | undefined {
        const run = this.runs.get(id);
        if (run) {
            this.runs.delete(id);
            const rest = (this.used.get(run.place) ?? 0) - run.amount;
            if (rest > 0) {
                this.used.set(run.place, rest);
            }
            else {
                this.used.delete(run.place);
            }
        }
        return run;
    }

    /** Records that a place has less room than the amount. */
    recordFull(name: string, amount: number, now: decision.Milliseconds): void {
        const missing = this.freeAt(name, now) - amount + 1;
        if (missing > 0) {
            const known = this.shortageOf(name, now);
            this.shortages.set(name, { amount: known + missing, until: now + FULL_MS });
        }
    }

    /** Records that a host cannot reach a place. It is left out once a second host has said so: one may be cut off. */
    recordUnreachable(name: string, host: string, now: decision.Milliseconds): void {
        const report = this.unreachable.get(name);
        if (report && report.host !== host && now - report.at <= UNREACHABLE_MS) {
            this.shortages.set(name, { amount: Infinity, until: now + UNREACHABLE_MS });
        }
        this.unreachable.set(name, { host, at: now });
    }

    /** Forgets all runs and shortages, which nobody has reported for a time. */
    clear(): void {
        this.runs.clear();
        this.used.clear();
        this.shortages.clear();
    }

    /** Forgets runs whose end must have been missed. */
    expire(now: decision.Milliseconds): void {
        for (const run of this.runs.values()) {
            if (now > run.endsAt + LOST_RUN_MS) {
                this.release(run.id);
            }
        }
    }

    /** Amount that is expected to become free per millisecond over the given time. */
    drainPerMs(periodMs: decision.Milliseconds, now: decision.Milliseconds): number {
        let amount = 0;
        for (const run of this.runs.values()) {
            amount += this.places.has(run.place) && run.endsAt <= now + periodMs ? run.amount : 0;
        }
        let unknownAmount = 0;
        for (const shortage of this.shortages.values()) {
            const isRecent = now < shortage.until + periodMs && Number.isFinite(shortage.amount);
            unknownAmount += isRecent ? shortage.amount : 0;
        }
        return amount / periodMs + unknownAmount / UNKNOWN_RUN_MS;
    }

    /** Room at each place over time, to which requests can be added. */
    forecast(now: decision.Milliseconds): RoomForecast {
        const profiles = new Map<string, Profile>();
        for (const place of this.places.values()) {
            const shortage = this.shortageOf(place.name, now);
            const profile = new Profile(place, this.freeAt(place.name, now));
            if (Number.isFinite(shortage)) {
                profile.add(this.shortages.get(place.name)?.until ?? now, shortage);
                profiles.set(place.name, profile);
            }
        }
        for (const { place, amount, endsAt } of this.runs.values()) {
            profiles.get(place)?.add(endsAt > now ? endsAt : now + OVERDUE_RUN_MS, amount);
        }
        return new RoomForecast([...profiles.values()], now);
    }

    private freeAt(name: string, now: decision.Milliseconds): number {
        const capacity = this.places.get(name)?.capacity ?? 0;
        return capacity - (this.used.get(name) ?? 0) - this.shortageOf(name, now);
    }

    private shortageOf(name: string, now: decision.Milliseconds): number {
        const shortage = this.shortages.get(name);
        return shortage && shortage.until > now ? shortage.amount : 0;
    }
}

interface RoomChange {
    readonly at: decision.Milliseconds;
    readonly amount: number;
}

/** Room at one place over time. */
class Profile {
    /** In order of time. */
    private readonly changes: RoomChange[] = [];

    constructor(readonly place: Place, readonly freeNow: number) {}

    add(at: decision.Milliseconds, amount: number): void {
        let index = this.changes.length;
        while (index > 0 && (this.changes[index - 1] as RoomChange).at > at) {
            index--;
        }
        this.changes.splice(index, 0, { at, amount });
    }

    /**
     * When the need can be met from the given time on without delaying what was added before; infinite if not by the latest
     * time that is of interest.
     */
    earliest(
        { amount, durationMs }: RoomNeed,
        from: decision.Milliseconds,
        latest: decision.Milliseconds,
    ): decision.Milliseconds {
        if (amount > this.place.capacity) {
            return Infinity;
        }
        let free = this.freeNow;
        let start = free >= amount ? from : Infinity;
        for (const change of this.changes) {
            if (change.at >= start + durationMs || (start === Infinity && change.at > latest)) {
                break;
            }
            free += change.amount;
            start = free < amount ? Infinity : Math.min(start, Math.max(from, change.at));
        }
        return start;
    }
}

/** Forecast of the room at the places of a service. */
export class RoomForecast {
    constructor(private readonly profiles: readonly Profile[], private readonly now: decision.Milliseconds) {}

    /**
     * The earliest start of a request. Of the places that have room at once, one in its own zone is preferred, and then
     * the one that it fills best, so that large requests find room too. Undefined if no place can ever take it.
     */
    earliest(need: RoomNeed, from: decision.Milliseconds): Start | undefined {
        let best: { start: Start; isRemote: boolean; left: number; } | undefined;
        for (const profile of this.profiles) {
            const { place, freeNow } = profile;
            const at = need.avoided.has(place.name)
                ? Infinity
                : profile.earliest(need, from, best?.start.at ?? Infinity);
            if (at === Infinity) {
                continue;
            }
            const isRemote = place.availabilityZone !== need.availabilityZone;
            const left = freeNow - need.amount;
            const order = best
                ? at - best.start.at || Number(isRemote) - Number(best.isRemote) || left - best.left
                : -1;
            if (order < 0) {
                best = { start: { place: place.name, at }, isRemote, left };
            }
        }
        return best?.start;
    }

    /** Adds a request to the forecast. */
    add({ amount, durationMs }: RoomNeed, { place, at }: Start): void {
        const profile = this.profiles.find((known) => known.place.name === place);
        profile?.add(Math.max(at, this.now), -amount);
        profile?.add(at + durationMs, amount);
    }
}
