/**
 * Decides which request runs on which engines and when. Requests wait in a fair queue; the prefill and the decode engine
 * are chosen together, and slots, memory and link time are reserved in advance. Does no I/O. docs/POLICY.md explains the
 * policy.
 */
export * from "./messages.js";
export * from "./orderedmap.js";
export * from "./placementqueue.js";
export * from "./scheduler.js";
export type { State } from "./state.js";
