/**
 * Upstreams as citronlead sees them: model engines and plain services over HTTP. docs/ENGINES.md says what each message
 * means when it is lost, late or repeated. Another binding replaces engine.ts and stream.ts.
 */
export * from "./assembly.js";
export * from "./contract.js";
export * from "./engine.js";
export * from "./sanitize.js";
export * from "./service.js";
export * from "./stream.js";
