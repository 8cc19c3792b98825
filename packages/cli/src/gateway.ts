/**
 * Runs a gateway on the platform: reads the settings that the platform wrote, and stops on SIGTERM.
 */
import type { Milliseconds } from "@verbenaspring/model";
import {
    createStoreClient,
    decodeBackendHead,
    decodeCallerHead,
    decodeSettings,
    decodeTopicItem,
    encodeBackendCall,
    type GatewaySettings,
    moveRun,
    readReport,
    settingsVariable,
} from "@verbenaspring/platform";
import type { LogLevel } from "@verbenaspring/runtime";
import {
    type GatewayAdapter,
    type GatewayDaemon,
    type GatewayDaemonOptions,
    startGateway,
} from "@verbenaspring/runtime";
import { readFileSync } from "node:fs";

/** Settings of the process beside the platform's file. */
export interface GatewayRunOptions {
    readonly settingsFile: string;
    /** The port on which metrics are served; none where it is left out. */
    readonly metricsPort: number | undefined;
    readonly logLevel: LogLevel;
}

/**
 * Starts a gateway from the platform's settings file.
 *
 * @throws MalformedMessageError where the file has faults
 * @example
 * const daemon = await runGateway({ settingsFile: "boot.json", metricsPort: 7210, logLevel: "info" });
 */
export async function runGateway(options: GatewayRunOptions): Promise<GatewayDaemon> {
    const text = readFileSync(options.settingsFile, "utf8");
    const settings = decodeSettings(options.settingsFile, text);
    const adapter: GatewayAdapter = {
        decodeCallerHead,
        encodeBackendCall,
        decodeBackendHead,
        readReport,
        migrateRun: moveRun,
        topics: { ...createStoreClient(settings.storeAddress), decode: decodeTopicItem },
    };
    const daemon = await startGateway(toDaemonOptions(settings, options), adapter);
    followSettings(options.settingsFile, text, daemon);
    return daemon;
}

/** How often the settings file is looked at; it may change without a signal. */
const settingsInterval: Milliseconds = 2_000;

/** Applies the settings file anew whenever it changes. One with faults is reported, and the last good one stays. */
function followSettings(file: string, firstText: string, daemon: GatewayDaemon): void {
    let known = firstText;
    const read = (): void => {
        try {
            const text = readFileSync(file, "utf8");
            if (text !== known) {
                known = text;
                daemon.applySettings(decodeSettings(file, text));
            }
        }
        catch (error) {
            daemon.log("error", "settings_unreadable", { file, error: String(error) });
        }
    };
    process.on("SIGHUP", read);
    setInterval(read, settingsInterval).unref();
}

function toDaemonOptions(settings: GatewaySettings, options: GatewayRunOptions): GatewayDaemonOptions {
    const host = settings.callerAddress.slice(0, settings.callerAddress.lastIndexOf(":"));
    return {
        ...settings,
        metricsAddress: options.metricsPort === undefined ? undefined : `${host}:${options.metricsPort}`,
        logLevel: options.logLevel,
    };
}

/** The path of the settings file that the platform names, if any. */
export function platformSettingsFile(): string | undefined {
    return process.env[settingsVariable];
}
