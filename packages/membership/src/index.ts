/** Decisions about the roster, leases, successors, takeover and the ownership of partitions. No input or output. */
export * from "./checker.js";
export * from "./durations.js";
export * from "./member.js";
export * from "./module.js";
export * from "./partitions.js";
export * from "./records.js";
export * from "./rights.js";
export * from "./rules.js";
export * from "./state.js";
export * from "./table.js";
export * from "./wanted.js";
