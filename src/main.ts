#!/usr/bin/env node
/** The entry point of the `tanagerpin` command line. */

import { createCommandLine } from "./commands/command_line.ts";

process.exitCode = await createCommandLine().run(process.argv.slice(2));
