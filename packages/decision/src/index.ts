/**
 * What every decision module of citronlead shares: transactions, checked invariants, seeded random numbers and
 * outcomes. Nothing here reads a clock, a socket or a random source of the machine.
 */
export * from "./invariant.js";
export * from "./module.js";
export * from "./outcome.js";
export * from "./random.js";
export * from "./time.js";
export * from "./transaction.js";
