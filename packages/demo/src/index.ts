/** Starts small fleets of separate processes for the demo, tests and measurements. */
export * from "./fleet.js";
export * from "./processes.js";
