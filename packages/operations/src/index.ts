/** Decision module for calls that run at most once across all hosts. Does no I/O. */
export * from "./call.js";
export * from "./decide.js";
export * from "./ledger.js";
export * from "./record.js";
