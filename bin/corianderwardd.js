#!/usr/bin/env node
import { DaemonCommand } from "../dist/daemon/main.js";
import { handle } from "@oclif/core";

DaemonCommand.run(process.argv.slice(2), import.meta.url).catch(handle);
