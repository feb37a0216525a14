import type * as pQueue from "p-queue";

/** A function that p-queue runs. */
export type Run = () => Promise<unknown>;

/** What p-queue passes on about an entry. */
export interface QueueOptions extends pQueue.QueueAddOptions {
    /** The name of the request. */
    readonly id: string;
}

/**
 * The queue class under which p-queue runs placed requests. The scheduler decides the order; p-queue sees an entry, and
 * counts it in its size, only once the scheduler has decided on it, so its concurrency is never spent on one that waits.
 */
export class FairQueue {
    private readonly waiting = new Map<string, Run>();
    private readonly decided: Run[] = [];

    /** The queue class for a p-queue that uses this queue, so that its maker can release entries. */
    static holding(queue: FairQueue): new() => FairQueue {
        return class extends FairQueue {
            constructor() {
                super();
                return queue;
            }
        };
    }

    /** How many entries p-queue may run now. */
    get size(): number {
        return this.decided.length;
    }

    /** How many entries wait for a decision. */
    get waitingCount(): number {
        return this.waiting.size;
    }

    enqueue(run: Run, options?: Partial<QueueOptions>): void {
        this.waiting.set(options?.id ?? "", run);
    }

    dequeue(): Run | undefined {
        return this.decided.shift();
    }

    /** Lets p-queue run an entry. Returns whether it waited. */
    release(id: string): boolean {
        const run = this.waiting.get(id);
        if (run) {
            this.waiting.delete(id);
            this.decided.push(run);
        }
        return run !== undefined;
    }

    remove(id: string): void {
        this.waiting.delete(id);
    }

    filter(): Run[] {
        return [...this.decided];
    }

    /** The scheduler knows the priorities; p-queue can't change them. */
    setPriority(): void {
        return undefined;
    }
}
