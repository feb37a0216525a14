/** The router process: connects callers, decision modules, upstreams, the platform and other routers. */
export * from "./configuration/store.js";
export * from "./context.js";
export * from "./refusal.js";
export * from "./router.js";
export * from "./trace.js";
