/** Scopes that release the resources of a process, and timers bound to them. */
export * from "./scope.js";
export * from "./stalls.js";
export * from "./timers.js";
