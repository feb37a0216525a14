/**
 * The gateway: accepts callers' requests, sends them to upstreams as the dispatch package decides, and relays the
 * responses. The platform provides header names and body formats as a WireFormat, and its store as a Registry.
 */
export * from "./gateway.js";
export * from "./headers.js";
export * from "./registry.js";
export * from "./settings.js";
export * from "./wire.js";
