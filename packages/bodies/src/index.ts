/** Bodies and streams of peers that may be faulty, held within bounds of bytes, pieces and time. */
export * from "./collector.js";
export * from "./incomplete.js";
export * from "./pieces.js";
