/**
 * Decides which requests are admitted within the rate and burst of their workspace. Each workspace's token bucket is
 * split into slices that never overlap, with one owner each. The package does no input or output.
 */
export * from "./actions.js";
export * from "./checker.js";
export * from "./events.js";
export * from "./messages.js";
export * from "./module.js";
export { isSlicePartition } from "./partition.js";
export type { RateLimit } from "./ratelimit.js";
export * from "./sliceorder.js";
export type { Right } from "./sliceupdate.js";
