/**
 * What routed traffic is sent by: the operators' configuration of routes, services and workspaces, and the upstreams that
 * are known. Values and rules without input or output.
 */
export * from "./configuration.js";
export * from "./directory.js";
export * from "./inforce.js";
export * from "./routetable.js";
export * from "./sharedreads.js";
export * from "./upstream.js";
