/**
 * Runs a gateway on the platform: reads the settings that the platform wrote, and stops on SIGTERM.
 */
import {
    createStoreClient,
    decodeBackendHead,
    decodeCallerHead,
    decodeSettings,
    encodeBackendCall,
    type GatewaySettings,
    settingsVariable,
} from "@verbenaspring/platform";
import type { LogLevel } from "@verbenaspring/runtime";
import { type Daemon, type GatewayAdapter, type GatewayDaemonOptions, startGateway } from "@verbenaspring/runtime";
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
export async function runGateway(options: GatewayRunOptions): Promise<Daemon> {
    const settings = decodeSettings(options.settingsFile, readFileSync(options.settingsFile, "utf8"));
    const adapter: GatewayAdapter = {
        decodeCallerHead,
        encodeBackendCall,
        decodeBackendHead,
        topics: createStoreClient(settings.storeAddress),
    };
    return startGateway(toDaemonOptions(settings, options), adapter);
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
