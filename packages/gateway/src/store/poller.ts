import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as background from "../background.js";
import type * as logs from "../log.js";
import type * as metrics from "../metrics.js";

export interface StorePollerOptions {
    readonly scope: lifecycle.Scope;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    /** Name of the read in logs and metrics. */
    readonly name: string;
    /** Maximum age of the data before it is read again. */
    readonly maxAgeMs: () => decision.Milliseconds;
    /** Delay after a failed read, given the number of reads that have failed in a row. */
    readonly retryDelayMs: (failures: number) => decision.Milliseconds;
    readonly read: () => Promise<decision.Outcome<unknown>>;
    /**
     * Whether the read waits for changes. Its result is then valid as of the end of the read, otherwise as of the
     * start.
     */
    readonly longPoll?: boolean;
    /** Called after each successful read. */
    readonly onRead?: () => void;
}

/** Repeats a read of the store before its data exceed their maximum age, until the scope closes. */
export class StorePoller {
    private validAt: decision.Milliseconds = -Infinity;
    private attemptedAt: decision.Milliseconds = -Infinity;
    private failingSince: decision.Milliseconds | undefined;
    private failures = 0;
    private readInFlight: Promise<void> | undefined;

    constructor(private readonly options: StorePollerOptions) {
        void this.run();
    }

    /** Age of the data: the time since they were last known to be current. */
    get ageMs(): decision.Milliseconds {
        return this.options.clock() - this.validAt;
    }

    /** Records that another host read the same data the given time ago. */
    confirm(agoMs: decision.Milliseconds): void {
        this.validAt = Math.max(this.validAt, this.options.clock() - agoMs);
    }

    /** Reads at once, or joins the read in flight. */
    refresh(): Promise<void> {
        this.readInFlight ??= this.readOnce().finally(() => this.readInFlight = undefined);
        return this.readInFlight;
    }

    /** Reads once more after a read that is in flight: its answer may be older than this call. Returns whether that succeeds. */
    async readAnew(): Promise<boolean> {
        const requestedAt = this.options.clock();
        await this.readInFlight;
        await this.refresh();
        return this.validAt >= requestedAt;
    }

    private async run(): Promise<void> {
        const { scope, clock, maxAgeMs, retryDelayMs } = this.options;
        while (!scope.closed) {
            const retryAt = this.failures === 0 ? -Infinity : this.attemptedAt + retryDelayMs(this.failures);
            const waitMs = Math.max(retryAt, this.validAt + maxAgeMs()) - clock();
            await (waitMs > 0 ? lifecycle.pause(scope, waitMs) : this.refresh());
        }
    }

    /** Repeats a failed read also while `run` waits for the data to age, as after a call of `refresh`. */
    private scheduleRetry(): void {
        const { scope, retryDelayMs } = this.options;
        lifecycle.after(scope, retryDelayMs(this.failures), () => {
            if (this.failures === 1) {
                void this.refresh();
            }
        });
    }

    /** A read that throws is a failed one, which is repeated: polling never ends before the scope does. */
    private async readGuarded(): Promise<decision.Outcome<unknown>> {
        const { log, name, read } = this.options;
        try {
            return await read();
        }
        catch (error) {
            background.throwBrokenInvariant(error);
            log.failure(`read ${name}`, error);
            return decision.unknownEffect("internal error");
        }
    }

    private async readOnce(): Promise<void> {
        const { clock, log, metrics, name, longPoll, onRead } = this.options;
        const startedAt = clock();
        const outcome = await this.readGuarded();
        this.attemptedAt = clock();
        metrics.storeCalls.inc({ call: name, result: outcome.effect });
        if (outcome.effect !== decision.Effect.Known) {
            this.failures++;
            if (this.failures === 1) {
                this.scheduleRetry();
            }
            if (this.failingSince === undefined) {
                this.failingSince = startedAt;
                log.notice("store unavailable", { read: name, reason: outcome.reason });
            }
            return;
        }
        this.failures = 0;
        this.validAt = Math.max(this.validAt, longPoll ? this.attemptedAt : startedAt);
        if (this.failingSince !== undefined) {
            log.notice("store available again", { read: name, afterMs: Math.round(clock() - this.failingSince) });
            this.failingSince = undefined;
        }
        onRead?.();
    }
}
