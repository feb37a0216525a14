/** Test utilities. */
export * from "./golden.js";
export * from "./ports.js";
export * from "./rawcaller.js";
export * from "./seeds.js";
export * from "./windows.js";
