/**
 * The platform as citronlead sees it: the key-value service over the JSON form of the etcd v3 protocol, the host list
 * and the weight store. See docs/PLATFORM.md. Another binding replaces the one file keyvalue.ts.
 */
export * from "./agent.js";
export * from "./hosts.js";
export * from "./http.js";
export * from "./keyvalue.js";
export * from "./watch.js";
export * from "./weights.js";
