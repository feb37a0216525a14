/** Decisions about calls that run at most once over all hosts. No input or output. */
export * from "./call.js";
export * from "./decide.js";
export * from "./ledger.js";
export * from "./record.js";
