/** Runs a fleet of processes under seeded failures and load, and checks what must always hold. */
export * from "./callers.js";
export * from "./checks.js";
export * from "./faults.js";
export * from "./run.js";
