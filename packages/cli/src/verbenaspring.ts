#!/usr/bin/env node
/**
 * The daemons: `verbenaspring entry`, `sidecar` and `gateway`; `check` and `check-platform` for their settings and the
 * operator's configuration, and `explain` for the log lines of one request.
 */
import "./ignoreSighup.js";
import { parseSettings, type Settings, SettingsError } from "@verbenaspring/model";
import { validateConfiguration, validateSettingsFile } from "@verbenaspring/platform";
import { type Daemon, logLevels, startEntry, startSidecar } from "@verbenaspring/runtime";
import { readFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { exitCode } from "./exitCodes.js";
import { explainRequest } from "./explain.js";
import { startGatewayFromFile } from "./gateway.js";

const settingsArgument = {
    type: "string",
    demandOption: true,
    describe: "settings file, JSON with comments",
} as const;

function readSettings(file: string): Settings {
    try {
        return parseSettings(file, readFileSync(file, "utf8"));
    }
    catch (error) {
        const message = error instanceof SettingsError ? error.message : `${file}: ${String(error)}`;
        process.stderr.write(`${message}\n`);
        process.exit(exitCode.settings);
    }
}

function exitForWrongRole(file: string, settings: Settings, wanted: Settings["role"]): never {
    process.stderr.write(`${file}: role: "${wanted}" was asked for; the file is for "${settings.role}"\n`);
    process.exit(exitCode.settings);
}

async function runDaemon(start: () => Promise<Daemon>): Promise<void> {
    try {
        const daemon = await start();
        process.once("SIGTERM", daemon.stop);
        process.once("SIGINT", daemon.stop);
        await daemon.stopped;
        process.exit(exitCode.success);
    }
    catch (error) {
        process.stderr.write(`could not start: ${String(error)}\n`);
        process.exit(exitCode.failure);
    }
}

await yargs(hideBin(process.argv))
    .scriptName("verbenaspring")
    .usage("$0 COMMAND SETTINGS\n\nServes generations of unknown length on crowded engines.")
    .command(
        "entry <settings>",
        "run an entry instance",
        builder => builder.positional("settings", settingsArgument),
        async ({ settings: file }) => {
            const settings = readSettings(file);
            await runDaemon(() =>
                settings.role === "entry" ? startEntry(settings) : exitForWrongRole(file, settings, "entry")
            );
        },
    )
    .command(
        "sidecar <settings>",
        "run the sidecar of one backend server",
        builder => builder.positional("settings", settingsArgument),
        async ({ settings: file }) => {
            const settings = readSettings(file);
            await runDaemon(() =>
                settings.role === "sidecar" ? startSidecar(settings) : exitForWrongRole(file, settings, "sidecar")
            );
        },
    )
    .command(
        "check <settings>",
        "check a settings file and list every fault",
        builder => builder.positional("settings", settingsArgument),
        ({ settings: file }) => {
            process.stdout.write(`${file}: settings of an ${readSettings(file).role} are in order\n`);
        },
    )
    .command(
        "gateway <settings>",
        "run a gateway from the platform's settings file",
        builder =>
            builder
                .positional("settings", { ...settingsArgument, describe: "settings file of the platform" })
                .option("metrics-port", { type: "number", describe: "port on which metrics are served" })
                .option("log-level", { choices: logLevels, default: "info" as const }),
        async ({ settings: file, metricsPort, logLevel }) => {
            await runDaemon(() => startGatewayFromFile({ settingsFile: file, metricsPort, logLevel }));
        },
    )
    .command(
        "check-platform <file>",
        "check a settings file, or with --configuration a configuration, of the platform; list every fault",
        builder =>
            builder
                .positional("file", { type: "string", demandOption: true, describe: "JSON file" })
                .option("configuration", { type: "boolean", default: false, describe: "the file is a configuration" }),
        ({ file, configuration }) => {
            const faults = configuration ? validateConfiguration(readFileSync(file)) : validateSettingsFile(file);
            faults.forEach(fault => process.stderr.write(`${file}: ${fault}\n`));
            if (faults.length > 0) {
                process.exit(exitCode.settings);
            }
            process.stdout.write(`${file}: in order\n`);
        },
    )
    .command(
        "explain <request> <logs..>",
        "put the log lines of one request in order, over the log files of all processes",
        builder =>
            builder
                .positional("request", { type: "string", demandOption: true, describe: "the id that the caller gave" })
                .positional("logs", { type: "string", array: true, demandOption: true, describe: "log files" }),
        ({ request, logs }) => {
            const lines = explainRequest(logs.map(file => readFileSync(file, "utf8")), request);
            if (lines.length === 0) {
                process.stderr.write(`no line of these files names the request ${request}\n`);
                process.exit(exitCode.failure);
            }
            lines.forEach(line => process.stdout.write(`${line}\n`));
        },
    )
    .example("$0 gateway boot.json --metrics-port 7215", "run a gateway")
    .example("$0 check-platform --configuration config.json", "list the faults of a configuration")
    .example("$0 explain 9c41d07be2a35f68 logs/*.log", "what happened to a request")
    .demandCommand(1, "name a command: entry, sidecar, gateway, check, check-platform or explain")
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? String(error)}\nSee verbenaspring --help\n`);
        process.exit(exitCode.usage);
    })
    .epilogue("Exit codes: 0 success, 1 failure, 2 faults in the settings, 64 wrong usage")
    .parseAsync();
