/** The command line: the router daemon and the operators' subcommands. */
export * from "./exit.js";
export * from "./program.js";
