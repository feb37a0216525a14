/** Heads of peers that may be faulty, and their bodies and streams, held within bounds of bytes and pieces. */
export * from "./collector.js";
export * from "./head.js";
export * from "./holders.js";
export * from "./incomplete.js";
export * from "./memory.js";
