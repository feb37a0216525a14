import * as decision from "@citronlead/decision";
import * as operations from "../src/index.js";

/** A call as the world keeps it: its host may be killed or paused. */
interface LiveCall {
    readonly operation: string;
    readonly attempt: string;
    readonly host: number;
    state: operations.CallState;
    ended: boolean;
}

/** What the world did, for statements about coverage. */
export interface Tally {
    answered: number;
    replayed: number;
    refusedNotRun: number;
    refusedUnknown: number;
    killed: number;
}

const HOSTS = 4;
const CLIENT_TIMEOUT_MS = 1_000;

/** A small fleet with a faulty key-value service and faulty upstreams, on simulated time. */
export class World {
    readonly tally: Tally = { answered: 0, replayed: 0, refusedNotRun: 0, refusedUnknown: 0, killed: 0 };
    readonly ledger = new operations.RunLedger();
    private readonly random: decision.Random;
    private readonly entries = new Map<string, { text: string; modRevision: number; }>();
    private readonly pausedUntil = new Array<number>(HOSTS).fill(0);
    private readonly generation = new Array<number>(HOSTS).fill(0);
    private readonly queue = new Map<number, (() => void)[]>();
    private revision = 0;
    private outageUntil = 0;
    private slowUntil = 0;
    private attempts = 0;
    private now = 0;

    constructor(seed: number) {
        this.random = decision.seeded(seed);
    }

    /** Runs operations with repeated calls through random hosts, and faults, for a time in milliseconds. */
    run(durationMs: number, operationCount: number): void {
        for (let index = 0; index < operationCount; index++) {
            const firstAt = this.random.integer(0, durationMs);
            for (let repeat = this.random.integer(1, 5); repeat > 0; repeat--) {
                const at = firstAt + (this.random.chance(0.4) ? 0 : this.random.integer(0, 15_000));
                this.at(at, () => this.arrive(`operation-${index}`));
            }
        }
        for (let at = 0; at < durationMs; at += 500) {
            this.at(at, () => this.misbehave());
        }
        const endsAt = durationMs + 15 * 60_000;
        for (this.now = 0; this.now <= endsAt; this.now++) {
            const due = this.queue.get(this.now);
            this.queue.delete(this.now);
            due?.forEach((callback) => callback());
        }
    }

    private at(time: number, callback: () => void): void {
        const tick = Math.max(this.now + 1, Math.ceil(time));
        this.queue.set(tick, [...(this.queue.get(tick) ?? []), callback]);
    }

    private misbehave(): void {
        const host = this.random.integer(0, HOSTS - 1);
        if (this.random.chance(0.08)) {
            this.generation[host] = (this.generation[host] ?? 0) + 1;
            this.tally.killed++;
        }
        if (this.random.chance(0.1)) {
            this.pausedUntil[host] = this.now + this.random.integer(10, 20_000);
        }
        if (this.random.chance(0.04)) {
            this.outageUntil = this.now + this.random.integer(100, 10_000);
        }
        if (this.random.chance(0.05)) {
            this.slowUntil = this.now + this.random.integer(100, 5_000);
        }
    }

    private arrive(operation: string): void {
        const host = this.random.integer(0, HOSTS - 1);
        const attempt = `attempt-${this.attempts++}`;
        const settings: operations.CallSettings = {
            attempt,
            contentHash: "content",
            deadline: this.now + this.random.integer(300, 8_000),
            leaseEndsAt: this.now + operations.LEASE_MS,
        };
        const state = operations.operationModule.start(settings, this.now);
        const live: LiveCall = { operation, attempt, host, state, ended: false };
        this.tellHost(live, { kind: operations.CallEventKind.Begin }, 0);
        this.tellHost(live, { kind: operations.CallEventKind.CallerLeft }, settings.deadline - this.now);
    }

    /** Tells a call something after a delay, unless its host is killed before; a paused host learns it when it wakes. */
    private tellHost(live: LiveCall, event: operations.CallEvent, delayMs: number): void {
        const generation = this.generation[live.host];
        const deliver = () => {
            const wakes = this.pausedUntil[live.host] ?? 0;
            if (this.generation[live.host] !== generation || live.ended) {
                return;
            }
            if (wakes > this.now) {
                this.at(wakes, deliver);
                return;
            }
            const next = operations.operationModule.decide(live.state, event, this.now);
            live.state = next.state;
            next.actions.forEach((action) => this.carryOut(live, action));
        };
        this.at(this.now + delayMs, deliver);
    }

    private carryOut(live: LiveCall, action: operations.CallAction): void {
        switch (action.kind) {
            case operations.CallActionKind.Swap:
                return this.swap(live, action.expectedRevision, action.record);
            case operations.CallActionKind.Read:
                return this.callService(
                    live,
                    () => ({ kind: operations.CallEventKind.Read, current: this.read(live.operation) }),
                    () => ({ kind: operations.CallEventKind.ReadLost }),
                );
            case operations.CallActionKind.Run:
                return this.callUpstream(live);
            case operations.CallActionKind.Wake:
                return this.tellHost(live, { kind: operations.CallEventKind.Woken }, action.afterMs);
            case operations.CallActionKind.Answer:
                this.tally[action.replayed ? "replayed" : "answered"]++;
                return this.ledger.noteAnswer(live.operation, action.answer.body);
            case operations.CallActionKind.Refuse:
                this.tally[action.mayHaveRun ? "refusedUnknown" : "refusedNotRun"]++;
                return action.mayHaveRun ? undefined : this.ledger.noteToldNotRun(live.operation, live.attempt);
            case operations.CallActionKind.End:
                live.ended = true;
        }
    }

    private read(key: string): operations.VersionedRecord | undefined {
        const entry = this.entries.get(key);
        return entry && { record: operations.readRecord(entry.text), modRevision: entry.modRevision };
    }

    private swap(live: LiveCall, expected: number, record: operations.OperationRecord): void {
        this.callService(live, () => {
            const current = this.read(live.operation);
            if ((current?.modRevision ?? 0) !== expected) {
                return { kind: operations.CallEventKind.Swapped, succeeded: false, revision: this.revision, current };
            }
            const modRevision = ++this.revision;
            this.entries.set(live.operation, { text: operations.writeRecord(record), modRevision });
            return { kind: operations.CallEventKind.Swapped, succeeded: true, revision: modRevision };
        }, (reached) => ({ kind: operations.CallEventKind.SwapLost, reached }));
    }

    private callService(
        live: LiveCall,
        effect: () => operations.CallEvent,
        lost: (reached: boolean) => operations.CallEvent,
    ): void {
        if (this.outageUntil > this.now && this.random.chance(0.5)) {
            this.tellHost(live, lost(false), 1);
            return;
        }
        const slow = this.slowUntil > this.now || this.random.chance(0.02);
        const arrives = slow ? this.random.integer(200, 4_000) : this.random.integer(1, 10);
        const swallowed = this.outageUntil > this.now || this.random.chance(0.02);
        const answerLost = this.random.chance(0.1);
        const answered = arrives + this.random.integer(1, 10);
        if (swallowed || answerLost || answered > CLIENT_TIMEOUT_MS) {
            this.tellHost(live, lost(true), Math.min(CLIENT_TIMEOUT_MS, answered));
        }
        if (swallowed) {
            return;
        }
        this.at(this.now + arrives, () => {
            const event = effect();
            if (!answerLost && answered <= CLIENT_TIMEOUT_MS) {
                this.tellHost(live, event, answered - arrives);
            }
        });
    }

    private callUpstream(live: LiveCall): void {
        const ended = (result: operations.RunKind, answer?: operations.StoredAnswer): operations.CallEvent => ({
            kind: operations.CallEventKind.RunEnded,
            result,
            answer,
        });
        if (this.random.chance(0.1)) {
            this.tellHost(live, ended(operations.RunKind.NotRun), this.random.integer(1, 20));
            return;
        }
        const lasts = this.random.integer(5, this.random.chance(0.2) ? 6_000 : 300);
        if (this.random.chance(0.05)) {
            this.tellHost(live, ended(operations.RunKind.Unknown), lasts);
            return;
        }
        this.at(this.now + this.random.integer(1, 5), () => this.ledger.noteRun(live.operation, live.attempt));
        const body = `answer to ${live.attempt}`;
        const answer = { status: 200, contentType: "text/plain", body };
        const answerLost = this.random.chance(0.1);
        this.tellHost(
            live,
            answerLost ? ended(operations.RunKind.Unknown) : ended(operations.RunKind.Answered, answer),
            lasts + 5,
        );
    }
}
