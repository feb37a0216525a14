import type * as decision from "@citronlead/decision";
import * as newest from "./newest.js";

/** Number of crashes after which a request content or prompt part is no longer sent to any upstream. */
export const CRASH_LIMIT = 3;
/** The same for a prompt part that was in a sound run before, so that bad luck is unlikely to reach it. */
export const SOUND_PART_CRASH_LIMIT = 5;
/** Number of sound runs of a service that this host must see beside a prompt part before it bars the part. */
const MIN_OTHER_SOUND_RUNS = 3;
/** Time from a crash to the review of its suspects, in which the reports of other hosts arrive. */
export const REVIEW_DELAY_MS = 40;
/** How long a suspect is remembered after its last crash: callers repeat such requests for minutes. */
export const SUSPECT_TTL_MS = 600_000;
/** Maximum number of suspects; the one whose last crash is the oldest is evicted first. */
export const MAX_SUSPECTS = 5_000;
/** Maximum number of prompt parts that are known to be sound; the one that ran longest ago is evicted first. */
export const MAX_SOUND_PARTS = 2_000;
/** Maximum number of crashes whose cause is remembered. */
const MAX_EXPLAINED_CRASHES = 500;
/** How long the news that a fingerprint is barred is ignored after a sound run: hosts may still repeat it. */
const CLEARED_TTL_MS = 60_000;
/** Specificity of a content; that of a prompt part is its position. */
const CONTENT_SPECIFICITY = Infinity;

/** What identifies requests that crash upstreams. */
export interface Fingerprints {
    readonly service: string;
    /** Hash of path, workspace and body, which identifies identical requests. */
    readonly content: string;
    /** Hashes of the prompt parts that other requests may share, the most widely shared first. */
    readonly parts: readonly string[];
}

/** Reports that an upstream went down while it ran a request. */
export interface CrashReport extends Fingerprints {
    /** The upstream incarnation that went down. */
    readonly incarnation: string;
    /** Time from the start of the run to the crash. */
    readonly ranMs: decision.Milliseconds;
}

interface Suspect {
    readonly service: string;
    readonly specificity: number;
    readonly incarnations: Set<string>;
    /** Number of sound runs of the service that this host had seen before the first crash. */
    readonly soundRunsBefore: number;
    lastCrashAt: decision.Milliseconds;
    barred: boolean;
}

/**
 * Requests that were running when upstreams went down and may have caused it, as reported by this host and others. They
 * are identified by the hash of their content and by the parts of their prompts. Answers a load in which one part crashes
 * each engine that runs it, in ever new requests that share their other parts with sound ones, beside crashes of
 * other causes that take down several engines at once.
 */
export class CrashSuspects {
    private readonly suspects = new Map<string, Suspect>();
    /** Suspects at their limit, with the time from which they may be barred. */
    private readonly undecided = new Map<string, decision.Milliseconds>();
    /** Incarnations that went down with a barred fingerprint, with the time of the crash. */
    private readonly explainedAt = new Map<string, decision.Milliseconds>();
    private readonly soundAt = new Map<string, decision.Milliseconds>();
    /** Number of sound runs that this host has seen, by service. */
    private readonly soundRuns = new Map<string, number>();
    private readonly clearedAt = new Map<string, decision.Milliseconds>();

    /** Records a report; `review` decides on its suspects `REVIEW_DELAY_MS` later. */
    recordCrash(report: CrashReport, now: decision.Milliseconds): void {
        const { content, parts, incarnation } = report;
        if (this.isBarred([content, ...parts], now)) {
            this.explain([incarnation], now);
        }
        this.countCrash(content, CONTENT_SPECIFICITY, report, now);
        parts.forEach((part, position) => this.countCrash(part, position, report, now));
    }

    /** Number of upstream incarnations that went down while they ran the fingerprint, for no other known cause. */
    crashes(fingerprint: string): number {
        return this.suspects.get(fingerprint)?.incarnations.size ?? 0;
    }

    /** Whether `review` has suspects to decide on. */
    get hasUndecided(): boolean {
        return this.undecided.size > 0;
    }

    /**
     * Bars the suspects against which the evidence suffices, and returns them. One cause explains a crash: the suspect
     * of the most crashes goes first, a more specific one before others, and its crashes no longer count against those.
     */
    review(now: decision.Milliseconds): string[] {
        const barred: string[] = [];
        const strength = (fingerprint: string) => this.suspects.get(fingerprint) as Suspect;
        for (;;) {
            for (const fingerprint of this.undecided.keys()) {
                if (!this.isAtLimit(fingerprint)) {
                    this.undecided.delete(fingerprint);
                }
            }
            const [cause] = [...this.undecided.keys()]
                .filter((fingerprint) => this.mayDecide(fingerprint, now))
                .sort((one, other) =>
                    strength(other).incarnations.size - strength(one).incarnations.size
                    || strength(other).specificity - strength(one).specificity
                );
            if (cause === undefined) {
                return barred;
            }
            const suspect = strength(cause);
            suspect.barred = true;
            this.explain([...suspect.incarnations], now);
            barred.push(cause);
        }
    }

    /** Records a run past its start, which no part allows that crashes upstreams. Returns the cleared suspects. */
    recordStarted({ service, parts }: Fingerprints, now: decision.Milliseconds): string[] {
        for (const part of parts) {
            newest.setNewest(this.soundAt, part, now, MAX_SOUND_PARTS);
        }
        this.soundRuns.set(service, this.soundRunsOf(service) + 1);
        return this.clearSuspects(parts, now);
    }

    /** Records a run to completion, which clears its content too. Returns the cleared suspects. */
    recordServed(fingerprints: Fingerprints, now: decision.Milliseconds): string[] {
        return [
            ...this.recordStarted(fingerprints, now),
            ...this.clearSuspects([fingerprints.content], now),
        ];
    }

    /** Forgets suspects that were in a sound run, here or at another host. */
    clear(fingerprints: readonly string[], now: decision.Milliseconds): void {
        for (const fingerprint of fingerprints) {
            this.suspects.delete(fingerprint);
            newest.setNewest(this.clearedAt, fingerprint, now, MAX_SUSPECTS);
        }
    }

    /** Bars a fingerprint that another host has barred. Returns whether that is news. */
    bar(fingerprint: string, now: decision.Milliseconds): boolean {
        const clearedAt = this.clearedAt.get(fingerprint) ?? -Infinity;
        if (this.isBarred([fingerprint], now) || now - clearedAt < CLEARED_TTL_MS) {
            return false;
        }
        const suspect = this.suspects.get(fingerprint) ?? this.makeSuspect("", CONTENT_SPECIFICITY);
        suspect.lastCrashAt = now;
        suspect.barred = true;
        this.explain([...suspect.incarnations], now);
        newest.setNewest(this.suspects, fingerprint, suspect, MAX_SUSPECTS);
        return true;
    }

    /** Whether a request with any of the fingerprints must not be sent to upstreams. */
    isBarred(fingerprints: readonly string[], now: decision.Milliseconds): boolean {
        return fingerprints.some((fingerprint) => {
            const suspect = this.suspects.get(fingerprint);
            return suspect !== undefined && suspect.barred && now - suspect.lastCrashAt < SUSPECT_TTL_MS;
        });
    }

    private clearSuspects(fingerprints: readonly string[], now: decision.Milliseconds): string[] {
        const cleared = fingerprints.filter((fingerprint) => this.suspects.has(fingerprint));
        this.clear(cleared, now);
        return cleared;
    }

    private countCrash(
        fingerprint: string,
        specificity: number,
        { incarnation, ranMs, service }: CrashReport,
        now: decision.Milliseconds,
    ): void {
        const former = this.suspects.get(fingerprint);
        const known = former !== undefined && now - former.lastCrashAt < SUSPECT_TTL_MS;
        const suspect = known ? former : this.makeSuspect(service, specificity);
        const isExplained = this.explainedAt.has(incarnation) && !suspect.barred;
        // Runs that were under way at the previous crash may have been lost with it to one cause, such as a rack.
        if (isExplained || suspect.incarnations.has(incarnation) || now - ranMs < suspect.lastCrashAt) {
            return;
        }
        suspect.incarnations.add(incarnation);
        suspect.lastCrashAt = now;
        newest.setNewest(this.suspects, fingerprint, suspect, MAX_SUSPECTS);
        if (this.isAtLimit(fingerprint) && !this.undecided.has(fingerprint)) {
            this.undecided.set(fingerprint, now + REVIEW_DELAY_MS);
        }
    }

    /** Whether a suspect was at enough crashes to be barred, and is not. */
    private isAtLimit(fingerprint: string): boolean {
        const suspect = this.suspects.get(fingerprint);
        const isSoundPart = suspect?.specificity !== CONTENT_SPECIFICITY && this.soundAt.has(fingerprint);
        return suspect !== undefined
            && !suspect.barred
            && suspect.incarnations.size >= (isSoundPart ? SOUND_PART_CRASH_LIMIT : CRASH_LIMIT);
    }

    private mayDecide(fingerprint: string, now: decision.Milliseconds): boolean {
        const suspect = this.suspects.get(fingerprint) as Suspect;
        const isDue = now >= (this.undecided.get(fingerprint) ?? Infinity);
        // While a service is down, all its parts look alike.
        return isDue && (
            suspect.specificity === CONTENT_SPECIFICITY
            || this.soundRunsOf(suspect.service) - suspect.soundRunsBefore >= MIN_OTHER_SOUND_RUNS
        );
    }

    /** Records that the crashes of incarnations have a known cause, and takes them off the suspects that are not barred. */
    private explain(incarnations: readonly string[], now: decision.Milliseconds): void {
        for (const incarnation of incarnations) {
            newest.setNewest(this.explainedAt, incarnation, now, MAX_EXPLAINED_CRASHES);
            for (const suspect of this.suspects.values()) {
                if (!suspect.barred) {
                    suspect.incarnations.delete(incarnation);
                }
            }
        }
    }

    private makeSuspect(service: string, specificity: number): Suspect {
        return {
            service,
            specificity,
            incarnations: new Set(),
            soundRunsBefore: this.soundRunsOf(service),
            lastCrashAt: -Infinity,
            barred: false,
        };
    }

    private soundRunsOf(service: string): number {
        return this.soundRuns.get(service) ?? 0;
    }
}
