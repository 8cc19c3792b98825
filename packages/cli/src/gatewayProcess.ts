/**
 * The program that the platform starts on an entry instance. It takes its settings from the environment.
 */
import "./earlySignals.js";
import { exitCode } from "./exitCodes.js";
import { settingsFileFromEnvironment, startGatewayFromFile } from "./gateway.js";

declare global {
    /** Set while the build compiles the bundle: the program is then loaded, but not run. */
    var verbenaspringCompiling: boolean | undefined;
}

async function main(): Promise<void> {
    const settingsFile = settingsFileFromEnvironment();
    if (settingsFile === undefined) {
        process.stderr.write("the environment names no settings file\n");
        process.exit(exitCode.usage);
    }
    const metricsPort = process.env.VERBENASPRING_METRICS_PORT;
    try {
        const daemon = await startGatewayFromFile({
            settingsFile,
            metricsPort: metricsPort === undefined ? undefined : Number(metricsPort),
            logLevel: process.env.VERBENASPRING_LOG_LEVEL === "debug" ? "debug" : "info",
        });
        process.on("SIGTERM", daemon.stop);
        await daemon.stopped;
        process.exit(exitCode.success);
    }
    catch (error) {
        process.stderr.write(`could not start: ${String(error)}\n`);
        process.exit(exitCode.failure);
    }
}

if (globalThis.verbenaspringCompiling !== true) {
    void main();
}
