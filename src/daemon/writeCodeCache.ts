import { resolve } from "node:path";
import { loadProgram } from "./codeCache.js";

// Part of the build. The runtime accepts compiled code only under the flags with which it was compiled: those of the deploy file.
loadProgram(resolve(process.argv[2] ?? "")).writeCodeCache();
