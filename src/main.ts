#!/usr/bin/env node
/** The program's entry point; the rest is in `cli/main.ts`, so that tests can call it. */
import { main } from "./cli/main.js";

// Not awaited: `main` sets the exit code itself, and Node reports a rejection with its stack.
void main(process.argv);
