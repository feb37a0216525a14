import * as decision from "@citronlead/decision";
import type * as states from "./state.js";

/** The decode slots of the engines that are in service: usable, and not under change. */
export function slotsInService(engines: readonly states.SeenEngine[], changing: string | undefined): number {
    return engines
        .filter((engine) => engine.decodes && engine.usable && engine.name !== changing)
        .reduce((sum, engine) => sum + engine.slots, 0);
}

/** What must hold whenever an engine is taken out of service. Stops the process when it does not. */
export function checkFloor(state: states.RollingState): void {
    const { seen, change } = state;
    const engine = seen.engines.find((candidate) => candidate.name === change?.engine);
    const left = slotsInService(seen.engines, change?.engine);
    decision.invariant(
        !engine?.decodes || left >= seen.minimumSlots,
        () => `${state.settings.pool}: ${left} slots left in service, ${seen.minimumSlots} are wanted`,
    );
}

/** What must hold whenever an order is sent. Stops the process when it does not. */
export function checkOrder(state: states.RollingState, now: decision.Milliseconds): void {
    const { right } = state.seen;
    const { settings, term } = state;
    const endsInTime = settings.checksFencing || (right !== undefined && now + settings.longestOrderMs <= right.until);
    decision.invariant(
        right !== undefined && now < right.until && right.fencing === term?.fencing && endsInTime,
        () => `${settings.pool}: order at ${now} without a right that covers it: ${JSON.stringify(right)}`,
    );
    decision.invariant(
        settings.checksFencing || now >= term.since + settings.longestOrderMs,
        () => `${settings.pool}: order at ${now} while the former owner's may be carried out yet`,
    );
}
