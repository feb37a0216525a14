/** A model of engines, links and callers under an injected clock, for measuring the policy. It is no cluster simulator. */
export * from "./bound.js";
export * from "./clock.js";
export * from "./engines.js";
export * from "./policies.js";
export * from "./run.js";
export * from "./scenario.js";
export * from "./workload.js";
