/**
 * Starts a gateway on the platform from the settings file that the platform wrote, and applies changes of the file.
 */
import type { Milliseconds } from "@verbenaspring/model";
import {
    createStoreClient,
    createStreamRegisterClient,
    decodeBackendHead,
    decodeCallerHead,
    decodeSettings,
    decodeTopicItem,
    encodeBackendCall,
    type GatewaySettings,
    requestHealth,
    requestMigration,
    requestReport,
    settingsPathVariable,
} from "@verbenaspring/platform";
import type { EventLog, LogLevel } from "@verbenaspring/runtime";
import {
    type GatewayAdapter,
    type GatewayDaemon,
    type GatewayDaemonOptions,
    startGateway,
} from "@verbenaspring/runtime";
import { readFileSync } from "node:fs";

/** Settings of a gateway process that are not in the platform's file. */
export interface GatewayProcessOptions {
    readonly settingsFile: string;
    /** The port on which metrics are served; undefined to serve none. */
    readonly metricsPort: number | undefined;
    readonly logLevel: LogLevel;
    /** Identifies the program in the log; undefined if it is not a bundle. */
    readonly build?: string | undefined;
}

/**
 * Starts a gateway from the platform's settings file.
 *
 * @throws MalformedMessageError if the file has errors
 * @example
 * const daemon = await startGatewayFromFile({ settingsFile: "boot.json", metricsPort: 7210, logLevel: "info" });
 */
export async function startGatewayFromFile(options: GatewayProcessOptions): Promise<GatewayDaemon> {
    const text = readFileSync(options.settingsFile, "utf8");
    const settings = decodeSettings(options.settingsFile, text);
    const store = createStoreClient(settings.storeAddress);
    const adapter: GatewayAdapter = {
        decodeCallerHead,
        encodeBackendCall,
        decodeBackendHead,
        readReport: requestReport,
        checkHealth: requestHealth,
        migrateRun: requestMigration,
        topics: { ...store, decode: decodeTopicItem },
        streamRegister: createStreamRegisterClient(store.log),
    };
    const daemon = await startGateway(toDaemonOptions(settings, options), adapter);
    const apply = (changed: GatewaySettings): void => {
        if (store.changeAddress(changed.storeAddress)) {
            daemon.log("info", "store_address_changed", { address: changed.storeAddress });
        }
        daemon.applySettings(changed);
    };
    watchSettingsFile(options.settingsFile, text, apply, daemon.log);
    return daemon;
}

/** The settings file is read on SIGHUP and also at this interval, since it may change without the signal. */
const settingsPollInterval: Milliseconds = 2_000;

/**
 * Applies the settings file whenever its content changes. An invalid file is logged, and the last valid settings stay
 * in force.
 */
function watchSettingsFile(
    file: string,
    initialText: string,
    apply: (settings: GatewaySettings) => void,
    log: EventLog,
): void {
    let lastText = initialText;
    const readChanges = (): void => {
        try {
            const text = readFileSync(file, "utf8");
            if (text !== lastText) {
                lastText = text;
                apply(decodeSettings(file, text));
            }
        }
        catch (error) {
            log("error", "settings_unreadable", { file, error: String(error) });
        }
    };
    process.on("SIGHUP", readChanges);
    setInterval(readChanges, settingsPollInterval).unref();
}

function toDaemonOptions(settings: GatewaySettings, options: GatewayProcessOptions): GatewayDaemonOptions {
    const host = settings.callerAddress.slice(0, settings.callerAddress.lastIndexOf(":"));
    return {
        ...settings,
        metricsAddress: options.metricsPort === undefined ? undefined : `${host}:${options.metricsPort}`,
        logLevel: options.logLevel,
        build: options.build,
    };
}

/** Returns the path of the settings file that the platform passes in the environment, if any. */
export function settingsFileFromEnvironment(): string | undefined {
    return process.env[settingsPathVariable];
}
