import * as decision from "@citronlead/decision";
import * as operations from "../src/index.js";

/** An open call at a simulated host, which may be killed or paused. */
interface SimulatedCall {
    readonly operation: string;
    readonly attempt: string;
    readonly host: number;
    state: operations.CallState;
    ended: boolean;
}

/** How often each outcome and fault occurred, so that a test can require that all were covered. */
export interface OutcomeCounts {
    answered: number;
    replayed: number;
    refusedNotRun: number;
    refusedUnknown: number;
    killed: number;
}

const HOSTS = 4;
const CLIENT_TIMEOUT_MS = 1_000;

/** Hosts with an unreliable key-value service and unreliable upstreams, on simulated time. */
export class Simulation {
    readonly counts: OutcomeCounts = { answered: 0, replayed: 0, refusedNotRun: 0, refusedUnknown: 0, killed: 0 };
    readonly checker = new operations.AtMostOnceChecker();
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

    /** Sends each operation several times through random hosts while faults occur. */
    run(durationMs: number, operationCount: number): void {
        for (let index = 0; index < operationCount; index++) {
            const firstAt = this.random.integer(0, durationMs);
            for (let repeat = this.random.integer(1, 5); repeat > 0; repeat--) {
                const at = firstAt + (this.random.chance(0.4) ? 0 : this.random.integer(0, 15_000));
                this.schedule(at, () => this.startCall(`operation-${index}`));
            }
        }
        for (let at = 0; at < durationMs; at += 500) {
            this.schedule(at, () => this.injectFaults());
        }
        const endsAt = durationMs + 15 * 60_000;
        for (this.now = 0; this.now <= endsAt; this.now++) {
            const due = this.queue.get(this.now);
            this.queue.delete(this.now);
            due?.forEach((callback) => callback());
        }
    }

    private schedule(time: number, callback: () => void): void {
        const tick = Math.max(this.now + 1, Math.ceil(time));
        this.queue.set(tick, [...(this.queue.get(tick) ?? []), callback]);
    }

    private injectFaults(): void {
        const host = this.random.integer(0, HOSTS - 1);
        if (this.random.chance(0.08)) {
            this.generation[host] = (this.generation[host] ?? 0) + 1;
            this.counts.killed++;
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

    private startCall(operation: string): void {
        const host = this.random.integer(0, HOSTS - 1);
        const attempt = `attempt-${this.attempts++}`;
        const settings: operations.CallSettings = {
            attempt,
            contentHash: "content",
            deadline: this.now + this.random.integer(300, 8_000),
            leaseEndsAt: this.now + operations.LEASE_MS,
        };
        const state = operations.operationModule.start(settings, this.now);
        const call: SimulatedCall = { operation, attempt, host, state, ended: false };
        this.scheduleEvent(call, { kind: operations.CallEventKind.Begin }, 0);
        this.scheduleEvent(call, { kind: operations.CallEventKind.Aborted }, settings.deadline - this.now);
    }

    /**
     * Delivers an event to a call after a delay. The event is dropped if the host was killed in the meantime, and
     * deferred until a paused host resumes.
     */
    private scheduleEvent(call: SimulatedCall, event: operations.CallEvent, delayMs: number): void {
        const generation = this.generation[call.host];
        const deliver = () => {
            const resumesAt = this.pausedUntil[call.host] ?? 0;
            if (this.generation[call.host] !== generation || call.ended) {
                return;
            }
            if (resumesAt > this.now) {
                this.schedule(resumesAt, deliver);
                return;
            }
            const next = operations.operationModule.decide(call.state, event, this.now);
            call.state = next.state;
            next.actions.forEach((action) => this.execute(call, action));
        };
        this.schedule(this.now + delayMs, deliver);
    }

    private execute(call: SimulatedCall, action: operations.CallAction): void {
        switch (action.kind) {
            case operations.CallActionKind.ConditionalWrite:
                return this.conditionalWrite(call, action.expectedRevision, action.record);
            case operations.CallActionKind.ReadRecord:
                return this.callKeyValue(
                    call,
                    () => ({ kind: operations.CallEventKind.ReadAnswered, current: this.read(call.operation) }),
                    () => ({ kind: operations.CallEventKind.ReadError }),
                );
            case operations.CallActionKind.Run:
                return this.callUpstream(call);
            case operations.CallActionKind.StartTimer:
                return this.scheduleEvent(call, { kind: operations.CallEventKind.TimerFired }, action.afterMs);
            case operations.CallActionKind.Answer:
                this.counts[action.replayed ? "replayed" : "answered"]++;
                return this.checker.recordAnswer(call.operation, action.answer.body);
            case operations.CallActionKind.Refuse:
                this.counts[action.mayHaveRun ? "refusedUnknown" : "refusedNotRun"]++;
                return action.mayHaveRun ? undefined : this.checker.recordReportedNotRun(call.operation, call.attempt);
            case operations.CallActionKind.End:
                call.ended = true;
        }
    }

    private read(key: string): operations.VersionedRecord | undefined {
        const entry = this.entries.get(key);
        return entry && { record: operations.parseRecord(entry.text), modRevision: entry.modRevision };
    }

    private conditionalWrite(call: SimulatedCall, expectedRevision: number, record: operations.OperationRecord): void {
        this.callKeyValue(call, () => {
            const current = this.read(call.operation);
            if ((current?.modRevision ?? 0) !== expectedRevision) {
                return {
                    kind: operations.CallEventKind.WriteAnswered,
                    succeeded: false,
                    revision: this.revision,
                    current,
                };
            }
            const modRevision = ++this.revision;
            this.entries.set(call.operation, { text: operations.serializeRecord(record), modRevision });
            return { kind: operations.CallEventKind.WriteAnswered, succeeded: true, revision: modRevision };
        }, (reached) => ({ kind: operations.CallEventKind.WriteUnanswered, reached }));
    }

    private callKeyValue(
        call: SimulatedCall,
        applyOnServer: () => operations.CallEvent,
        unansweredEvent: (reached: boolean) => operations.CallEvent,
    ): void {
        if (this.outageUntil > this.now && this.random.chance(0.5)) {
            this.scheduleEvent(call, unansweredEvent(false), 1);
            return;
        }
        const slow = this.slowUntil > this.now || this.random.chance(0.02);
        const arrivesAfterMs = slow ? this.random.integer(200, 4_000) : this.random.integer(1, 10);
        const requestLost = this.outageUntil > this.now || this.random.chance(0.02);
        const answerLost = this.random.chance(0.1);
        const answeredAfterMs = arrivesAfterMs + this.random.integer(1, 10);
        if (requestLost || answerLost || answeredAfterMs > CLIENT_TIMEOUT_MS) {
            this.scheduleEvent(call, unansweredEvent(true), Math.min(CLIENT_TIMEOUT_MS, answeredAfterMs));
        }
        if (requestLost) {
            return;
        }
        this.schedule(this.now + arrivesAfterMs, () => {
            const event = applyOnServer();
            if (!answerLost && answeredAfterMs <= CLIENT_TIMEOUT_MS) {
                this.scheduleEvent(call, event, answeredAfterMs - arrivesAfterMs);
            }
        });
    }

    private callUpstream(call: SimulatedCall): void {
        const runEnded = (result: operations.RunKind, answer?: operations.StoredAnswer): operations.CallEvent => ({
            kind: operations.CallEventKind.RunEnded,
            result,
            answer,
        });
        if (this.random.chance(0.1)) {
            this.scheduleEvent(call, runEnded(operations.RunKind.NotRun), this.random.integer(1, 20));
            return;
        }
        const runMs = this.random.integer(5, this.random.chance(0.2) ? 6_000 : 300);
        if (this.random.chance(0.05)) {
            this.scheduleEvent(call, runEnded(operations.RunKind.Unknown), runMs);
            return;
        }
        this.schedule(this.now + this.random.integer(1, 5), () => this.checker.recordRun(call.operation, call.attempt));
        const body = `answer to ${call.attempt}`;
        const answer = { status: 200, contentType: "text/plain", body };
        const answerLost = this.random.chance(0.1);
        this.scheduleEvent(
            call,
            answerLost ? runEnded(operations.RunKind.Unknown) : runEnded(operations.RunKind.Answered, answer),
            runMs + 5,
        );
    }
}
