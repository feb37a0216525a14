import * as admission from "../../src/index.js";
import type * as schedulers from "./scheduler.js";

/** One host of a simulated fleet, with its admission state, clock and rights. */
export class Host {
    readonly state: { current: admission.State; };
    alive = true;
    /** A paused host handles nothing. Tasks that arrive are deferred. */
    private pausedUntil = 0;
    private readonly deferredTasks: (() => void)[] = [];
    private readonly wakes = new Map<string, number>();
    /** When this host's rights expire, on its own clock. */
    rightUntil = -Infinity;
    /** When this host's rights expire, in true time. */
    trueRightEnd = -Infinity;
    /** The fencing tokens of the partitions that this host believes it owns. */
    readonly fencingByPartition = new Map<string, number>();

    constructor(
        readonly name: string,
        readonly availabilityZone: string,
        private readonly scheduler: schedulers.SimulatedScheduler,
        private readonly clockRate: number,
        private readonly clockOffset: number,
        private readonly carryOut: (host: Host, action: admission.Action) => void,
        private readonly observe: (host: Host, event: admission.Event) => void,
    ) {
        this.state = { current: admission.start({ host: name }) };
    }

    /** The time on this host's clock. */
    get clock(): number {
        return this.clockOffset + this.scheduler.now * this.clockRate;
    }

    /** The true time at which this host's clock shows the given time. */
    private simulatedTime(local: number): number {
        return (local - this.clockOffset) / this.clockRate;
    }

    pause(durationMs: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, this.scheduler.now + durationMs);
        this.scheduler.at(this.pausedUntil, () => this.deferredTasks.splice(0).forEach((run) => this.run(run)));
    }

    get paused(): boolean {
        return this.scheduler.now < this.pausedUntil;
    }

    kill(): void {
        this.alive = false;
    }

    /** Runs a task on this host, after its pause if it is paused. Dead hosts drop it. */
    run(body: () => void): void {
        if (!this.alive) {
            return;
        }
        if (this.paused) {
            this.deferredTasks.push(body);
            return;
        }
        body();
    }

    rightFor(partition: string | undefined): admission.Right | undefined {
        const fencing = partition === undefined ? undefined : this.fencingByPartition.get(partition);
        return fencing !== undefined && this.clock < this.rightUntil
            ? { fencing, until: this.rightUntil }
            : undefined;
    }

    feed(event: admission.Event): void {
        const next = admission.decide(this.state.current, event, this.clock);
        this.state.current = next.state;
        this.observe(this, event);
        for (const action of next.actions) {
            if (action.kind === admission.ActionKind.WakeAt) {
                this.wakeAt(action);
            }
            else {
                this.carryOut(this, action);
            }
        }
    }

    deliver(from: string, message: admission.Message): void {
        const right = this.rightFor(admission.partitionOf(message));
        this.feed({ kind: admission.EventKind.Message, from, message, right });
    }

    private wakeAt(action: admission.WakeAt): void {
        const { subject, at } = action;
        if (at === undefined) {
            this.wakes.delete(subject);
            return;
        }
        this.wakes.set(subject, at);
        this.scheduler.at(this.simulatedTime(at) + 0.001, () =>
            this.run(() => {
                if (this.wakes.get(subject) === at) {
                    this.wakes.delete(subject);
                    this.feed({ kind: admission.EventKind.Wake, subject, right: this.rightFor(subject) });
                }
            }));
    }
}
