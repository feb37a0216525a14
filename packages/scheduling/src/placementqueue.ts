import type * as pQueue from "p-queue";

/** A task that p-queue runs. */
export type Task = () => Promise<unknown>;

/** The options that p-queue passes on with a task. */
export interface QueueOptions extends pQueue.QueueAddOptions {
    /** The id of the request. */
    readonly id: string;
}

/**
 * A p-queue queue class that holds each task back until the scheduler has placed its request. p-queue sees only released
 * tasks, in the order of their release, so that waiting requests do not take up its concurrency.
 */
export class PlacementQueue {
    private readonly waiting = new Map<string, Task>();
    private readonly released: Task[] = [];

    /**
     * A class whose constructor returns the given queue. p-queue constructs its queue itself, but the caller needs a
     * reference to it to release tasks.
     */
    static classFor(queue: PlacementQueue): new() => PlacementQueue {
        return class extends PlacementQueue {
            constructor() {
                super();
                return queue;
            }
        };
    }

    /** How many released tasks p-queue has not started yet. */
    get size(): number {
        return this.released.length;
    }

    /** How many tasks have not been released. */
    get waitingCount(): number {
        return this.waiting.size;
    }

    enqueue(task: Task, options?: Partial<QueueOptions>): void {
        this.waiting.set(options?.id ?? "", task);
    }

    dequeue(): Task | undefined {
        return this.released.shift();
    }

    /** Lets p-queue run a task. Returns false if no task with this id is held back. */
    release(id: string): boolean {
        const task = this.waiting.get(id);
        if (task) {
            this.waiting.delete(id);
            this.released.push(task);
        }
        return task !== undefined;
    }

    remove(id: string): void {
        this.waiting.delete(id);
    }

    filter(): Task[] {
        return [...this.released];
    }

    /** Does nothing: the scheduler decides the order, not p-queue. */
    setPriority(): void {
        return undefined;
    }
}
