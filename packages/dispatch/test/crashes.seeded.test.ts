import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

/** Crashes after which hosts have `LEARNING_MS` to stop sending the part; three more requests may reach engines. */
const CRASH_BOUND = 5;
const LEARNING_MS = 3_000;
const LATE_REQUESTS_BOUND = 3;
const DURATION_MS = 60_000;
/** From the start of a run to the crash that its prompt causes. */
const CRASH_DELAY_MS = 100;
/** Time after which a run is past its start. */
const START_MS = 200;
const MESSAGE_LOSS = 0.02;
const SERVICE = "model";

interface Run {
    readonly host: dispatch.CrashSuspects;
    readonly fingerprints: dispatch.Fingerprints;
    readonly startedAt: number;
    readonly crashing: boolean;
}

interface Result {
    readonly lateCrashingRuns: number;
    readonly soundRequests: number;
    readonly refusedSoundRequests: number;
}

/** A fleet whose engines crash on one prompt part, and sometimes many at once for another reason. */
class Fleet {
    private readonly random: decision.Random;
    private readonly hosts: dispatch.CrashSuspects[];
    private readonly engines: { incarnation: number; downUntil: number; runs: Set<Run>; }[];
    private readonly events: { readonly at: number; readonly act: () => void; }[] = [];
    private readonly crashTimes: number[] = [];
    private now = 0;
    private lastId = 0;
    private lateCrashingRuns = 0;
    private soundRequests = 0;
    private refusedSoundRequests = 0;

    constructor(seed: number, hostCount: number, engineCount: number) {
        this.random = decision.seeded(seed);
        this.hosts = Array.from({ length: hostCount }, () => new dispatch.CrashSuspects());
        this.engines = Array.from({ length: engineCount }, () => ({ incarnation: 1, downUntil: 0, runs: new Set() }));
    }

    run(requestsPerSecond: number, crashingPerSecond: number): Result {
        const crashingPartIsShallow = this.random.chance(0.5);
        this.arrive(requestsPerSecond, 0, () => {
            const route = this.random.integer(0, 2);
            return { parts: [`route-${route}`, `subject-${route}-${this.random.integer(0, 40)}`], crashing: false };
        });
        this.arrive(crashingPerSecond, 5_000, () => {
            const other = `subject-0-${this.random.integer(0, 40)}`;
            return { parts: crashingPartIsShallow ? ["bad", other] : ["route-0", "bad"], crashing: true };
        });
        for (let outage = 0; outage < 3; outage++) {
            const share = this.random.pick([0.25, 0.5, 1]);
            const at = this.random.integer(0, DURATION_MS);
            this.schedule(at, () => this.engines.forEach((_, index) => this.random.chance(share) && this.crash(index)));
        }
        while (this.events.length > 0 && this.now < DURATION_MS) {
            const next = this.events.reduce((first, event) => event.at < first.at ? event : first);
            this.events.splice(this.events.indexOf(next), 1);
            this.now = next.at;
            next.act();
        }
        const { lateCrashingRuns, soundRequests, refusedSoundRequests } = this;
        return { lateCrashingRuns, soundRequests, refusedSoundRequests };
    }

    private schedule(delayMs: number, act: () => void): void {
        this.events.push({ at: this.now + delayMs, act });
    }

    private arrive(perSecond: number, from: number, make: () => { parts: string[]; crashing: boolean; }): void {
        const next = () => {
            this.start(make());
            this.schedule(this.random.exponential(1_000 / perSecond), next);
        };
        this.schedule(from, next);
    }

    private start({ parts, crashing }: { parts: string[]; crashing: boolean; }): void {
        const host = this.random.pick(this.hosts);
        const fingerprints = { service: SERVICE, content: `content-${++this.lastId}`, parts };
        this.soundRequests += crashing ? 0 : 1;
        if (host.isBarred([fingerprints.content, ...parts], this.now)) {
            this.refusedSoundRequests += crashing ? 0 : 1;
            return;
        }
        const up = this.engines.flatMap((engine, index) => engine.downUntil <= this.now ? [index] : []);
        if (up.length === 0) {
            return;
        }
        const index = this.random.pick(up);
        const engine = this.engines[index] as Fleet["engines"][number];
        const run = { host, fingerprints, startedAt: this.now, crashing };
        engine.runs.add(run);
        if (crashing) {
            const fifth = this.crashTimes[CRASH_BOUND - 1];
            this.lateCrashingRuns += fifth !== undefined && this.now > fifth + LEARNING_MS ? 1 : 0;
            this.schedule(CRASH_DELAY_MS, () => {
                if (engine.runs.has(run)) {
                    this.crashTimes.push(this.now);
                    this.crash(index);
                }
            });
            return;
        }
        this.schedule(START_MS, () => {
            if (engine.runs.has(run)) {
                this.tellSound(run, host.recordStarted(fingerprints, this.now));
            }
        });
        this.schedule(this.random.integer(START_MS, 2_500), () => {
            if (engine.runs.delete(run)) {
                this.tellSound(run, host.recordServed(fingerprints, this.now));
            }
        });
    }

    private tellSound({ host }: Run, cleared: readonly string[]): void {
        if (cleared.length > 0) {
            this.tell(host, (other) => other.clear(cleared, this.now));
        }
        if (host.hasUndecided) {
            this.review(host);
        }
    }

    private review(host: dispatch.CrashSuspects): void {
        for (const fingerprint of host.review(this.now)) {
            this.tell(host, (other) => void other.bar(fingerprint, this.now));
        }
    }

    private record(host: dispatch.CrashSuspects, report: dispatch.CrashReport): void {
        host.recordCrash(report, this.now);
        if (host.hasUndecided) {
            this.schedule(dispatch.REVIEW_DELAY_MS, () => this.review(host));
        }
    }

    private crash(index: number): void {
        const engine = this.engines[index] as Fleet["engines"][number];
        const lost = [...engine.runs];
        engine.runs.clear();
        engine.downUntil = this.now + this.random.integer(2_000, 5_000);
        const incarnation = `${index}@${engine.incarnation++}`;
        for (const { host, fingerprints, startedAt } of lost) {
            const parts = this.now - startedAt <= START_MS ? fingerprints.parts : [];
            const report = { ...fingerprints, parts, incarnation, ranMs: this.now - startedAt };
            this.record(host, report);
            this.tell(host, (other) => this.record(other, report));
        }
    }

    /** Sends a message to the other hosts twice; each may be lost. */
    private tell(sender: dispatch.CrashSuspects, receive: (other: dispatch.CrashSuspects) => void): void {
        for (const other of this.hosts) {
            for (const delayMs of [1, 61]) {
                if (other !== sender && !this.random.chance(MESSAGE_LOSS)) {
                    this.schedule(delayMs, () => receive(other));
                }
            }
        }
    }
}

describe("CrashSuspects of a fleet", () => {
    for (const [name, hosts, engines, requestsPerSecond] of [["small", 9, 8, 13], ["large", 60, 30, 40]] as const) {
        for (const crashingPerSecond of [0.5, 1, 3]) {
            it(`stop a crashing part and serve sound requests: ${name} fleet, ${crashingPerSecond} a second`, () => {
                const seeds = Array.from({ length: name === "small" ? 12 : 2 }, (_, index) => index + 1);
                testing.forEachSeed(seeds, (seed) => {
                    const result = new Fleet(seed, hosts, engines).run(requestsPerSecond, crashingPerSecond);
                    chai.expect(result.lateCrashingRuns, "runs after the hosts could know").to.be.most(
                        LATE_REQUESTS_BOUND,
                    );
                    chai.expect(result.refusedSoundRequests / result.soundRequests, "sound refused").to.be.below(0.05);
                });
            });
        }
    }
});
