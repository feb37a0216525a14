import type * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";
import * as limits from "./limits.js";
import type * as quotas from "./quota.js";

/** How a host knows that an upstream warms up. */
export enum WarmUpSource {
    /** The upstream's registration says so. */
    Registration = "registration",
    /** It has started so lately that it warms up, whatever its registration says. */
    Start = "start",
    /** An answer of the upstream says so. */
    Answer = "answer",
    /** Another host has read such an answer. */
    OtherHost = "other host",
    /** It was away without a new start, and may have turned cold meanwhile. */
    Return = "return",
}

/** By how much a second may exceed the rate that an upstream bears while it warms up. */
export interface WarmUpTolerance {
    readonly factor: number;
    /** Requests. */
    readonly slack: number;
}

/** What a send to an upstream that warms up is for. */
export enum WarmUpSend {
    /** The send is all that the request needs of the upstream. */
    Run = "run",
    /** A run follows the send, and must not wait behind what others begin meanwhile. */
    Reserve = "reserve",
}

/** What all hosts together send to an upstream that warms up. */
export interface WarmUpLimit {
    readonly ratePerSecond: number;
    /** Requests that are granted at once; the others are spaced evenly. */
    readonly atOnce: number;
}

/** Sends granted at once: a reservation and the run that follows it. */
const AT_ONCE = 2;
/** Owners that may grant for one upstream in the same second, while hosts know different hosts. */
const OWNERS_AT_ONCE = 2;
/** Part of the rate that is used at least, however tight the bound. */
const MIN_RATE_SHARE = 1 / 4;

/**
 * The limit of an upstream that warms up: so low that two owners, and the hosts that reach neither, stay within what any
 * second bears.
 */
export function warmUpLimit(perSecond: number, { factor, slack }: WarmUpTolerance): WarmUpLimit {
    const perAnySecond = perSecond * factor + slack;
    const shared = (perAnySecond - OWNERS_AT_ONCE * AT_ONCE) / (OWNERS_AT_ONCE + limits.FALLBACK_SHARE);
    return { ratePerSecond: Math.max(perSecond * MIN_RATE_SHARE, Math.min(perSecond, shared)), atOnce: AT_ONCE };
}

/** The limit that applies to one send: a reservation is granted only where its run would be granted at once, too. */
export function warmUpSendLimit({ ratePerSecond, atOnce }: WarmUpLimit, send: WarmUpSend): quotas.QuotaLimit {
    const kept = send === WarmUpSend.Reserve ? 1 : 0;
    return { ratePerSecond, burst: atOnce, version: 0, atOnce: atOnce - kept };
}

/** Largest difference between the clocks of a host and an upstream that is reckoned with. */
const MAX_CLOCK_ERROR_MS = 5_000;
/** Change of the end of a warm-up that other hosts are told of. */
const NOTABLE_CHANGE_MS = 500;
/** Maximum number of incarnations that are remembered; the one learned of longest ago is evicted first. */
const MAX_KNOWN = 5_000;

interface WarmUp {
    /** Since when the upstream counts as started, on the monotonic clock. */
    readonly startedSince: decision.Milliseconds;
    readonly startSource: WarmUpSource;
    /** Until when it warms up by what it has said itself. */
    readonly namedUntil: decision.Milliseconds;
    readonly namedSource: WarmUpSource;
    readonly registrationNumber: number | undefined;
    readonly listedLeftMs: decision.Milliseconds;
}

/** Until when an upstream warms up, and how that is known. */
export interface WarmUpEnd {
    readonly until: decision.Milliseconds;
    readonly source: WarmUpSource;
}

/**
 * Which upstream incarnations warm up, by their registrations, their answers and their starts. Answers the load of many upstreams
 * that return together, each of which bears a part of its usual rate for some seconds and crashes beyond it.
 */
export class WarmUps {
    private readonly known = new Map<string, WarmUp>();

    /**
     * Takes in a listed upstream. One that this host has not seen counts as just started, unless the start that it reports is
     * so long ago that no difference of clocks explains it. `wallNow` is in Unix milliseconds.
     */
    recordListed(
        incarnation: string,
        upstream: Pick<routing.Upstream, "startedAt" | "registrationNumber" | "warmUpLeftMs">,
        wallNow: decision.Milliseconds,
        now: decision.Milliseconds,
    ): void {
        const { startedAt, registrationNumber, warmUpLeftMs } = upstream;
        const known = this.known.get(incarnation);
        // Registrations are counted anew by one that has started again and does not tell when.
        const isNew = !known || (registrationNumber ?? Infinity) < (known.registrationNumber ?? -Infinity);
        if (isNew) {
            const runsForMs = startedAt === 0 ? 0 : Math.max(0, wallNow - startedAt - MAX_CLOCK_ERROR_MS);
            this.set(incarnation, {
                startedSince: now - runsForMs,
                startSource: WarmUpSource.Start,
                namedUntil: warmUpLeftMs > 0 ? now + warmUpLeftMs : -Infinity,
                namedSource: WarmUpSource.Registration,
                registrationNumber,
                listedLeftMs: warmUpLeftMs,
            });
            return;
        }
        // A registration that was read before says nothing of the time that is left now.
        const isRenewed = registrationNumber === undefined
            ? warmUpLeftMs !== known.listedLeftMs
            : registrationNumber !== known.registrationNumber;
        if (!isRenewed) {
            return;
        }
        const prolongs = warmUpLeftMs > 0 && now + warmUpLeftMs > known.namedUntil;
        this.set(incarnation, {
            ...known,
            ...(prolongs ? { namedUntil: now + warmUpLeftMs, namedSource: WarmUpSource.Registration } : {}),
            registrationNumber,
            listedLeftMs: warmUpLeftMs,
        });
    }

    /** Records the time left that an answer names; 0 ends the warm-up. Returns whether that is news for other hosts. */
    recordNamed(
        incarnation: string,
        leftMs: decision.Milliseconds,
        source: WarmUpSource,
        now: decision.Milliseconds,
    ): boolean {
        const known = this.known.get(incarnation);
        const former = Math.max(now, known?.namedUntil ?? -Infinity);
        this.set(incarnation, {
            registrationNumber: known?.registrationNumber,
            listedLeftMs: known?.listedLeftMs ?? 0,
            startedSince: -Infinity,
            startSource: WarmUpSource.Start,
            namedUntil: now + leftMs,
            namedSource: source,
        });
        return Math.abs(now + leftMs - former) > NOTABLE_CHANGE_MS;
    }

    /** Records that an upstream was away, so that it may have turned cold without having started again. */
    recordReturn(incarnation: string, now: decision.Milliseconds): void {
        const known = this.known.get(incarnation);
        this.set(incarnation, {
            registrationNumber: known?.registrationNumber,
            listedLeftMs: known?.listedLeftMs ?? 0,
            namedUntil: known?.namedUntil ?? -Infinity,
            namedSource: known?.namedSource ?? WarmUpSource.Registration,
            startedSince: now,
            startSource: WarmUpSource.Return,
        });
    }

    /** The end of an incarnation's warm-up; undefined if it is over. `durationMs` is how long one lasts after a start. */
    endOf(
        incarnation: string,
        durationMs: decision.Milliseconds,
        now: decision.Milliseconds,
    ): WarmUpEnd | undefined {
        const known = this.known.get(incarnation);
        if (!known) {
            return undefined;
        }
        const byStart = known.startedSince + durationMs;
        const until = Math.max(byStart, known.namedUntil);
        return until > now
            ? { until, source: known.namedUntil >= byStart ? known.namedSource : known.startSource }
            : undefined;
    }

    /** Forgets an upstream that is gone. */
    forget(incarnation: string): void {
        this.known.delete(incarnation);
    }

    private set(incarnation: string, warmUp: WarmUp): void {
        this.known.set(incarnation, warmUp);
        if (this.known.size > MAX_KNOWN) {
            this.known.delete(this.known.keys().next().value as string);
        }
    }
}

/**
 * How long a send to an upstream that warms up may take: its usual time once more, yet no longer than the warm-up lasts. A
 * slow start is no failure.
 */
export function warmUpPatienceMs(usualMs: decision.Milliseconds, leftMs: decision.Milliseconds): decision.Milliseconds {
    return usualMs + Math.min(usualMs, Math.max(0, leftMs));
}
