import type * as admission from "../../src/index.js";
import type * as fleets from "./fleet.js";

/** Mean times between injected faults of each kind; undefined for never. */
export interface Faults {
    readonly killEveryMs?: number;
    readonly pauseEveryMs?: number;
    readonly handOverEveryMs?: number;
    readonly outageEveryMs?: number;
    readonly configureEveryMs?: number;
}

const MAX_PAUSE_MS = 8_000;
const MAX_OUTAGE_MS = 15_000;
const MAX_RESTART_MS = 4_000;
const TAKEOVER_CHECK_PERIOD_MS = 100;

/** Injects faults at random times, and has partitions of dead hosts taken over. */
export function injectFaults(fleet: fleets.Fleet, faults: Faults): void {
    const { scheduler, random } = fleet;
    const repeatedly = (meanMs: number | undefined, inject: () => void) => {
        if (meanMs !== undefined) {
            scheduler.after(random.exponential(meanMs), () => {
                inject();
                repeatedly(meanMs, inject);
            });
        }
    };
    const checkTakeovers = () => {
        fleet.takeOver();
        scheduler.after(TAKEOVER_CHECK_PERIOD_MS, checkTakeovers);
    };
    checkTakeovers();
    repeatedly(faults.killEveryMs, () => {
        const owner = fleet.ownerOf(fleet.randomPartition());
        if (owner?.alive && fleet.aliveHosts().length > 3) {
            owner.kill();
            scheduler.after(random.fraction() * MAX_RESTART_MS, () => fleet.addHost(owner.availabilityZone));
        }
    });
    repeatedly(
        faults.pauseEveryMs,
        () => fleet.ownerOf(fleet.randomPartition())?.pause(random.fraction() * MAX_PAUSE_MS),
    );
    repeatedly(faults.handOverEveryMs, () => fleet.handOver(fleet.randomPartition(), random.pick(fleet.aliveHosts())));
    repeatedly(faults.outageEveryMs, () => {
        fleet.keyValueServiceUp = false;
        scheduler.after(random.fraction() * MAX_OUTAGE_MS, () => {
            fleet.keyValueServiceUp = true;
        });
    });
    repeatedly(faults.configureEveryMs, () => fleet.configure(drawRateLimits(fleet)));
}

function drawRateLimits(fleet: fleets.Fleet): Readonly<Record<string, admission.RateLimit>> {
    const { random, options } = fleet;
    const factor = () => random.pick([0.1, 0.5, 1, 1, 2, 5]);
    return Object.fromEntries(
        Object.entries(options.workspaces).map(([workspace, rateLimit]) => [workspace, {
            tokensPerSecond: rateLimit.tokensPerSecond * factor(),
            burstTokens: rateLimit.burstTokens * factor(),
        }]),
    );
}
