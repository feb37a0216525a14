import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import * as crypto from "node:crypto";
import type * as exchanges from "./exchange.js";
import type * as logs from "./log.js";
import type * as registries from "./registry.js";

/** Number of events after which a run is past its start, at which a prompt crashes its engine. */
export const EVENTS_PAST_START = 3;
/** Maximum number of prompt parts of a request that are told apart, so that a report fits in an Ethernet frame. */
const MAX_PARTS = 32;
/** Spread of the reviews of one crash over the hosts, so that the first to decide tells most of the others. */
const REVIEW_SPREAD_MS = 60;
/** How long the host that barred a fingerprint writes it to the store again if it is missing there. */
const SAVE_PERIOD_MS = dispatch.SUSPECT_TTL_MS / 2;
/** Length of a fingerprint in characters. */
const FINGERPRINT_LENGTH = 16;

/** What hosts tell each other about requests that may crash upstreams. */
export enum CrashReportKind {
    Suspected = "suspected",
    Cleared = "cleared",
}

/** Who found it. */
export enum ReportSource {
    OwnRun = "own run",
    OtherHost = "other host",
}

/** A run that was lost as its upstream went down. */
export interface LostRun {
    readonly upstream: routing.Upstream;
    readonly startedAt: decision.Milliseconds;
    /** Whether the run was to write a response, rather than to prefill only. */
    readonly decoding: boolean;
    /** Number of events that the run had written. */
    readonly events: number;
}

/** How a host tells the others about requests that crash upstreams. */
export interface QuarantineMessages {
    readonly broadcastCrash: (report: dispatch.CrashReport) => void;
    readonly broadcastBarred: (fingerprints: readonly string[]) => void;
    readonly broadcastCleared: (fingerprints: readonly string[]) => void;
}

/** Where barred fingerprints are kept. */
export type BarredStore = Pick<registries.Registry, "saveBarred" | "removeBarred">;

/** Fingerprints of the requests that are alike, or whose prompts have parts in common. */
export function fingerprintsOf(
    service: string,
    path: string,
    workspace: string | undefined,
    body: Buffer | undefined,
    sharedPromptParts: readonly string[],
): dispatch.Fingerprints {
    const hash = (text: string, bytes?: Buffer) =>
        crypto.createHash("sha1").update(text).update(bytes ?? "").digest("base64url").slice(0, FINGERPRINT_LENGTH);
    return {
        service,
        content: hash(`${path}\n${workspace ?? ""}\n`, body),
        parts: sharedPromptParts.slice(0, MAX_PARTS).map((part) => hash(`${service}\n${part}`)),
    };
}

/** Keeps requests that crash upstreams from being sent to more of them, together with the other hosts. */
export class Quarantine {
    private readonly suspects = new dispatch.CrashSuspects();
    /** Fingerprints that this host has barred, and when. The store keeps them for hosts that start later. */
    private readonly ownDecisions = new Map<string, decision.Milliseconds>();
    /** Fingerprints that turned out to be sound and are to be removed from the store. */
    private readonly withdrawn = new Set<string>();
    private reconciling = false;
    private messages: QuarantineMessages | undefined;

    constructor(
        private readonly clock: decision.Clock,
        private readonly log: logs.DecisionLog,
        private readonly random: () => number,
        /** Counts the reports of all hosts: each is logged by the host that makes it. */
        private readonly onReport: (report: CrashReportKind, source: ReportSource) => void = () => undefined,
    ) {}

    /** Sets how other hosts are told; until then they are not. */
    setMessages(messages: QuarantineMessages): void {
        this.messages = messages;
    }

    /** Whether a request must not be sent to upstreams. */
    isBarred({ content, parts }: dispatch.Fingerprints): boolean {
        return this.suspects.isBarred([content, ...parts], this.clock());
    }

    /** Records that an upstream closed its connection while it ran a request, and tells the other hosts. */
    reportCrash({ fingerprints, metadata }: exchanges.Exchange, run: LostRun): void {
        const mayBeCause = run.decoding && run.events < EVENTS_PAST_START;
        const report: dispatch.CrashReport = {
            ...fingerprints,
            parts: mayBeCause ? fingerprints.parts : [],
            incarnation: routing.incarnationOf(run.upstream),
            ranMs: Math.round(this.clock() - run.startedAt),
        };
        this.messages?.broadcastCrash(report);
        this.recordCrash(report, ReportSource.OwnRun);
        const crashes = [report.content, ...report.parts].map((fingerprint) => this.suspects.crashes(fingerprint));
        this.log.decision("request suspected of crashing an upstream", {
            ...report,
            crashes,
            requestId: metadata.requestId,
            sharedPromptParts: metadata.sharedPromptParts.slice(0, MAX_PARTS),
            passedEvents: run.events,
        });
    }

    /** Handles a crash report of another host. */
    receiveCrash(report: dispatch.CrashReport): void {
        this.recordCrash(report, ReportSource.OtherHost);
    }

    /** Records that a run is past its start, which clears its prompt of crashes. */
    recordStarted({ fingerprints }: exchanges.Exchange): void {
        this.recordSound(fingerprints.parts, (now) => this.suspects.recordStarted(fingerprints, now));
    }

    /** Records that a request ran to completion, which clears it of crashes. */
    recordServed({ fingerprints }: exchanges.Exchange): void {
        const { content, parts } = fingerprints;
        this.recordSound([content, ...parts], (now) => this.suspects.recordServed(fingerprints, now));
    }

    /** Handles the news that another host has barred fingerprints. */
    receiveBarred(fingerprints: readonly string[], source: string): void {
        const news = fingerprints.filter((fingerprint) => this.suspects.bar(fingerprint, this.clock()));
        if (news.length > 0) {
            this.log.notice("barred from upstreams", { fingerprints: news, source });
        }
    }

    /** Handles the news that fingerprints were in a sound run at another host. */
    receiveCleared(fingerprints: readonly string[]): void {
        this.suspects.clear(fingerprints, this.clock());
        this.forgetDecisions(fingerprints);
        this.onReport(CrashReportKind.Cleared, ReportSource.OtherHost);
    }

    /** Takes in the barred fingerprints that the store keeps, and brings it up to date on this host's decisions. */
    async reconcile(stored: readonly string[], store: BarredStore): Promise<void> {
        this.receiveBarred(stored, "store");
        if (this.reconciling) {
            return;
        }
        this.reconciling = true;
        try {
            await this.writeDecisions(stored, store);
        }
        finally {
            this.reconciling = false;
        }
    }

    private async writeDecisions(stored: readonly string[], store: BarredStore): Promise<void> {
        for (const [fingerprint, decidedAt] of [...this.ownDecisions]) {
            if (this.clock() - decidedAt >= SAVE_PERIOD_MS) {
                this.ownDecisions.delete(fingerprint);
            }
            else if (this.ownDecisions.has(fingerprint) && !stored.includes(fingerprint)) {
                const saved = await store.saveBarred(fingerprint);
                this.log.notice("barred fingerprint saved", { fingerprint, ...describeOutcome(saved) });
            }
        }
        for (const fingerprint of [...this.withdrawn]) {
            const removed = await store.removeBarred(fingerprint);
            this.log.notice("barred fingerprint removed", { fingerprint, ...describeOutcome(removed) });
            if (removed.effect === decision.Effect.Known) {
                this.withdrawn.delete(fingerprint);
            }
        }
    }

    private recordCrash(report: dispatch.CrashReport, source: ReportSource): void {
        this.suspects.recordCrash(report, this.clock());
        this.onReport(CrashReportKind.Suspected, source);
        if (this.suspects.hasUndecided) {
            setTimeout(() => this.review(), dispatch.REVIEW_DELAY_MS + 1 + this.random() * REVIEW_SPREAD_MS).unref();
        }
    }

    /** Records a sound run; `record` returns the suspects among its fingerprints. */
    private recordSound(
        fingerprints: readonly string[],
        record: (now: decision.Milliseconds) => string[],
    ): void {
        const now = this.clock();
        const wereBarred = fingerprints.filter((fingerprint) => this.suspects.isBarred([fingerprint], now));
        const cleared = record(now);
        if (cleared.length > 0) {
            wereBarred.forEach((fingerprint) => this.withdrawn.add(fingerprint));
            this.forgetDecisions(cleared);
            this.messages?.broadcastCleared(cleared);
            this.onReport(CrashReportKind.Cleared, ReportSource.OwnRun);
            this.log.decision("cleared of crashing upstreams", { fingerprints: cleared, source: ReportSource.OwnRun });
        }
        if (this.suspects.hasUndecided) {
            this.review();
        }
    }

    private review(): void {
        const barred = this.suspects.review(this.clock());
        if (barred.length > 0) {
            barred.forEach((fingerprint) => this.ownDecisions.set(fingerprint, this.clock()));
            this.messages?.broadcastBarred(barred);
            this.log.notice("barred from upstreams", { fingerprints: barred, source: "own decision" });
        }
    }

    private forgetDecisions(fingerprints: readonly string[]): void {
        fingerprints.forEach((fingerprint) => this.ownDecisions.delete(fingerprint));
    }
}

function describeOutcome(outcome: decision.Outcome<unknown>): { effect: string; reason?: string; } {
    const { effect } = outcome;
    return outcome.effect === decision.Effect.Known ? { effect } : { effect, reason: outcome.reason };
}
