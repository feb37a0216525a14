import type * as decision from "@citronlead/decision";

interface ScheduledCallback {
    readonly at: decision.Milliseconds;
    readonly sequence: number;
    readonly run: () => void;
}

/** Virtual clock of a discrete-event simulation. Callbacks with equal times run in the order in which they were added. */
export class SimulationClock {
    now: decision.Milliseconds = 0;
    /** Binary heap, ordered by time and sequence. */
    private readonly heap: ScheduledCallback[] = [];
    private nextSequence = 0;

    /** Schedules a callback. If the time has passed, it runs at the current time, after callbacks already due then. */
    runAt(time: decision.Milliseconds, run: () => void): void {
        this.heap.push({ at: Math.max(time, this.now), sequence: this.nextSequence++, run });
        this.siftUp(this.heap.length - 1);
    }

    /** Runs all callbacks due up to and including a time and advances the clock to it. */
    runUntil(time: decision.Milliseconds): void {
        for (let next = this.heap[0]; next && next.at <= time; next = this.heap[0]) {
            this.removeFirst();
            this.now = next.at;
            next.run();
        }
        this.now = time;
    }

    private removeFirst(): void {
        const last = this.heap.pop();
        if (last && this.heap.length > 0) {
            this.heap[0] = last;
            this.siftDown(0);
        }
    }

    private siftUp(from: number): void {
        for (let index = from; index > 0;) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(index, parent)) {
                return;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    private siftDown(from: number): void {
        for (let index = from;;) {
            const left = 2 * index + 1;
            const child = left + 1 < this.heap.length && this.isBefore(left + 1, left) ? left + 1 : left;
            if (child >= this.heap.length || !this.isBefore(child, index)) {
                return;
            }
            this.swap(index, child);
            index = child;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const one = this.heap[left] as ScheduledCallback;
        const other = this.heap[right] as ScheduledCallback;
        return one.at < other.at || one.at === other.at && one.sequence < other.sequence;
    }

    private swap(left: number, right: number): void {
        const one = this.heap[left] as ScheduledCallback;
        this.heap[left] = this.heap[right] as ScheduledCallback;
        this.heap[right] = one;
    }
}
