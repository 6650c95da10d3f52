#!/usr/bin/env node
import { main } from "./cli/main.js";

void main(process.argv);
