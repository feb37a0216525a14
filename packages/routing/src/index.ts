/**
 * Data model and rules of request routing: the operators' configuration of routes, services and workspaces, and the
 * directory of upstreams. Performs no I/O.
 */
export * from "./active.js";
export * from "./changes.js";
export * from "./configuration.js";
export * from "./directory.js";
export * from "./evacuations.js";
export * from "./readers.js";
export * from "./table.js";
export * from "./upstream.js";
export * from "./urgency.js";
