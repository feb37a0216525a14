import type * as admission from "../../src/index.js";
import type * as fleets from "./fleet.js";

/** How often faults are injected into a fleet, as mean times between them in milliseconds; undefined for never. */
export interface Faults {
    readonly killEveryMs?: number;
    readonly pauseEveryMs?: number;
    readonly handOverEveryMs?: number;
    readonly outageEveryMs?: number;
    readonly configureEveryMs?: number;
}

const LONGEST_PAUSE_MS = 8_000;
const LONGEST_OUTAGE_MS = 15_000;
const LONGEST_RESTART_MS = 4_000;
const TAKE_OVER_PERIOD_MS = 100;

/** Injects faults at random times, and takes over what dead hosts owned. */
export function injectFaults(fleet: fleets.Fleet, faults: Faults): void {
    const { agenda, random } = fleet;
    const repeatedly = (meanMs: number | undefined, inject: () => void) => {
        if (meanMs !== undefined) {
            agenda.after(random.exponential(meanMs), () => {
                inject();
                repeatedly(meanMs, inject);
            });
        }
    };
    const watch = () => {
        fleet.takeOver();
        agenda.after(TAKE_OVER_PERIOD_MS, watch);
    };
    watch();
    repeatedly(faults.killEveryMs, () => {
        const owner = fleet.ownerOf(fleet.randomPartition());
        if (owner?.alive && fleet.aliveHosts().length > 3) {
            owner.kill();
            agenda.after(random.fraction() * LONGEST_RESTART_MS, () => fleet.addHost(owner.availabilityZone));
        }
    });
    repeatedly(
        faults.pauseEveryMs,
        () => fleet.ownerOf(fleet.randomPartition())?.pause(random.fraction() * LONGEST_PAUSE_MS),
    );
    repeatedly(faults.handOverEveryMs, () => fleet.handOver(fleet.randomPartition(), random.pick(fleet.aliveHosts())));
    repeatedly(faults.outageEveryMs, () => {
        fleet.serviceUp = false;
        agenda.after(random.fraction() * LONGEST_OUTAGE_MS, () => {
            fleet.serviceUp = true;
        });
    });
    repeatedly(faults.configureEveryMs, () => fleet.configure(changeTerms(fleet)));
}

function changeTerms(fleet: fleets.Fleet): Readonly<Record<string, admission.Terms>> {
    const { random, options } = fleet;
    const factor = () => random.pick([0.1, 0.5, 1, 1, 2, 5]);
    return Object.fromEntries(
        Object.entries(options.workspaces).map(([workspace, terms]) => [workspace, {
            tokensPerSecond: terms.tokensPerSecond * factor(),
            burstTokens: terms.burstTokens * factor(),
        }]),
    );
}
