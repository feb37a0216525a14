/** Ownership and clean-up of everything that a process holds open. */
export * from "./lifecycle.js";
export * from "./timers.js";
