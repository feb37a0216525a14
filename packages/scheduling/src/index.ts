/**
 * Decides which request runs on which engines and when: a fair queue, joint choice of prefill and decode engine, slots,
 * memory and links reserved ahead. No input or output; docs/POLICY.md says why it decides as it does.
 */
export * from "./messages.js";
export * from "./orderedmap.js";
export * from "./queueclass.js";
export * from "./scheduler.js";
export type { State } from "./state.js";
