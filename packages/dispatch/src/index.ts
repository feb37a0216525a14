/**
 * Decisions on routed requests: placement on upstreams, queueing, refusal and Retry-After times, retries, workspace
 * quotas, and blocking of requests that crash upstreams. Performs no I/O; the current time is passed in.
 */
export * from "./answerends.js";
export * from "./budget.js";
export * from "./callerbounds.js";
export * from "./crashes.js";
export * from "./forecast.js";
export * from "./gate.js";
export * from "./headroom.js";
export * from "./health.js";
export * from "./limits.js";
export * from "./newest.js";
export * from "./observations.js";
export * from "./pace.js";
export * from "./permits.js";
export * from "./placement.js";
export * from "./queue.js";
export * from "./quota.js";
export * from "./reachability.js";
export * from "./regions.js";
export * from "./relays.js";
export * from "./rendezvous.js";
export * from "./retry.js";
export * from "./returns.js";
export * from "./room.js";
export * from "./runledger.js";
export * from "./silence.js";
export * from "./speeds.js";
export * from "./stages.js";
export * from "./stopping.js";
export * from "./streamsequence.js";
export * from "./turn.js";
export * from "./turns.js";
export * from "./versions.js";
export * from "./warmup.js";
export * from "./workspaceshares.js";
