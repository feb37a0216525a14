import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import type * as logs from "./log.js";
import type * as metrics from "./metrics.js";

/** What a read of the store is repeated with. */
export interface StoreReadParts {
    readonly scope: lifecycle.Lifecycle;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    /** Names the read in logs and metrics. */
    readonly what: string;
    /** How old what is known may get before it is read again. */
    readonly limitMs: () => decision.Milliseconds;
    /** Pause after a read that failed. */
    readonly retryMs: () => decision.Milliseconds;
    readonly read: () => Promise<decision.Outcome<unknown>>;
    /** Whether the read waits for changes: its answer is then as of its end. */
    readonly waits?: boolean;
    /** Called after each read that succeeded. */
    readonly onRead?: () => void;
}

/** A read of the store that is repeated before what it told gets too old, until the scope closes. */
export class StoreRead {
    private knownAt: decision.Milliseconds = -Infinity;
    private triedAt: decision.Milliseconds = -Infinity;
    private lostAt: decision.Milliseconds | undefined;
    private underWay: Promise<void> | undefined;

    constructor(private readonly parts: StoreReadParts) {
        void this.repeat();
    }

    /** Time since what is known was true for certain. */
    get ageMs(): decision.Milliseconds {
        return this.parts.clock() - this.knownAt;
    }

    /** Takes in that another host read the same, the given time ago. */
    confirm(agoMs: decision.Milliseconds): void {
        this.knownAt = Math.max(this.knownAt, this.parts.clock() - agoMs);
    }

    /** Reads at once, unless a read is under way. */
    now(): Promise<void> {
        this.underWay ??= this.readOnce().finally(() => this.underWay = undefined);
        return this.underWay;
    }

    private async repeat(): Promise<void> {
        const { scope, clock, limitMs, retryMs } = this.parts;
        while (!scope.closed) {
            const retryAt = this.lostAt === undefined ? -Infinity : this.triedAt + retryMs();
            const waitMs = Math.max(retryAt, this.knownAt + limitMs()) - clock();
            await (waitMs > 0 ? lifecycle.pause(scope, waitMs) : this.now());
        }
    }

    private async readOnce(): Promise<void> {
        const { clock, log, metrics, what, waits, onRead } = this.parts;
        const startedAt = clock();
        const outcome = await this.parts.read();
        this.triedAt = clock();
        metrics.storeCalls.inc({ call: what, result: outcome.effect });
        if (outcome.effect !== decision.Effect.Known) {
            if (this.lostAt === undefined) {
                this.lostAt = startedAt;
                log.notice("store lost", { read: what, reason: outcome.reason });
            }
            return;
        }
        this.knownAt = Math.max(this.knownAt, waits ? this.triedAt : startedAt);
        if (this.lostAt !== undefined) {
            log.notice("store regained", { read: what, afterMs: Math.round(clock() - this.lostAt) });
            this.lostAt = undefined;
        }
        onRead?.();
    }
}
