#!/usr/bin/env node
/**
 * The program `verbenaspring`. Its commands are imported once SIGHUP has a listener, since all static imports of a module
 * load before the first of them runs, and the commands import the whole product.
 */
import "./ignoreSighup.js";

await import("./commandLine.js");
