import * as decision from "@citronlead/decision";
import type * as states from "./state.js";

/** The decode slots in service: those of engines that are usable and not being changed. */
export function slotsInService(engines: readonly states.ObservedEngine[], changing: string | undefined): number {
    return engines
        .filter((engine) => engine.decodes && engine.usable && engine.name !== changing)
        .reduce((sum, engine) => sum + engine.slots, 0);
}

/**
 * Throws BrokenInvariantError, which stops the process, if the change takes so many decode slots out of service that fewer
 * than the pool's minimum are left.
 */
export function checkMinimumSlots(state: states.RolloutState): void {
    const { observation, change } = state;
    const engine = observation.engines.find((candidate) => candidate.name === change?.engine);
    const slotsLeft = slotsInService(observation.engines, change?.engine);
    decision.invariant(
        !engine?.decodes || slotsLeft >= observation.minimumSlots,
        () =>
            `${state.settings.pool}: ${slotsLeft} decode slots left in service, the minimum is ${observation.minimumSlots}`,
    );
}

/** Throws BrokenInvariantError, which stops the process, if an order must not be sent at this time. */
export function checkOrderAllowed(state: states.RolloutState, now: decision.Milliseconds): void {
    const { right } = state.observation;
    const { settings, term } = state;
    const endsInTime = settings.checksFencing || (right !== undefined && now + settings.longestOrderMs <= right.until);
    decision.invariant(
        right !== undefined && now < right.until && right.fencing === term?.fencing && endsInTime,
        () => `${settings.pool}: order at ${now} is not covered by the right to act: ${JSON.stringify(right)}`,
    );
    decision.invariant(
        settings.checksFencing || now >= term.since + settings.longestOrderMs,
        () => `${settings.pool}: order at ${now} while an order of the previous owner may still take effect`,
    );
}
