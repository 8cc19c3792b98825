#!/usr/bin/env node
/**
 * The program `verbenaspring`. Its commands are imported once SIGHUP has a listener: all static imports of a module load
 * before the first of them runs, which takes half a second here.
 */
import "./ignoreSighup.js";

await import("./commandLine.js");
