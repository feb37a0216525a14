/** The router: the shell that joins callers, decisions, upstreams, the platform and the other routers. */
export { CONFIGURATION_KEY, swapConfiguration } from "./configurationshell.js";
export * from "./context.js";
export * from "./refusal.js";
export * from "./router.js";
export * from "./trace.js";
