/** Simulates engines, links and callers under a virtual clock to measure placement policies. Not a cluster simulator. */
export * from "./bound.js";
export * from "./clock.js";
export * from "./engines.js";
export * from "./policies.js";
export * from "./run.js";
export * from "./scenario.js";
export * from "./workload.js";
