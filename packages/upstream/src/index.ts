/**
 * Clients of upstreams over HTTP: model engines and plain services. docs/ENGINES.md specifies what each message means
 * when it is lost, late or repeated. To bind to another engine protocol, replace engine.ts and stream.ts.
 */
export * from "./assembly.js";
export * from "./contract.js";
export * from "./engine.js";
export * from "./sanitize.js";
export * from "./service.js";
export * from "./stream.js";
