interface ScheduledTask {
    readonly at: number;
    readonly sequence: number;
    readonly run: () => void;
}

/**
 * Runs tasks in the order of a simulated time, in milliseconds. Tasks of the same time run in the order they were
 * added.
 */
export class SimulatedScheduler {
    private readonly heap: ScheduledTask[] = [];
    private scheduledCount = 0;
    now = 0;

    at(time: number, run: () => void): void {
        this.heap.push({ at: Math.max(time, this.now), sequence: this.scheduledCount++, run });
        let index = this.heap.length - 1;
        while (index > 0 && runsBefore(this.heap[index]!, this.heap[(index - 1) >> 1]!)) {
            this.swap(index, (index - 1) >> 1);
            index = (index - 1) >> 1;
        }
    }

    after(delay: number, run: () => void): void {
        this.at(this.now + delay, run);
    }

    /** Runs all tasks up to the given time. */
    runUntil(end: number): void {
        for (let next = this.heap[0]; next && next.at <= end; next = this.heap[0]) {
            this.removeFirst();
            this.now = next.at;
            next.run();
        }
        this.now = Math.max(this.now, end);
    }

    private removeFirst(): void {
        const last = this.heap.pop()!;
        if (this.heap.length === 0) {
            return;
        }
        this.heap[0] = last;
        for (let index = 0;;) {
            const children = [2 * index + 1, 2 * index + 2].filter((child) => child < this.heap.length);
            const first = children.sort((left, right) => runsBefore(this.heap[left]!, this.heap[right]!) ? -1 : 1)[0];
            if (first === undefined || !runsBefore(this.heap[first]!, this.heap[index]!)) {
                return;
            }
            this.swap(first, index);
            index = first;
        }
    }

    private swap(left: number, right: number): void {
        [this.heap[left], this.heap[right]] = [this.heap[right]!, this.heap[left]!];
    }
}

function runsBefore(left: ScheduledTask, right: ScheduledTask): boolean {
    return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}
