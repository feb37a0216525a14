interface Entry {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

/** What happens in a run, in the order of its simulated time in milliseconds. */
export class Agenda {
    private readonly heap: Entry[] = [];
    private count = 0;
    now = 0;

    at(time: number, run: () => void): void {
        this.heap.push({ at: Math.max(time, this.now), order: this.count++, run });
        let index = this.heap.length - 1;
        while (index > 0 && before(this.heap[index]!, this.heap[(index - 1) >> 1]!)) {
            this.swap(index, (index - 1) >> 1);
            index = (index - 1) >> 1;
        }
    }

    after(delay: number, run: () => void): void {
        this.at(this.now + delay, run);
    }

    /** Runs everything up to the given time. */
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
            const first = children.sort((left, right) => before(this.heap[left]!, this.heap[right]!) ? -1 : 1)[0];
            if (first === undefined || !before(this.heap[first]!, this.heap[index]!)) {
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

function before(left: Entry, right: Entry): boolean {
    return left.at < right.at || (left.at === right.at && left.order < right.order);
}
