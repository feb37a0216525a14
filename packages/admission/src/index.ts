/** Decisions about workspaces' rates: slices of a token bucket that never overlap. No input or output. */
export * from "./actions.js";
export * from "./checker.js";
export * from "./events.js";
export * from "./messages.js";
export * from "./module.js";
export * from "./order.js";
export { isSlicePartition } from "./partition.js";
export type { Terms } from "./terms.js";
export type { Right } from "./work.js";
