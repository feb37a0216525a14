/** Decisions about orders to upstreams under fencing, rolling version changes and the sweep of engine memory. */
export * from "./checks.js";
export * from "./rolling.js";
export * from "./state.js";
export * from "./sweep.js";
