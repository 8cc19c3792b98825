/**
 * Keeps SIGHUP from ending the process. The platform sends it when the settings file changes, possibly before the
 * program has installed its own handler, and Node.js exits on SIGHUP while there is no listener. This module must be
 * imported first.
 */
process.on("SIGHUP", () => undefined);
