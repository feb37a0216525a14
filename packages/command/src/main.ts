#!/usr/bin/env node
import * as program from "./program.js";
import * as terminals from "./terminal.js";

await program.makeProgram(terminals.processTerminal).parseAsync();
