/** Decision module for the configuration in force at a host and whether its keys may still be used. Does no I/O. */
export * from "./checker.js";
export * from "./decide.js";
export * from "./events.js";
export * from "./state.js";
