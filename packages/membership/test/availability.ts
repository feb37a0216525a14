import * as decision from "@citronlead/decision";
import * as fleets from "./fleet.js";

/** A fault, and how long the key-value service is unavailable after it, in milliseconds. */
export interface Scenario {
    readonly name: string;
    readonly outageMs: number;
    readonly begin: (fleet: fleets.SimulatedFleet) => void;
}

/** The availability of the partitions in one run. */
export interface Availability {
    /** The mean share of partitions with an acting owner, from the fault to one minute after the outage. */
    readonly share: number;
    /** The lowest share in any sample. */
    readonly lowest: number;
    /** The time during which some partition had no acting owner, in milliseconds. */
    readonly incompleteMs: number;
}

const PARTITIONS = Array.from(
    { length: 9 },
    (_, bucket) => [`slice-0-${bucket}`, `slice-1-${bucket}`, `slice-2-${bucket}`, `pool-${bucket}`],
).flat();
const HOSTS = 9;
const ZONES = 3;
const SETTLE_MS = 60_000;
const AFTER_MS = 60_000;
const SAMPLE_MS = 100;

function kill(fleet: fleets.SimulatedFleet, count: number): void {
    fleet.hosts.slice(0, count).forEach((host) => fleet.kill(host));
}

function killZone(fleet: fleets.SimulatedFleet): void {
    fleet.hosts.filter((host) => host.settings.availabilityZone === "zone-0").forEach((host) => fleet.kill(host));
}

const MINUTE_MS = 60_000;
const OUTAGES = [
    { name: "1 minute", outageMs: MINUTE_MS },
    { name: "10 minutes", outageMs: 10 * MINUTE_MS },
    { name: "1 hour", outageMs: 60 * MINUTE_MS },
];

/** The scenarios of the table in docs/design/takeover.md. */
export const SCENARIOS: readonly Scenario[] = [
    { name: "one host dies", outageMs: 0, begin: (fleet) => kill(fleet, 1) },
    { name: "one availability zone dies", outageMs: 0, begin: killZone },
    ...OUTAGES.map(({ name, outageMs }) => ({
        name: `service away ${name}`,
        outageMs,
        begin: () => undefined,
    })),
    ...OUTAGES.map(({ name, outageMs }) => ({
        name: `service away ${name}, one host dies`,
        outageMs,
        begin: (fleet: fleets.SimulatedFleet) => kill(fleet, 1),
    })),
];

/** Runs one scenario on nine hosts in three availability zones. */
export function measure(seed: number, scenario: Scenario, successorLimit: number): Availability {
    const fleet = new fleets.SimulatedFleet(decision.seeded(seed), {
        hosts: HOSTS,
        zones: ZONES,
        partitions: PARTITIONS,
        slowShare: 0.01,
        lossShare: 0.001,
        successorLimit,
    });
    fleet.runUntil(SETTLE_MS);
    scenario.begin(fleet);
    fleet.outageUntil = fleet.now + scenario.outageMs;
    const endsAt = fleet.outageUntil + AFTER_MS;
    const samples: number[] = [];
    while (fleet.now < endsAt) {
        fleet.runUntil(fleet.now + SAMPLE_MS);
        samples.push(fleet.actingShare());
    }
    return {
        share: samples.reduce((sum, sample) => sum + sample, 0) / samples.length,
        lowest: Math.min(...samples),
        incompleteMs: samples.filter((sample) => sample < 1).length * SAMPLE_MS,
    };
}
