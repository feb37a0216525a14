/**
 * Decides about the roster, leases, takeovers and the ownership of partitions. Pure functions without I/O.
 *
 * A host may act for its partitions while it holds a valid lease of one of two kinds: its host lease at the key-value
 * service, or a successor lease. A successor lease is a promise by another host, which the holder's record names as
 * successor, not to take the holder over; it bridges outages of the key-value service.
 */
export * from "./checker.js";
export * from "./durations.js";
export * from "./member.js";
export * from "./module.js";
export * from "./partitions.js";
export * from "./placement.js";
export * from "./records.js";
export * from "./rights.js";
export * from "./rules.js";
export * from "./state.js";
export * from "./table.js";
