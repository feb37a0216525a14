/**
 * Shared by all decision modules: state transitions, invariants, seeded random numbers and outcomes of calls. Nothing
 * here reads a clock, a socket or a random source of the machine.
 */
export * from "./invariant.js";
export * from "./module.js";
export * from "./outcome.js";
export * from "./random.js";
export * from "./time.js";
export * from "./tokenbucket.js";
export * from "./transition.js";
