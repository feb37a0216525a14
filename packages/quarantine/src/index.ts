/** Decision module that quarantines request contents that crash upstreams. Does no I/O. */
export * from "./checker.js";
export * from "./decide.js";
export * from "./events.js";
export * from "./state.js";
