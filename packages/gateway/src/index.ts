/**
 * The gateway: takes callers' requests, sends them to upstreams by the decisions of the dispatch package and passes
 * their answers on. What callers and upstreams speak is given as a Wire, what the platform keeps as a Registry.
 */
export * from "./gateway.js";
export * from "./headers.js";
export * from "./registry.js";
export * from "./settings.js";
export * from "./wire.js";
