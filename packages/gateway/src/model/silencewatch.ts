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
    private timer: NodeJS.Timeout | undefined;

    /** `heldMs` is the time in which nothing was read so far; `giveUp` ends the answer. */
    constructor(
        limits: relays.SilenceLimits,
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
        this.stop();
        this.wait(0, this.steps[0]?.atMs ?? 0);
    }

    /** Stops watching. */
    stop(): void {
        clearTimeout(this.timer);
    }

    /** Waits for a step. One follows on the other by a timer of its own, so that a process that stood still reads before the next. */
    private wait(index: number, delayMs: decision.Milliseconds): void {
        const heldBeforeMs = this.heldMs();
        this.timer = setTimeout(() => {
            const heldMs = this.heldMs() - heldBeforeMs;
            const [step, next] = this.steps.slice(index);
            if (heldMs > exchanges.TIMER_RESOLUTION_MS) {
                this.wait(index, heldMs);
            }
            else if (step) {
                if (next) {
                    this.wait(index + 1, next.atMs - step.atMs);
                }
                step.act();
            }
        }, delayMs);
    }
}
