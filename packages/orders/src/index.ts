/**
 * Decisions about rolling model version changes, carried out by fenced orders to engines, and about releasing engine memory
 * whose owner is gone.
 */
export * from "./checks.js";
export * from "./rollout.js";
export * from "./state.js";
export * from "./sweep.js";
