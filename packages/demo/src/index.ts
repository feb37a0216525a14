/** Starts a small fleet in separate processes, for the demo, tests and measurements. */
export * from "./fleet.js";
export * from "./processes.js";
