import * as admission from "../../src/index.js";
import type * as agendas from "./agenda.js";

/** One host of a simulated fleet: its module, its clock and its rights. */
export class Host {
    readonly state: { current: admission.State; };
    alive = true;
    /** A paused host takes in nothing; what arrives waits. */
    private pausedUntil = 0;
    private readonly waiting: (() => void)[] = [];
    private readonly wakes = new Map<string, number>();
    /** The end of this host's rights on its own clock, and in true time. */
    rightUntil = -Infinity;
    trueRightEnd = -Infinity;
    /** Rights by partition, as this host knows them. */
    readonly fencing = new Map<string, number>();

    constructor(
        readonly name: string,
        readonly availabilityZone: string,
        private readonly agenda: agendas.Agenda,
        private readonly clockRate: number,
        private readonly clockOffset: number,
        private readonly carryOut: (host: Host, action: admission.Action) => void,
        private readonly observe: (host: Host, event: admission.Event) => void,
    ) {
        this.state = { current: admission.start({ host: name }) };
    }

    /** This host's clock. */
    get clock(): number {
        return this.clockOffset + this.agenda.now * this.clockRate;
    }

    /** The true time at which this host's clock shows a time. */
    private trueTime(local: number): number {
        return (local - this.clockOffset) / this.clockRate;
    }

    pause(durationMs: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, this.agenda.now + durationMs);
        this.agenda.at(this.pausedUntil, () => this.waiting.splice(0).forEach((run) => this.run(run)));
    }

    get paused(): boolean {
        return this.agenda.now < this.pausedUntil;
    }

    kill(): void {
        this.alive = false;
    }

    /** Runs something on this host, after its pause if it is paused. */
    run(body: () => void): void {
        if (!this.alive) {
            return;
        }
        if (this.paused) {
            this.waiting.push(body);
            return;
        }
        body();
    }

    rightFor(partition: string | undefined): admission.Right | undefined {
        const fencing = partition === undefined ? undefined : this.fencing.get(partition);
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
        this.agenda.at(this.trueTime(at) + 0.001, () =>
            this.run(() => {
                if (this.wakes.get(subject) === at) {
                    this.wakes.delete(subject);
                    this.feed({ kind: admission.EventKind.Wake, subject, right: this.rightFor(subject) });
                }
            }));
    }
}
