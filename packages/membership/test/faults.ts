import type * as decision from "@citronlead/decision";
import * as membership from "../src/index.js";
import * as fleets from "./fleet.js";

/** The partitions of a run: a few of each kind. */
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
const MEAN_FAULT_INTERVAL_MS = 3_000;
const LONG_FAULT_MS = 30_000;
/** The share of faults that last about as long as a lease, since most can go wrong then. */
const LEASE_LENGTH_SHARE = 0.4;

/** The result of one run. */
export interface RunResult {
    /** The mean share of partitions for which some host could act. */
    readonly actingShare: number;
}

/** Runs a fleet of 4 to 9 hosts under random faults. Throws a BrokenInvariantError when a check fails. */
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
    let samples = 0;
    while (fleet.now < RUN_MS) {
        injectFault(fleet, random);
        fleet.runUntil(fleet.now + random.exponential(MEAN_FAULT_INTERVAL_MS));
        sum += fleet.actingShare();
        samples++;
    }
    return { actingShare: sum / samples };
}

function injectFault(fleet: fleets.SimulatedFleet, random: decision.Random): void {
    const running = fleet.hosts.filter((host) => host.alive && !host.left);
    const host = random.pick(running.length > 0 ? running : fleet.hosts);
    const durationMs = random.chance(LEASE_LENGTH_SHARE)
        ? membership.DEFAULT_TIMING.leaseMs * (0.9 + random.fraction() / 2)
        : random.exponential(LONG_FAULT_MS / 3);
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
    cutFromEverything,
    interruptService,
    stopAndStart,
    replaceWhilePaused,
    isolateGroup,
    isolateGroup,
    cutZoneFromService,
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
    fleet.schedule(endsAt, () => restart(fleet, host, random));
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

function cutFromEverything(fleet: fleets.SimulatedFleet, host: fleets.SimulatedHost, endsAt: number): void {
    cutFromService(fleet, host, endsAt);
    fleet.hosts.forEach((other) => fleet.cut(host.settings.host, other.settings.host, endsAt));
}

function interruptService(fleet: fleets.SimulatedFleet, _host: fleets.SimulatedHost, endsAt: number): void {
    fleet.outageUntil = Math.max(endsAt, fleet.outageUntil);
}

function stopAndStart(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    fleet.stop(host);
    fleet.schedule(endsAt, () => {
        if (host.left) {
            restart(fleet, host, random);
        }
    });
}

/** The platform takes a paused process for dead and starts another one for the same host, at another address. */
function replaceWhilePaused(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    const { host: name, availabilityZone, peerAddress } = host.settings;
    fleet.pause(host, endsAt - fleet.now);
    fleet.schedule(fleet.now + random.exponential(MEAN_FAULT_INTERVAL_MS), () => {
        fleet.start(name, availabilityZone, `${peerAddress}${fleet.hosts.length}`);
    });
    fleet.schedule(endsAt + random.exponential(LONG_FAULT_MS), () => fleet.kill(host));
}

/** Cuts up to three hosts off from the key-value service and from all other hosts, but not from each other. */
function isolateGroup(
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

/** Cuts all hosts of an availability zone off from the key-value service, one shortly after the other. */
function cutZoneFromService(
    fleet: fleets.SimulatedFleet,
    host: fleets.SimulatedHost,
    endsAt: number,
    random: decision.Random,
): void {
    fleet.hosts.filter((other) => other.settings.availabilityZone === host.settings.availabilityZone)
        .forEach((other) =>
            fleet.schedule(
                fleet.now + random.exponential(MEAN_FAULT_INTERVAL_MS),
                () => cutFromService(fleet, other, endsAt),
            )
        );
}
