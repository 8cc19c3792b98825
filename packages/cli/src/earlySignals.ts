/**
 * A changed settings file is announced by SIGHUP, which may come before the program follows its settings. Without a
 * listener the signal would end the process. To be imported before all else.
 */
process.on("SIGHUP", () => undefined);
