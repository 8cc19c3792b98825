/**
 * Keeps SIGHUP from ending the process. The platform sends it when the settings file changes, possibly before the
 * program has installed its own handler, and Node.js exits on SIGHUP while there is no listener. A program imports this
 * module first, and the rest of itself dynamically or from a bundle: static imports all load before the first one runs.
 */
process.on("SIGHUP", () => undefined);
