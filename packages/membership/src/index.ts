/** Decisions about the roster, leases, successors, takeover and the ownership of partitions. No input or output. */
export * from "./partitions.js";
