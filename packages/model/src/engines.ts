import type * as decision from "@citronlead/decision";
import type * as clocks from "./clock.js";

/** How quick the model's engines are. */
export interface EngineSpeeds {
    readonly prefillTokensPerSecond: number;
    /** A step of a decode engine takes this long, and longer for each stream in the batch. */
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

/** The speeds of the model's engines beside what the configuration says of a pool. */
export const MODEL_SPEEDS = {
    prefillTokensPerSecond: 24_000,
    stepMs: 18,
    stepMsPerStream: 0.6,
    blockTokens: 341,
} as const;

/** The link of an engine: one transfer after another. */
export class ModelLink {
    busyUntil: decision.Milliseconds = 0;

    constructor(public bytesPerSecond: number) {}
}

/**
 * Moves bytes between two engines. Each link takes its transfers in turn, for as long as the bytes take at its own rate;
 * the transfer ends when both are done with it. Returns that time.
 */
export function transfer(
    now: decision.Milliseconds,
    from: ModelLink,
    to: ModelLink,
    bytes: number,
): decision.Milliseconds {
    for (const link of [from, to]) {
        link.busyUntil = Math.max(now, link.busyUntil) + bytes / link.bytesPerSecond * 1_000;
    }
    return Math.max(from.busyUntil, to.busyUntil);
}

/** A change of a prefix cache. */
export type CacheListener = (stored: boolean, hash: string) => void;

/** One prefill engine: prompts one after another, and a prefix cache that drops what was used longest ago. */
export class PrefillModel {
    readonly link: ModelLink;
    slowdown = 1;
    queuedTokens = 0;
    private busyUntil: decision.Milliseconds = 0;
    private readonly cache = new Map<string, true>();

    constructor(
        readonly name: string,
        private readonly clock: clocks.ModelClock,
        private readonly speeds: EngineSpeeds,
        private readonly changed: CacheListener,
    ) {
        this.link = new ModelLink(speeds.linkBytesPerSecond);
    }

    /** Prefills a prompt in its turn, unless it is cancelled by then, and tells how many tokens were cached. */
    prefill(
        tokens: number,
        hashes: readonly string[],
        wanted: () => boolean,
        done: (cachedTokens: number, workMs: decision.Milliseconds) => void,
    ): void {
        this.queuedTokens += tokens;
        const startAt = Math.max(this.clock.now, this.busyUntil);
        const workMs = tokens / this.speeds.prefillTokensPerSecond * 1_000 * this.slowdown;
        const cached = this.use(hashes, tokens);
        const left = workMs * (1 - cached / tokens);
        this.busyUntil = startAt + left;
        this.clock.at(startAt, () => {
            if (!wanted()) {
                this.queuedTokens -= tokens;
                return;
            }
            this.clock.at(startAt + left, () => {
                this.queuedTokens -= tokens;
                done(cached, left);
            });
        });
    }

    private use(hashes: readonly string[], tokens: number): number {
        const held = hashes.findIndex((hash) => !this.cache.has(hash));
        const length = held < 0 ? hashes.length : held;
        hashes.forEach((hash) => this.touch(hash));
        return Math.min(tokens - 1, length * this.speeds.blockTokens);
    }

    private touch(hash: string): void {
        const known = this.cache.delete(hash);
        this.cache.set(hash, true);
        if (!known) {
            this.changed(true, hash);
        }
        const oldest = this.cache.size > this.cacheBlocks() ? this.cache.keys().next().value : undefined;
        if (oldest !== undefined) {
            this.cache.delete(oldest);
            this.changed(false, oldest);
        }
    }

    /** Half the memory is for prefixes, the other for prompts at work and results that wait. */
    private cacheBlocks(): number {
        return this.speeds.memoryTokens / 2 / this.speeds.blockTokens;
    }
}

/** A stream of tokens at a decode engine. */
export interface ModelStream {
    readonly tokens: number;
    readonly memoryTokens: number;
    readonly onFirst: (at: decision.Milliseconds) => void;
    /** Tells the time between tokens, once a few have come. */
    readonly onPace: (tokenMs: decision.Milliseconds) => void;
    readonly onEnd: (at: decision.Milliseconds) => void;
    /** Tells how many tokens came before the engine crashed. */
    readonly onCrash: (tokens: number) => void;
}

interface Running {
    readonly stream: ModelStream;
    readonly from: number;
    readonly startedAt: decision.Milliseconds;
    seen: number;
}

const PACE_TOKENS = 8;

/** One decode engine: all streams advance a token with each step, and a step takes longer the more streams there are. */
export class DecodeModel {
    readonly link: ModelLink;
    slowdown = 1;
    down = false;
    incarnation = 0;
    held = 0;
    private heldTokens = 0;
    private readonly running = new Set<Running>();
    private progress = 0;
    private progressAt: decision.Milliseconds = 0;
    private version = 0;
    private readonly queue: (() => boolean)[] = [];

    constructor(
        readonly name: string,
        private readonly clock: clocks.ModelClock,
        private readonly speeds: EngineSpeeds,
    ) {
        this.link = new ModelLink(speeds.linkBytesPerSecond);
    }

    get streams(): number {
        return this.running.size;
    }

    get memoryInUse(): number {
        return this.heldTokens;
    }

    /** Calls back once a slot and memory are taken; the callback may decline, and nothing is taken. */
    takeSlot(memoryTokens: number, taken: () => boolean): void {
        const attempt = () => {
            if (this.held >= this.speeds.slots || this.heldTokens + memoryTokens > this.speeds.memoryTokens) {
                return false;
            }
            if (taken()) {
                this.held++;
                this.heldTokens += memoryTokens;
            }
            return true;
        };
        if (this.down || this.queue.length > 0 || !attempt()) {
            this.queue.push(attempt);
        }
    }

    /** Gives a slot back. */
    giveSlot(memoryTokens: number): void {
        this.held--;
        this.heldTokens -= memoryTokens;
        while (!this.down && this.queue[0]?.()) {
            this.queue.shift();
        }
    }

    /** Starts a stream in a slot. Returns a function that ends it early. */
    start(stream: ModelStream): () => void {
        this.advance();
        const one: Running = { stream, from: this.progress, startedAt: this.clock.now, seen: 0 };
        this.running.add(one);
        this.plan();
        return () => {
            this.advance();
            this.running.delete(one);
            this.plan();
        };
    }

    /** Loses all streams and slots. */
    crash(): void {
        this.advance();
        const lost = [...this.running];
        this.running.clear();
        this.down = true;
        this.incarnation++;
        this.held = 0;
        this.heldTokens = 0;
        this.queue.length = 0;
        this.version++;
        lost.forEach((one) => one.stream.onCrash(Math.floor(this.progress - one.from)));
    }

    private stepMs(): decision.Milliseconds {
        return (this.speeds.stepMs + this.speeds.stepMsPerStream * this.running.size) * this.slowdown;
    }

    private advance(): void {
        this.progress += this.running.size > 0 ? (this.clock.now - this.progressAt) / this.stepMs() : 0;
        this.progressAt = this.clock.now;
    }

    /** Plans the next milestone of any stream; a change of the batch makes the plan void. */
    private plan(): void {
        const version = ++this.version;
        let next = Infinity;
        for (const one of this.running) {
            next = Math.min(next, one.from + milestone(one));
        }
        if (next < Infinity) {
            const wait = Math.max(0, next - this.progress) * this.stepMs();
            this.clock.at(this.clock.now + wait, () => {
                if (version === this.version) {
                    this.reach(next);
                }
            });
        }
    }

    private reach(progress: number): void {
        this.progress = progress;
        this.progressAt = this.clock.now;
        for (const one of [...this.running]) {
            while (this.running.has(one) && one.from + milestone(one) <= progress + 1e-9) {
                this.pass(one, milestone(one));
            }
        }
        this.plan();
    }

    private pass(one: Running, tokens: number): void {
        one.seen = tokens;
        if (tokens === 1) {
            one.stream.onFirst(this.clock.now);
        }
        if (tokens === PACE_TOKENS) {
            one.stream.onPace((this.clock.now - one.startedAt) / tokens);
        }
        if (tokens === one.stream.tokens) {
            this.running.delete(one);
            one.stream.onEnd(this.clock.now);
        }
    }
}

/** The next count of tokens at which a stream is looked at. */
function milestone(one: Running): number {
    const { seen, stream } = one;
    const next = seen < 1 ? 1 : seen < PACE_TOKENS ? PACE_TOKENS : stream.tokens;
    return Math.min(next, stream.tokens);
}
