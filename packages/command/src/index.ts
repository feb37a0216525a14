/** The command line: the router daemon and the operators' verbs. */
export * from "./exit.js";
export * from "./program.js";
