/**
 * Decisions on routed requests: placement on upstreams, queueing, refusal and Retry-After times, retries, workspace
 * quotas, and blocking of requests that crash upstreams. Performs no I/O; the current time is passed in.
 */
export * from "./attempt.js";
export * from "./budget.js";
export * from "./crashes.js";
export * from "./outputforecast.js";
export * from "./placement.js";
export * from "./quota.js";
export * from "./rendezvous.js";
export * from "./upstreamhealth.js";
export * from "./waitingroom.js";
