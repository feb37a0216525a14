/**
 * Clients of the platform's services: the key-value service over the JSON form of the etcd v3 protocol, the list of
 * upstreams and the weight store. See docs/PLATFORM.md. To bind to another key-value service, replace keyvalue.ts and
 * watch.ts.
 */
export * from "./agent.js";
export * from "./http.js";
export * from "./keyvalue.js";
export * from "./upstreams.js";
export * from "./watch.js";
export * from "./weights.js";
