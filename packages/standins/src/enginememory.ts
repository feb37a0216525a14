import * as crypto from "node:crypto";

/** Memory that an engine holds for one attempt. */
export interface Holding {
    readonly requestId: string;
    readonly attempt: number;
    readonly holder: string;
    readonly handle: string;
    readonly prompt: string;
    readonly promptTokens: number;
    readonly pieces: number;
    readonly since: number;
    /** When the memory is dropped by itself, or Infinity. */
    readonly endsAt: number;
}

const TOMBSTONE_MS = 60_000;
const CHARACTERS_PER_TOKEN = 4;

/** How many tokens a text has at the stand-in engines. */
export function countTokens(text: string): number {
    return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

/** The token that stands at an index of the answer to a prompt; the same at every engine. */
export function tokenAt(prompt: string, index: number): string {
    const digest = crypto.createHash("sha256").update(`${index}:`).update(prompt).digest("hex");
    return `${digest.slice(0, 5)} `;
}

/** The memory of one engine and the attempts that were cancelled. Time is passed in, in milliseconds. */
export class EngineMemory {
    readonly holdings = new Map<string, Holding>();
    private readonly cancelled = new Map<string, { attempt: number; at: number; }>();

    constructor(readonly pieces: number) {}

    /** How many pieces are taken. */
    get taken(): number {
        return [...this.holdings.values()].reduce((sum, holding) => sum + holding.pieces, 0);
    }

    /** Whether an attempt was cancelled, perhaps before it arrived. */
    isCancelled(requestId: string, attempt: number): boolean {
        return (this.cancelled.get(requestId)?.attempt ?? -1) >= attempt;
    }

    /** Holds memory unless there is too little left. */
    hold(holding: Holding): boolean {
        if (this.taken + holding.pieces > this.pieces) {
            return false;
        }
        this.holdings.set(holding.handle, holding);
        return true;
    }

    /** The holding of one attempt. */
    find(requestId: string, attempt: number): Holding | undefined {
        return [...this.holdings.values()]
            .find((holding) => holding.requestId === requestId && holding.attempt === attempt);
    }

    /** Lets go of all attempts of a request up to one, and remembers to refuse them. */
    cancel(requestId: string, attempt: number, now: number): void {
        const former = this.cancelled.get(requestId)?.attempt ?? -1;
        this.cancelled.set(requestId, { attempt: Math.max(former, attempt), at: now });
        this.drop((holding) => holding.requestId === requestId && holding.attempt <= attempt);
    }

    /** Lets go of everything that the holders answer for. */
    release(holders: readonly string[]): void {
        this.drop((holding) => holders.includes(holding.holder));
    }

    /** Lets go of what has outlived its time. */
    expire(now: number): void {
        this.drop((holding) => holding.endsAt <= now);
        for (const [requestId, tombstone] of [...this.cancelled]) {
            if (tombstone.at + TOMBSTONE_MS < now) {
                this.cancelled.delete(requestId);
            }
        }
    }

    private drop(doomed: (holding: Holding) => boolean): void {
        for (const [handle, holding] of [...this.holdings]) {
            if (doomed(holding)) {
                this.holdings.delete(handle);
            }
        }
    }
}
