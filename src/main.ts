#!/usr/bin/env node
/** The program's entry: everything else is in `cli/main.ts`, so that tests can call it. */
import { main } from "./cli/main.js";

// It sets the exit code itself, and a rejection would end the process with its stack.
void main(process.argv);
