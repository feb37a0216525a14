/** Decision module that quarantines request contents that crash upstreams. Does no I/O. */
export * from "./decide.js";
export * from "./events.js";
export * from "./ledger.js";
export * from "./state.js";
