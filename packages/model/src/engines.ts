import type * as decision from "@citronlead/decision";
import type * as clocks from "./clock.js";

/** Speed and capacity of a simulated engine. */
export interface EngineSpeeds {
    readonly prefillTokensPerSecond: number;
    /** Duration of a decode step, without the time added by each stream in the batch. */
    readonly stepMs: decision.Milliseconds;
    readonly stepMsPerStream: decision.Milliseconds;
    readonly slots: number;
    readonly memoryTokens: number;
    readonly cacheBytesPerToken: number;
    readonly linkBytesPerSecond: number;
    readonly survivalMs: decision.Milliseconds;
    /** Tokens of one block of the prefix cache. */
    readonly blockTokens: number;
}

/** Speeds of simulated engines that the configuration of a pool does not state. */
export const DEFAULT_ENGINE_SPEEDS = {
    prefillTokensPerSecond: 24_000,
    stepMs: 18,
    stepMsPerStream: 0.6,
    blockTokens: 341,
} as const;

/** Network link of an engine. It carries one transfer at a time. */
export class SimulatedLink {
    busyUntil: decision.Milliseconds = 0;

    constructor(public bytesPerSecond: number) {}
}

/**
 * Transfers bytes between two engines and returns the time at which the transfer ends. Each link carries its transfers
 * one after another at its own rate; a transfer ends when both links have completed it.
 */
export function transfer(
    now: decision.Milliseconds,
    from: SimulatedLink,
    to: SimulatedLink,
    bytes: number,
): decision.Milliseconds {
    for (const link of [from, to]) {
        link.busyUntil = Math.max(now, link.busyUntil) + bytes / link.bytesPerSecond * 1_000;
    }
    return Math.max(from.busyUntil, to.busyUntil);
}

/** Called when a block is stored in or evicted from a prefix cache. */
export type CacheListener = (stored: boolean, hash: string) => void;

/** Prefill engine that processes one prompt at a time and has a prefix cache with LRU eviction. */
export class SimulatedPrefillEngine {
    readonly link: SimulatedLink;
    slowdown = 1;
    queuedTokens = 0;
    private busyUntil: decision.Milliseconds = 0;
    private readonly cache = new Map<string, true>();

    constructor(
        readonly name: string,
        private readonly clock: clocks.SimulationClock,
        private readonly speeds: EngineSpeeds,
        private readonly onCacheChange: CacheListener,
    ) {
        this.link = new SimulatedLink(speeds.linkBytesPerSecond);
    }

    /**
     * Queues a prompt. If the request is still current when its turn comes, prefills the prompt and reports the number
     * of cached tokens and the time spent.
     */
    prefill(
        tokens: number,
        hashes: readonly string[],
        isCurrent: () => boolean,
        onDone: (cachedTokens: number, workMs: decision.Milliseconds) => void,
    ): void {
        this.queuedTokens += tokens;
        const startAt = Math.max(this.clock.now, this.busyUntil);
        const workMs = tokens / this.speeds.prefillTokensPerSecond * 1_000 * this.slowdown;
        const cachedTokens = this.usePrefix(hashes, tokens);
        const remainingMs = workMs * (1 - cachedTokens / tokens);
        this.busyUntil = startAt + remainingMs;
        this.clock.runAt(startAt, () => {
            if (!isCurrent()) {
                this.queuedTokens -= tokens;
                return;
            }
            this.clock.runAt(startAt + remainingMs, () => {
                this.queuedTokens -= tokens;
                onDone(cachedTokens, remainingMs);
            });
        });
    }

    private usePrefix(hashes: readonly string[], tokens: number): number {
        const firstMissing = hashes.findIndex((hash) => !this.cache.has(hash));
        const cachedBlocks = firstMissing < 0 ? hashes.length : firstMissing;
        hashes.forEach((hash) => this.touch(hash));
        return Math.min(tokens - 1, cachedBlocks * this.speeds.blockTokens);
    }

    private touch(hash: string): void {
        const wasCached = this.cache.delete(hash);
        this.cache.set(hash, true);
        if (!wasCached) {
            this.onCacheChange(true, hash);
        }
        const oldest = this.cache.size > this.cacheCapacityBlocks() ? this.cache.keys().next().value : undefined;
        if (oldest !== undefined) {
            this.cache.delete(oldest);
            this.onCacheChange(false, oldest);
        }
    }

    /** Half of the memory holds prefixes, the other half running prompts and results that await their transfer. */
    private cacheCapacityBlocks(): number {
        return this.speeds.memoryTokens / 2 / this.speeds.blockTokens;
    }
}

/** Token stream of a request at a decode engine. */
export interface DecodeStream {
    readonly tokens: number;
    readonly memoryTokens: number;
    readonly onFirstToken: (at: decision.Milliseconds) => void;
    /** Reports the mean time between tokens, measured over the first few tokens. */
    readonly onTokenInterval: (tokenMs: decision.Milliseconds) => void;
    readonly onEnd: (at: decision.Milliseconds) => void;
    /** Reports the number of tokens produced before the engine crashed. */
    readonly onCrash: (tokens: number) => void;
}

interface RunningStream {
    readonly stream: DecodeStream;
    readonly startStep: number;
    readonly startedAt: decision.Milliseconds;
    reportedTokens: number;
}

const TOKEN_INTERVAL_SAMPLE_TOKENS = 8;

/** Decode engine. Each step yields one token of every stream and takes longer the larger the batch is. */
export class SimulatedDecodeEngine {
    readonly link: SimulatedLink;
    slowdown = 1;
    down = false;
    incarnation = 0;
    usedSlots = 0;
    private reservedTokens = 0;
    private readonly running = new Set<RunningStream>();
    private completedSteps = 0;
    private stepsUpdatedAt: decision.Milliseconds = 0;
    private scheduleVersion = 0;
    private readonly slotQueue: (() => boolean)[] = [];

    constructor(
        readonly name: string,
        private readonly clock: clocks.SimulationClock,
        private readonly speeds: EngineSpeeds,
    ) {
        this.link = new SimulatedLink(speeds.linkBytesPerSecond);
    }

    get streams(): number {
        return this.running.size;
    }

    get reservedMemoryTokens(): number {
        return this.reservedTokens;
    }

    /**
     * Calls back once a slot and the memory are available. They are reserved if the callback returns true. Requests are
     * served in order of arrival.
     */
    requestSlot(memoryTokens: number, acceptSlot: () => boolean): void {
        const attempt = () => {
            if (this.usedSlots >= this.speeds.slots || this.reservedTokens + memoryTokens > this.speeds.memoryTokens) {
                return false;
            }
            if (acceptSlot()) {
                this.usedSlots++;
                this.reservedTokens += memoryTokens;
            }
            return true;
        };
        if (this.down || this.slotQueue.length > 0 || !attempt()) {
            this.slotQueue.push(attempt);
        }
    }

    /** Releases a slot with its memory and serves queued slot requests. */
    releaseSlot(memoryTokens: number): void {
        this.usedSlots--;
        this.reservedTokens -= memoryTokens;
        while (!this.down && this.slotQueue[0]?.()) {
            this.slotQueue.shift();
        }
    }

    /** Starts a stream in a reserved slot. Returns a function that stops it early. */
    start(stream: DecodeStream): () => void {
        this.updateCompletedSteps();
        const one: RunningStream = {
            stream,
            startStep: this.completedSteps,
            startedAt: this.clock.now,
            reportedTokens: 0,
        };
        this.running.add(one);
        this.scheduleNextMilestone();
        return () => {
            this.updateCompletedSteps();
            this.running.delete(one);
            this.scheduleNextMilestone();
        };
    }

    /** Drops all streams, reservations and queued slot requests. The engine stays down until `down` is cleared. */
    crash(): void {
        this.updateCompletedSteps();
        const lost = [...this.running];
        this.running.clear();
        this.down = true;
        this.incarnation++;
        this.usedSlots = 0;
        this.reservedTokens = 0;
        this.slotQueue.length = 0;
        this.scheduleVersion++;
        lost.forEach((one) => one.stream.onCrash(Math.floor(this.completedSteps - one.startStep)));
    }

    private stepMs(): decision.Milliseconds {
        return (this.speeds.stepMs + this.speeds.stepMsPerStream * this.running.size) * this.slowdown;
    }

    private updateCompletedSteps(): void {
        this.completedSteps += this.running.size > 0 ? (this.clock.now - this.stepsUpdatedAt) / this.stepMs() : 0;
        this.stepsUpdatedAt = this.clock.now;
    }

    /** Schedules the earliest milestone of all streams. A later call replaces it, as the step time depends on the batch. */
    private scheduleNextMilestone(): void {
        const version = ++this.scheduleVersion;
        let next = Infinity;
        for (const one of this.running) {
            next = Math.min(next, one.startStep + nextMilestone(one));
        }
        if (next < Infinity) {
            const wait = Math.max(0, next - this.completedSteps) * this.stepMs();
            this.clock.runAt(this.clock.now + wait, () => {
                if (version === this.scheduleVersion) {
                    this.reachMilestone(next);
                }
            });
        }
    }

    private reachMilestone(progress: number): void {
        this.completedSteps = progress;
        this.stepsUpdatedAt = this.clock.now;
        for (const one of [...this.running]) {
            while (this.running.has(one) && one.startStep + nextMilestone(one) <= progress + 1e-9) {
                this.reportTokens(one, nextMilestone(one));
            }
        }
        this.scheduleNextMilestone();
    }

    private reportTokens(one: RunningStream, tokens: number): void {
        one.reportedTokens = tokens;
        if (tokens === 1) {
            one.stream.onFirstToken(this.clock.now);
        }
        if (tokens === TOKEN_INTERVAL_SAMPLE_TOKENS) {
            one.stream.onTokenInterval((this.clock.now - one.startedAt) / tokens);
        }
        if (tokens === one.stream.tokens) {
            this.running.delete(one);
            one.stream.onEnd(this.clock.now);
        }
    }
}

/** Returns the token count at which a stream next has something to report. */
function nextMilestone(one: RunningStream): number {
    const { reportedTokens, stream } = one;
    const next = reportedTokens < 1
        ? 1
        : reportedTokens < TOKEN_INTERVAL_SAMPLE_TOKENS
        ? TOKEN_INTERVAL_SAMPLE_TOKENS
        : stream.tokens;
    return Math.min(next, stream.tokens);
}
