/** Decision module for calls that run at most once across all hosts. Does no I/O. */
export * from "./call.js";
export * from "./checker.js";
export * from "./decide.js";
export * from "./record.js";
