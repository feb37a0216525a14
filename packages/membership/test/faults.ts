import type * as decision from "@citronlead/decision";
import * as membership from "../src/index.js";
import * as fleets from "./fleet.js";

/** The partitions of the runs: all kinds, few of each. */
export const PARTITIONS: readonly string[] = [
    "slice-0-1",
    "slice-0-2",
    "slice-1-1",
    "slice-1-2",
    "slice-2-1",
    "slice-2-2",
    "pool-1",
    "pool-2",
];

const RUN_MS = 240_000;
const SETTLE_MS = 5_000;
const FAULT_PAUSE_MS = 3_000;
const LONGEST_FAULT_MS = 30_000;
/** How many faults last about as long as a lease, when most can go wrong. */
const LEASE_LONG_SHARE = 0.4;

/** What one run saw. */
export interface RunResult {
    /** The mean share of partitions for which some host could act. */
    readonly actingShare: number;
}

/** Runs a fleet of 4 to 9 hosts under random faults. The checks inside throw. */
export function runWithFaults(random: decision.Random, omit?: readonly membership.Rule[]): RunResult {
    const fleet = new fleets.SimulatedFleet(random, {
        hosts: random.integer(4, 9),
        zones: 3,
        partitions: PARTITIONS,
        omit,
        slowShare: random.pick([0.01, 0.1, 0.4]),
        lossShare: random.pick([0, 0.02, 0.1]),
    });
    fleet.runUntil(SETTLE_MS);
    let sum = 0;
    let steps = 0;
    while (fleet.now < RUN_MS) {
        breakSomething(fleet, random);
        fleet.runUntil(fleet.now + random.exponential(FAULT_PAUSE_MS));
        sum += fleet.acting();
        steps++;
    }
    return { actingShare: sum / steps };
}

function breakSomething(fleet: fleets.SimulatedFleet, random: decision.Random): void {
    const running = fleet.hosts.filter((host) => host.alive && !host.left);
    const host = random.pick(running.length > 0 ? running : fleet.hosts);
    const durationMs = random.chance(LEASE_LONG_SHARE)
        ? membership.DEFAULT_TIMING.leaseMs * (0.9 + random.fraction() / 2)
        : random.exponential(LONGEST_FAULT_MS / 3);
    const endsAt = fleet.now + durationMs;
    const fault = random.pick(FAULTS);
    fault(fleet, host, endsAt, random);
}

type Fault = (
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
) => void;

const FAULTS: readonly Fault[] = [
    killAndRestart,
    pause,
    pause,
    cutFromService,
    cutFromService,
    cutBetweenHosts,
    cutBetweenHosts,
    cutFromAll,
    outage,
    stopAndStart,
    replacePaused,
    island,
    island,
    zoneWithoutService,
];

function restart(fleet: fleets.SimulatedFleet, host: fleets.SimulatedHost, random: decision.Random): void {
    const { settings } = host;
    const address = random.chance(0.5) ? settings.peerAddress : `${settings.peerAddress}${fleet.hosts.length}`;
    fleet.start(settings.host, settings.availabilityZone, address);
}

function killAndRestart(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    fleet.kill(host);
    fleet.at(endsAt, () => restart(fleet, host, random));
}

function pause(fleet: fleets.SimulatedFleet, host: fleets.SimulatedHost, endsAt: number): void {
    fleet.pause(host, endsAt - fleet.now);
}

function cutFromService(_fleet: fleets.SimulatedFleet, host: fleets.SimulatedHost, endsAt: number): void {
    host.cutFromServiceUntil = Math.max(endsAt, host.cutFromServiceUntil);
}

function cutBetweenHosts(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    fleet.cut(host.settings.host, random.pick(fleet.hosts).settings.host, endsAt);
}

function cutFromAll(fleet: fleets.SimulatedFleet, host: fleets.SimulatedHost, endsAt: number): void {
    cutFromService(fleet, host, endsAt);
    fleet.hosts.forEach((other) => fleet.cut(host.settings.host, other.settings.host, endsAt));
}

function outage(fleet: fleets.SimulatedFleet, _host: fleets.SimulatedHost, endsAt: number): void {
    fleet.outageUntil = Math.max(endsAt, fleet.outageUntil);
}

function stopAndStart(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    fleet.stop(host);
    fleet.at(endsAt, () => {
        if (host.left) {
            restart(fleet, host, random);
        }
    });
}

/** The platform takes a frozen host for dead and starts another one of its name, at another address. */
function replacePaused(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    const { host: name, availabilityZone, peerAddress } = host.settings;
    fleet.pause(host, endsAt - fleet.now);
    fleet.at(fleet.now + random.exponential(FAULT_PAUSE_MS), () => {
        fleet.start(name, availabilityZone, `${peerAddress}${fleet.hosts.length}`);
    });
    fleet.at(endsAt + random.exponential(LONGEST_FAULT_MS), () => fleet.kill(host));
}

/** A few hosts hear each other and nobody else. */
function island(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    const second = random.pick(fleet.hosts);
    const members = [host, second, ...(random.chance(0.3) ? [random.pick(fleet.hosts)] : [])];
    for (const member of members) {
        cutFromService(fleet, member, endsAt);
        fleet.hosts.filter((other) => !members.includes(other))
            .forEach((other) => fleet.cut(member.settings.host, other.settings.host, endsAt));
    }
}

/** Every host of an availability zone loses the service, one shortly after the other. */
function zoneWithoutService(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    fleet.hosts.filter((other) => other.settings.availabilityZone === host.settings.availabilityZone)
        .forEach((other) =>
            fleet.at(fleet.now + random.exponential(FAULT_PAUSE_MS), () => cutFromService(fleet, other, endsAt))
        );
}
