/** Bodies and streams of peers that may be faulty, held within bounds of bytes and pieces. */
export * from "./collector.js";
export * from "./holders.js";
export * from "./incomplete.js";
export * from "./memory.js";
