/** Decisions about which configuration is in force at a host, and whether its keys may still be used. */
export * from "./decide.js";
export * from "./events.js";
export * from "./ledger.js";
export * from "./state.js";
