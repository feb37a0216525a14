/** Decisions about contents that crash upstreams. No input or output. */
export * from "./decide.js";
export * from "./events.js";
export * from "./ledger.js";
export * from "./state.js";
