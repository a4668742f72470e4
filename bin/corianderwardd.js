#!/usr/bin/env node
import { DaemonCommand } from "../target/src/daemon/main.js";
import { handle } from "@oclif/core";

DaemonCommand.run(process.argv.slice(2), import.meta.url).catch(handle);
