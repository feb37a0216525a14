import type * as decision from "@citronlead/decision";
import * as exchanges from "../exchange.js";
import type * as relays from "./relay.js";

/** What happens once an upstream has been silent for a time. */
interface SilenceStep {
    readonly atMs: decision.Milliseconds;
    readonly act: () => void;
}

/** Watches how long the upstream of a stream has been silent. Time in which this host reads nothing of it does not count. */
export class SilenceWatch {
    private readonly steps: readonly SilenceStep[];
    private nextStep = 0;
    private startedAt: decision.Milliseconds = 0;
    private heldBeforeMs: decision.Milliseconds = 0;
    private timer: NodeJS.Timeout | undefined;

    /** `heldMs` is the time in which nothing was read so far; `giveUp` ends the answer. */
    constructor(
        limits: relays.SilenceLimits,
        private readonly clock: decision.Clock,
        private readonly heldMs: () => decision.Milliseconds,
        giveUp: () => void,
    ) {
        this.steps = [
            { atMs: limits.takeoverMs, act: () => limits.canTakeOver() && giveUp() },
            { atMs: limits.suspectedMs, act: limits.onSuspected },
            { atMs: limits.abandonedMs, act: giveUp },
        ];
        this.restart();
    }

    /** Starts anew: the upstream has sent something. */
    restart(): void {
        this.startedAt = this.clock();
        this.heldBeforeMs = this.heldMs();
        this.nextStep = 0;
        this.check();
    }

    /** Stops watching. */
    stop(): void {
        clearTimeout(this.timer);
        this.nextStep = this.steps.length;
    }

    private check(): void {
        clearTimeout(this.timer);
        const silentMs = this.clock() - this.startedAt - (this.heldMs() - this.heldBeforeMs);
        let step = this.steps[this.nextStep];
        while (step && silentMs >= step.atMs - exchanges.TIMER_RESOLUTION_MS) {
            this.nextStep++;
            step.act();
            step = this.steps[this.nextStep];
        }
        if (step) {
            this.timer = setTimeout(() => this.check(), step.atMs - silentMs);
        }
    }
}
