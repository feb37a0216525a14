import * as decision from "@citronlead/decision";
import * as quarantine from "../src/index.js";

/** How the harmful content is sent, and which faults occur besides. */
export interface SimulationOptions {
    /** The number of copies of the harmful content that its caller has in flight at a time. */
    readonly copies: number;
    /** Whether the key-value service is unreachable, so that restarted hosts cannot load stored quarantines. */
    readonly outage: boolean;
    /** The probability per second that one of the hosts restarts. */
    readonly restartRate: number;
}

interface Run {
    readonly fingerprint: string;
    readonly host: number;
    readonly attemptsLeft: number;
    readonly onEnd: (served: boolean) => void;
}

interface Engine {
    readonly name: string;
    incarnation: number;
    upAt: number;
    running: Run[];
}

const HOSTS = 9;
const ENGINES = 13;
const SLOTS = 20;
const RESTART_MS = 10_000;
const MAX_ATTEMPTS = 3;
const TICK_MS = 250;

/** The content that crashes every engine that runs it. */
export const HARMFUL = "harmful";

/** A pool of engines and the hosts that send it many harmless contents and one harmful one, on simulated time. */
export class Simulation {
    readonly checker: quarantine.QuarantineChecker;
    served = 0;
    failed = 0;
    /** Engine time lost to crashes, in milliseconds. */
    lostMs = 0;
    private readonly random: decision.Random;
    private readonly queue = new Map<number, (() => void)[]>();
    private readonly hostStates: quarantine.QuarantineState[] = [];
    private readonly storedQuarantines = new Map<string, quarantine.QuarantineEvent>();
    private readonly engines: Engine[] = [];
    private now = 0;
    private requests = 0;

    constructor(seed: number, private readonly options: SimulationOptions, maxCrashes: number) {
        this.random = decision.seeded(seed);
        this.checker = new quarantine.QuarantineChecker(maxCrashes, (fingerprint) => fingerprint === HARMFUL);
        for (let host = 0; host < HOSTS; host++) {
            this.hostStates.push(quarantine.quarantineModule.start({ host: `host-${host}` }, 0));
        }
        for (let index = 0; index < ENGINES; index++) {
            this.engines.push({ name: `engine-${index}`, incarnation: 1, upAt: 0, running: [] });
        }
    }

    run(durationMs: number, harmlessPerSecond: number): void {
        for (let host = 0; host < HOSTS; host++) {
            this.tickHost(host);
        }
        for (let at = 0; at < durationMs; at += this.random.exponential(1_000 / harmlessPerSecond)) {
            this.schedule(at, () => this.sendHarmless());
        }
        for (let copy = 0; copy < this.options.copies; copy++) {
            this.schedule(5_000, () => this.sendHarmful());
        }
        for (let at = 1_000; at < durationMs; at += 1_000) {
            this.schedule(at, () => this.maybeRestartHost());
        }
        for (this.now = 0; this.now < durationMs; this.now++) {
            const due = this.queue.get(this.now);
            this.queue.delete(this.now);
            due?.forEach((callback) => callback());
        }
    }

    private schedule(time: number, callback: () => void): void {
        const tick = Math.max(this.now + 1, Math.ceil(time));
        this.queue.set(tick, [...(this.queue.get(tick) ?? []), callback]);
    }

    private tickHost(host: number): void {
        this.deliver(host, { kind: quarantine.QuarantineEventKind.Tick });
        this.schedule(this.now + TICK_MS, () => this.tickHost(host));
    }

    private maybeRestartHost(): void {
        if (!this.random.chance(this.options.restartRate)) {
            return;
        }
        const host = this.random.integer(0, HOSTS - 1);
        this.hostStates[host] = quarantine.quarantineModule.start({ host: `host-${host}` }, this.now);
        if (!this.options.outage) {
            this.storedQuarantines.forEach((event) => this.deliver(host, event));
        }
        for (let other = 0; other < HOSTS; other++) {
            if (other !== host && this.random.chance(0.4)) {
                const event = {
                    kind: quarantine.QuarantineEventKind.QuarantinesRequested,
                    peer: String(host),
                } as const;
                this.schedule(this.now + this.random.integer(1, 20), () => this.deliver(other, event));
            }
        }
    }

    private sendHarmless(): void {
        const fingerprint = `harmless-${this.requests++}`;
        const host = this.random.integer(0, HOSTS - 1);
        this.assign({
            fingerprint,
            host,
            attemptsLeft: MAX_ATTEMPTS,
            onEnd: (served) => served ? this.served++ : this.failed++,
        });
    }

    /**
     * Sends the harmful content. Its caller resends it almost at once through a random host, whatever the response is.
     */
    private sendHarmful(): void {
        const host = this.random.integer(0, HOSTS - 1);
        const resend = () => this.schedule(this.now + this.random.integer(1, 300), () => this.sendHarmful());
        this.assign({ fingerprint: HARMFUL, host, attemptsLeft: MAX_ATTEMPTS, onEnd: resend });
    }

    private assign(run: Run): void {
        const { standing } = quarantine.verdict(this.state(run.host), run.fingerprint, this.now);
        if (standing === quarantine.Standing.Quarantined || run.attemptsLeft === 0) {
            run.onEnd(false);
            return;
        }
        const suspect = standing === quarantine.Standing.Suspect;
        const usable = this.engines.filter((engine) =>
            engine.upAt <= this.now && engine.running.length < SLOTS && !(suspect && this.hasSuspect(engine))
        );
        if (usable.length === 0) {
            this.schedule(this.now + 100, () => this.assign(run));
            return;
        }
        const engine = this.random.pick(usable);
        const { incarnation } = engine;
        engine.running.push(run);
        const harmful = run.fingerprint === HARMFUL;
        const runMs = harmful ? this.random.integer(10, 600) : this.random.integer(200, 5_000);
        this.schedule(this.now + runMs, () => {
            if (engine.incarnation === incarnation) {
                (harmful ? () => this.crash(engine) : () => this.finish(engine, run))();
            }
        });
    }

    private hasSuspect(engine: Engine): boolean {
        return engine.running.some((run) =>
            quarantine.verdict(this.state(run.host), run.fingerprint, this.now).standing !== quarantine.Standing.Clear
        );
    }

    private state(host: number): quarantine.QuarantineState {
        const state = this.hostStates[host];
        decision.invariant(state !== undefined, "every host has a state");
        return state;
    }

    private finish(engine: Engine, run: Run): void {
        engine.running = engine.running.filter((candidate) => candidate !== run);
        this.deliver(run.host, { kind: quarantine.QuarantineEventKind.Completed, fingerprint: run.fingerprint });
        run.onEnd(true);
    }

    private crash(engine: Engine): void {
        const interrupted = engine.running;
        const crashedIncarnation = String(engine.incarnation);
        engine.running.filter((run) => run.fingerprint === HARMFUL).forEach(() => this.checker.recordCrash(HARMFUL));
        engine.incarnation++;
        engine.running = [];
        engine.upAt = this.now + RESTART_MS;
        this.lostMs += RESTART_MS;
        const hosts = new Set(interrupted.map((run) => run.host));
        for (const host of hosts) {
            const ownRuns = interrupted.filter((run) => run.host === host);
            const fingerprints = [...new Set(ownRuns.map((run) => run.fingerprint))];
            const detectedAfterMs = this.random.integer(2, 30);
            this.schedule(this.now + detectedAfterMs, () => {
                this.deliver(host, {
                    kind: quarantine.QuarantineEventKind.Crashed,
                    upstream: engine.name,
                    incarnation: this.random.chance(0.3) ? "" : crashedIncarnation,
                    fingerprints,
                    own: true,
                });
                ownRuns.forEach((run) => this.assign({ ...run, attemptsLeft: run.attemptsLeft - 1 }));
            });
        }
    }

    private deliver(host: number, event: quarantine.QuarantineEvent): void {
        const previous = this.state(host);
        const next = quarantine.quarantineModule.decide(previous, event, this.now);
        this.hostStates[host] = next.state;
        this.checkQuarantined(previous, next.state);
        for (const action of next.actions) {
            this.execute(host, action);
        }
    }

    private checkQuarantined(previous: quarantine.QuarantineState, next: quarantine.QuarantineState): void {
        if (previous.suspects === next.suspects) {
            return;
        }
        for (const [fingerprint, suspect] of next.suspects) {
            if (suspect.quarantinedUntil > this.now) {
                this.checker.recordQuarantine(fingerprint);
            }
        }
    }

    private execute(host: number, action: quarantine.QuarantineAction): void {
        switch (action.kind) {
            case quarantine.QuarantineActionKind.ReportCrash:
                this.broadcast(host, { ...action, kind: quarantine.QuarantineEventKind.Crashed, own: false }, 0);
                this.broadcast(host, { ...action, kind: quarantine.QuarantineEventKind.Crashed, own: false }, 400);
                return;
            case quarantine.QuarantineActionKind.AnnounceClearance:
                return this.broadcast(host, { ...action, kind: quarantine.QuarantineEventKind.Cleared }, 0);
            case quarantine.QuarantineActionKind.SendQuarantine: {
                const event = { ...action, kind: quarantine.QuarantineEventKind.Quarantined } as const;
                this.schedule(this.now + this.random.integer(1, 20), () => this.deliver(Number(action.peer), event));
                return;
            }
            case quarantine.QuarantineActionKind.AnnounceQuarantine: {
                const event = { ...action, kind: quarantine.QuarantineEventKind.Quarantined } as const;
                this.storedQuarantines.set(action.fingerprint, event);
                return this.broadcast(host, event, 0);
            }
        }
    }

    private broadcast(host: number, event: quarantine.QuarantineEvent, afterMs: number): void {
        for (let other = 0; other < HOSTS; other++) {
            if (other !== host && !this.random.chance(0.02)) {
                const latencyMs = this.random.chance(0.02)
                    ? this.random.integer(50, 1_000)
                    : this.random.integer(1, 20);
                this.schedule(this.now + afterMs + latencyMs, () => this.deliver(other, event));
            }
        }
    }
}
