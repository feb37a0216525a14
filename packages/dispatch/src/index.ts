/**
 * Decisions on routed requests: which upstream, how long to wait, when to refuse and until when, what to send again,
 * which rate a workspace has left and which content is kept from upstreams. No input or output; time is passed in.
 */
export * from "./attempt.js";
export * from "./outputforecast.js";
export * from "./placement.js";
export * from "./quota.js";
export * from "./rendezvous.js";
export * from "./retrybudget.js";
export * from "./suspects.js";
export * from "./upstreamhealth.js";
export * from "./waitingroom.js";
