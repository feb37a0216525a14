/** Runs a fleet of processes under load and seeded faults, and checks invariants. */
export * from "./callers.js";
export * from "./checks.js";
export * from "./faults.js";
export * from "./run.js";
