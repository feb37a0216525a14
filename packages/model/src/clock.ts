import type * as decision from "@citronlead/decision";

interface Due {
    readonly at: decision.Milliseconds;
    readonly count: number;
    readonly run: () => void;
}

/** A clock that jumps from event to event (a binary heap of what is due). Equal times run in the order of scheduling. */
export class ModelClock {
    now: decision.Milliseconds = 0;
    private readonly heap: Due[] = [];
    private count = 0;

    /** Runs the callback at a time; at once, after what is due already, if the time has passed. */
    at(time: decision.Milliseconds, run: () => void): void {
        this.heap.push({ at: Math.max(time, this.now), count: this.count++, run });
        this.rise(this.heap.length - 1);
    }

    /** Runs everything that is due up to a time. */
    runUntil(time: decision.Milliseconds): void {
        for (let next = this.heap[0]; next && next.at <= time; next = this.heap[0]) {
            this.take();
            this.now = next.at;
            next.run();
        }
        this.now = time;
    }

    private take(): void {
        const last = this.heap.pop();
        if (last && this.heap.length > 0) {
            this.heap[0] = last;
            this.sink(0);
        }
    }

    private rise(from: number): void {
        for (let index = from; index > 0;) {
            const parent = (index - 1) >> 1;
            if (!this.before(index, parent)) {
                return;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    private sink(from: number): void {
        for (let index = from;;) {
            const left = 2 * index + 1;
            const child = left + 1 < this.heap.length && this.before(left + 1, left) ? left + 1 : left;
            if (child >= this.heap.length || !this.before(child, index)) {
                return;
            }
            this.swap(index, child);
            index = child;
        }
    }

    private before(left: number, right: number): boolean {
        const one = this.heap[left] as Due;
        const other = this.heap[right] as Due;
        return one.at < other.at || one.at === other.at && one.count < other.count;
    }

    private swap(left: number, right: number): void {
        const one = this.heap[left] as Due;
        this.heap[left] = this.heap[right] as Due;
        this.heap[right] = one;
    }
}
