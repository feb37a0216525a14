import * as crypto from "node:crypto";

/** Engine memory that is allocated to one attempt of a request. */
export interface Allocation {
    readonly requestId: string;
    readonly attempt: number;
    /** The router process that owns the allocation, as `host/incarnation`. */
    readonly holder: string;
    /** Identifies the allocation in exports and imports. */
    readonly handle: string;
    readonly prompt: string;
    readonly promptTokens: number;
    readonly pieces: number;
    readonly allocatedAt: number;
    /** When the memory is freed if nothing else frees it, or Infinity. */
    readonly expiresAt: number;
}

/** How long a cancellation is remembered, so that an attempt that arrives after it is refused. */
const TOMBSTONE_MS = 60_000;
const CHARACTERS_PER_TOKEN = 4;

/** The number of tokens that the stand-in engines count for a text. */
export function countTokens(text: string): number {
    return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

/** The output token at an index for a prompt. It depends on nothing else, so every engine generates the same output. */
export function tokenAt(prompt: string, index: number): string {
    const digest = crypto.createHash("sha256").update(`${index}:`).update(prompt).digest("hex");
    return `${digest.slice(0, 5)} `;
}

/** The memory of one engine and its cancelled attempts. Callers pass the time, in milliseconds. */
export class EngineMemory {
    /** Allocations by handle. */
    readonly allocations = new Map<string, Allocation>();
    /** By request: its highest cancelled attempt, and when it was cancelled. */
    private readonly tombstones = new Map<string, { attempt: number; cancelledAt: number; }>();

    constructor(readonly totalPieces: number) {}

    /** Number of allocated pieces. */
    get usedPieces(): number {
        return [...this.allocations.values()].reduce((sum, allocation) => sum + allocation.pieces, 0);
    }

    /** Whether an attempt was cancelled. A cancellation can arrive before the attempt does. */
    isCancelled(requestId: string, attempt: number): boolean {
        return (this.tombstones.get(requestId)?.attempt ?? -1) >= attempt;
    }

    /** Allocates memory. Returns false if too little is free. */
    allocate(allocation: Allocation): boolean {
        if (this.usedPieces + allocation.pieces > this.totalPieces) {
            return false;
        }
        this.allocations.set(allocation.handle, allocation);
        return true;
    }

    /** Finds the allocation of an attempt. */
    find(requestId: string, attempt: number): Allocation | undefined {
        return [...this.allocations.values()]
            .find((allocation) => allocation.requestId === requestId && allocation.attempt === attempt);
    }

    /** Frees the memory of a request's attempts up to this one, and marks them as cancelled. */
    cancel(requestId: string, attempt: number, now: number): void {
        const previous = this.tombstones.get(requestId)?.attempt ?? -1;
        this.tombstones.set(requestId, { attempt: Math.max(previous, attempt), cancelledAt: now });
        this.freeMatching((allocation) => allocation.requestId === requestId && allocation.attempt <= attempt);
    }

    /** Frees all memory of the given holders. */
    release(holders: readonly string[]): void {
        this.freeMatching((allocation) => holders.includes(allocation.holder));
    }

    /** Frees expired allocations and forgets cancellations older than TOMBSTONE_MS. */
    expire(now: number): void {
        this.freeMatching((allocation) => allocation.expiresAt <= now);
        for (const [requestId, tombstone] of [...this.tombstones]) {
            if (tombstone.cancelledAt + TOMBSTONE_MS < now) {
                this.tombstones.delete(requestId);
            }
        }
    }

    private freeMatching(matches: (allocation: Allocation) => boolean): void {
        for (const [handle, allocation] of [...this.allocations]) {
            if (matches(allocation)) {
                this.allocations.delete(handle);
            }
        }
    }
}
