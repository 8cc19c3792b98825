/**
 * The program that the platform starts on an entry instance. The environment names its settings file.
 */
import "./ignoreSighup.js";
import { exitCode } from "./exitCodes.js";
import { settingsFileFromEnvironment, startGatewayFromFile } from "./gateway.js";

declare global {
    /** Set while the build creates the V8 code cache of the bundle, which loads the program without running it. */
    var verbenaspringCreatesCodeCache: boolean | undefined;
    /** The first digits of the bundle's SHA-256; undefined where the program is not started as a bundle. */
    var verbenaspringBuild: string | undefined;
}

async function main(): Promise<void> {
    const settingsFile = settingsFileFromEnvironment();
    if (settingsFile === undefined) {
        process.stderr.write("VERBENASPRING_SETTINGS is not set\n");
        process.exit(exitCode.usage);
    }
    const metricsPort = process.env.VERBENASPRING_METRICS_PORT;
    try {
        const daemon = await startGatewayFromFile({
            settingsFile,
            metricsPort: metricsPort === undefined ? undefined : Number(metricsPort),
            build: globalThis.verbenaspringBuild,
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

if (globalThis.verbenaspringCreatesCodeCache !== true) {
    void main();
}
