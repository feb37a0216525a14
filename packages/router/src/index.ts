/** The router: the shell that joins callers, decisions, upstreams, the platform and the other routers. */
export * from "./configurationstore.js";
export * from "./context.js";
export * from "./refusal.js";
export * from "./router.js";
export * from "./trace.js";
