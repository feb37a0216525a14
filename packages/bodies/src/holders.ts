import type * as memories from "./memory.js";

/** What is held for one peer. Once it is closed, it holds nothing and takes nothing. */
export interface Holder extends memories.Memory {
    readonly heldBytes: number;
    /** Replaces the size of what is waiting to be read by the peer or by this process. May close holders, this one included. */
    readonly setWaiting: (bytes: number) => void;
    /** Gives all its memory back. */
    readonly close: () => void;
}

interface HolderState {
    bytes: number;
    waitingBytes: number;
    closed: boolean;
    readonly evict: () => void;
}

/**
 * The memory for all that is held for peers: parts of messages, bodies, queued requests, and answers that are not read.
 * Answers the load of a crowd that sends more than it reads: beyond the limit, the holder of most is closed first, so that
 * peers that hold little are served on.
 */
export class HeldMemory {
    private readonly holders = new Set<HolderState>();
    private totalBytes = 0;

    constructor(private readonly limitBytes: number) {}

    /** Size of all that is held, in bytes. */
    get heldBytes(): number {
        return this.totalBytes;
    }

    /** Opens a holder; `evict` is called, once it is closed, when others need its memory. */
    open(evict: () => void): Holder {
        const state: HolderState = { bytes: 0, waitingBytes: 0, closed: false, evict };
        this.holders.add(state);
        return {
            get heldBytes() {
                return sizeOf(state);
            },
            tryTake: (bytes) => this.tryTake(state, bytes),
            release: (bytes) => this.add(state, -Math.min(bytes, state.bytes)),
            setWaiting: (bytes) => this.setWaiting(state, bytes),
            close: () => this.close(state),
        };
    }

    private tryTake(state: HolderState, bytes: number): boolean {
        if (state.closed || !this.makeRoom(state, bytes)) {
            return false;
        }
        this.add(state, bytes);
        return true;
    }

    private setWaiting(state: HolderState, bytes: number): void {
        if (state.closed) {
            return;
        }
        const addedBytes = bytes - state.waitingBytes;
        state.waitingBytes = bytes;
        this.totalBytes += addedBytes;
        if (!this.makeRoom(state, 0)) {
            this.evict(state);
        }
    }

    /** Closes those that hold most until there is room. Returns false once the asker would hold most. */
    private makeRoom(asker: HolderState, bytes: number): boolean {
        while (this.totalBytes + bytes > this.limitBytes) {
            let largest = asker;
            let largestBytes = sizeOf(asker) + bytes;
            for (const holder of this.holders) {
                if (sizeOf(holder) > largestBytes) {
                    largest = holder;
                    largestBytes = sizeOf(holder);
                }
            }
            if (largest === asker) {
                return false;
            }
            this.evict(largest);
        }
        return true;
    }

    private evict(state: HolderState): void {
        this.close(state);
        state.evict();
    }

    private add(state: HolderState, bytes: number): void {
        if (!state.closed) {
            state.bytes += bytes;
            this.totalBytes += bytes;
        }
    }

    private close(state: HolderState): void {
        if (!state.closed) {
            state.closed = true;
            this.holders.delete(state);
            this.totalBytes -= sizeOf(state);
        }
    }
}

function sizeOf({ bytes, waitingBytes }: HolderState): number {
    return bytes + waitingBytes;
}
