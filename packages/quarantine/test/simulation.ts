import * as decision from "@citronlead/decision";
import * as quarantine from "../src/index.js";

/** What the caller of the harmful content does. */
export interface WorldOptions {
    /** How many copies its caller has under way at a time. */
    readonly copies: number;
    /** Whether the key-value service is away, so that hosts that restart know nothing. */
    readonly outage: boolean;
    /** Hosts restart with this probability a second. */
    readonly restartRate: number;
}

interface Run {
    readonly fingerprint: string;
    readonly host: number;
    readonly triesLeft: number;
    readonly done: (served: boolean) => void;
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
const TRIES = 3;
const TICK_MS = 250;

/** The content that crashes every engine that runs it. */
export const HARMFUL = "harmful";

/** A pool of engines, hosts that keep the quarantine, innocents and one harmful content, on simulated time. */
export class World {
    readonly ledger: quarantine.QuarantineLedger;
    served = 0;
    failed = 0;
    /** Engine time lost to crashes, in milliseconds. */
    lostMs = 0;
    private readonly random: decision.Random;
    private readonly queue = new Map<number, (() => void)[]>();
    private readonly states: quarantine.QuarantineState[] = [];
    private readonly kept = new Map<string, quarantine.QuarantineEvent>();
    private readonly engines: Engine[] = [];
    private now = 0;
    private requests = 0;

    constructor(seed: number, private readonly options: WorldOptions, crashBound: number) {
        this.random = decision.seeded(seed);
        this.ledger = new quarantine.QuarantineLedger(crashBound, (fingerprint) => fingerprint === HARMFUL);
        for (let host = 0; host < HOSTS; host++) {
            this.states.push(quarantine.quarantineModule.start({ host: `host-${host}` }, 0));
        }
        for (let index = 0; index < ENGINES; index++) {
            this.engines.push({ name: `engine-${index}`, incarnation: 1, upAt: 0, running: [] });
        }
    }

    run(durationMs: number, innocentsPerSecond: number): void {
        for (let host = 0; host < HOSTS; host++) {
            this.tickHost(host);
        }
        for (let at = 0; at < durationMs; at += this.random.exponential(1_000 / innocentsPerSecond)) {
            this.at(at, () => this.arrive());
        }
        for (let copy = 0; copy < this.options.copies; copy++) {
            this.at(5_000, () => this.sendHarmful());
        }
        for (let at = 1_000; at < durationMs; at += 1_000) {
            this.at(at, () => this.restart());
        }
        for (this.now = 0; this.now < durationMs; this.now++) {
            const due = this.queue.get(this.now);
            this.queue.delete(this.now);
            due?.forEach((callback) => callback());
        }
    }

    private at(time: number, callback: () => void): void {
        const tick = Math.max(this.now + 1, Math.ceil(time));
        this.queue.set(tick, [...(this.queue.get(tick) ?? []), callback]);
    }

    private tickHost(host: number): void {
        this.tell(host, { kind: quarantine.QuarantineEventKind.Tick });
        this.at(this.now + TICK_MS, () => this.tickHost(host));
    }

    private restart(): void {
        if (!this.random.chance(this.options.restartRate)) {
            return;
        }
        const host = this.random.integer(0, HOSTS - 1);
        this.states[host] = quarantine.quarantineModule.start({ host: `host-${host}` }, this.now);
        if (!this.options.outage) {
            this.kept.forEach((event) => this.tell(host, event));
        }
        for (let other = 0; other < HOSTS; other++) {
            if (other !== host && this.random.chance(0.4)) {
                const event = { kind: quarantine.QuarantineEventKind.Asked, peer: String(host) } as const;
                this.at(this.now + this.random.integer(1, 20), () => this.tell(other, event));
            }
        }
    }

    private arrive(): void {
        const fingerprint = `innocent-${this.requests++}`;
        const host = this.random.integer(0, HOSTS - 1);
        this.place({
            fingerprint,
            host,
            triesLeft: TRIES,
            done: (served) => served ? this.served++ : this.failed++,
        });
    }

    /** The caller of the harmful content sends it again at once, through any host, whatever the answer is. */
    private sendHarmful(): void {
        const host = this.random.integer(0, HOSTS - 1);
        const again = () => this.at(this.now + this.random.integer(1, 300), () => this.sendHarmful());
        this.place({ fingerprint: HARMFUL, host, triesLeft: TRIES, done: again });
    }

    private place(run: Run): void {
        const { standing } = quarantine.verdict(this.state(run.host), run.fingerprint, this.now);
        if (standing === quarantine.Standing.Quarantined || run.triesLeft === 0) {
            run.done(false);
            return;
        }
        const suspect = standing === quarantine.Standing.Suspect;
        const usable = this.engines.filter((engine) =>
            engine.upAt <= this.now && engine.running.length < SLOTS && !(suspect && this.hasSuspect(engine))
        );
        if (usable.length === 0) {
            this.at(this.now + 100, () => this.place(run));
            return;
        }
        const engine = this.random.pick(usable);
        const { incarnation } = engine;
        engine.running.push(run);
        const harmful = run.fingerprint === HARMFUL;
        const lasts = harmful ? this.random.integer(10, 600) : this.random.integer(200, 5_000);
        this.at(this.now + lasts, () => {
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
        const state = this.states[host];
        decision.invariant(state !== undefined, "the host is there");
        return state;
    }

    private finish(engine: Engine, run: Run): void {
        engine.running = engine.running.filter((candidate) => candidate !== run);
        this.tell(run.host, { kind: quarantine.QuarantineEventKind.RanWhole, fingerprint: run.fingerprint });
        run.done(true);
    }

    private crash(engine: Engine): void {
        const broken = engine.running;
        const crashed = String(engine.incarnation);
        engine.running.filter((run) => run.fingerprint === HARMFUL).forEach(() => this.ledger.noteCrash(HARMFUL));
        engine.incarnation++;
        engine.running = [];
        engine.upAt = this.now + RESTART_MS;
        this.lostMs += RESTART_MS;
        const hosts = new Set(broken.map((run) => run.host));
        for (const host of hosts) {
            const own = broken.filter((run) => run.host === host);
            const fingerprints = [...new Set(own.map((run) => run.fingerprint))];
            const foundAfter = this.random.integer(2, 30);
            this.at(this.now + foundAfter, () => {
                this.tell(host, {
                    kind: quarantine.QuarantineEventKind.Crashed,
                    upstream: engine.name,
                    incarnation: this.random.chance(0.3) ? "" : crashed,
                    fingerprints,
                    own: true,
                });
                own.forEach((run) => this.place({ ...run, triesLeft: run.triesLeft - 1 }));
            });
        }
    }

    private tell(host: number, event: quarantine.QuarantineEvent): void {
        const former = this.state(host);
        const next = quarantine.quarantineModule.decide(former, event, this.now);
        this.states[host] = next.state;
        this.checkQuarantined(former, next.state);
        for (const action of next.actions) {
            this.carryOut(host, action);
        }
    }

    private checkQuarantined(former: quarantine.QuarantineState, next: quarantine.QuarantineState): void {
        if (former.suspects === next.suspects) {
            return;
        }
        for (const [fingerprint, suspect] of next.suspects) {
            if (suspect.quarantinedUntil > this.now) {
                this.ledger.noteQuarantined(fingerprint);
            }
        }
    }

    private carryOut(host: number, action: quarantine.QuarantineAction): void {
        switch (action.kind) {
            case quarantine.QuarantineActionKind.Report:
                this.tellOthers(host, { ...action, kind: quarantine.QuarantineEventKind.Crashed, own: false }, 0);
                this.tellOthers(host, { ...action, kind: quarantine.QuarantineEventKind.Crashed, own: false }, 400);
                return;
            case quarantine.QuarantineActionKind.Clear:
                return this.tellOthers(host, { ...action, kind: quarantine.QuarantineEventKind.Cleared }, 0);
            case quarantine.QuarantineActionKind.Tell: {
                const event = { ...action, kind: quarantine.QuarantineEventKind.Quarantined } as const;
                this.at(this.now + this.random.integer(1, 20), () => this.tell(Number(action.peer), event));
                return;
            }
            case quarantine.QuarantineActionKind.Quarantine: {
                const event = { ...action, kind: quarantine.QuarantineEventKind.Quarantined } as const;
                this.kept.set(action.fingerprint, event);
                return this.tellOthers(host, event, 0);
            }
        }
    }

    private tellOthers(host: number, event: quarantine.QuarantineEvent, afterMs: number): void {
        for (let other = 0; other < HOSTS; other++) {
            if (other !== host && !this.random.chance(0.02)) {
                const late = this.random.chance(0.02) ? this.random.integer(50, 1_000) : this.random.integer(1, 20);
                this.at(this.now + afterMs + late, () => this.tell(other, event));
            }
        }
    }
}
