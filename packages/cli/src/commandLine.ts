/**
 * The commands of `verbenaspring`: `entry`, `sidecar` and `gateway` run the daemons; `check` and `check-platform` validate their
 * settings and the operator's configuration; `explain` prints the log lines of one request.
 */
import { parseSettings, type Settings, SettingsError } from "@verbenaspring/model";
import { validateConfiguration, validateSettingsFile } from "@verbenaspring/platform";
import { type Daemon, logLevels, startEntry, startSidecar } from "@verbenaspring/runtime";
import { readFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { exitCode } from "./exitCodes.js";
import { explainRequest } from "./explain.js";
import { startGatewayFromFile } from "./gateway.js";
import { countLosses } from "./losses.js";
import { formatTable } from "./table.js";

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

function exitForWrongRole(file: string, settings: Settings, expected: Settings["role"]): never {
    process.stderr.write(`${file}: role: expected "${expected}", found "${settings.role}"\n`);
    process.exit(exitCode.settings);
}

async function runDaemon(start: () => Promise<Daemon>): Promise<void> {
    try {
        const daemon = await start();
        process.on("SIGTERM", daemon.stop);
        // A second interrupt from the terminal ends the process at once.
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
    .usage(
        "$0 COMMAND SETTINGS\n\nRoutes requests to backend servers, including busy engines with outputs of unknown length.",
    )
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
        "run the sidecar of a backend server",
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
        "validate a settings file and list every error",
        builder => builder.positional("settings", settingsArgument),
        ({ settings: file }) => {
            process.stdout.write(`${file}: valid settings of role ${readSettings(file).role}\n`);
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
        "validate the platform's settings file, or with --configuration its configuration, and list every error",
        builder =>
            builder
                .positional("file", { type: "string", demandOption: true, describe: "JSON file" })
                .option("configuration", { type: "boolean", default: false, describe: "the file is a configuration" }),
        ({ file, configuration }) => {
            const errors = configuration ? validateConfiguration(readFileSync(file)) : validateSettingsFile(file);
            errors.forEach(error => process.stderr.write(`${file}: ${error}\n`));
            if (errors.length > 0) {
                process.exit(exitCode.settings);
            }
            process.stdout.write(`${file}: valid\n`);
        },
    )
    .command(
        "explain <request> <logs..>",
        "print the log lines of one request from the log files of all processes, sorted by time",
        builder =>
            builder
                .positional("request", { type: "string", demandOption: true, describe: "the id that the caller gave" })
                .positional("logs", { type: "string", array: true, demandOption: true, describe: "log files" }),
        ({ request, logs }) => {
            const lines = explainRequest(logs.map(file => readFileSync(file, "utf8")), request);
            if (lines.length === 0) {
                process.stderr.write(`no log line of request ${request} in these files\n`);
                process.exit(exitCode.failure);
            }
            lines.forEach(line => process.stdout.write(`${line}\n`));
        },
    )
    .command(
        "losses <logs..>",
        "count the requests in the log files of gateways by what delayed or ended them",
        builder =>
            builder
                .positional("logs", { type: "string", array: true, demandOption: true, describe: "log files" })
                .option("pause", {
                    type: "number",
                    default: 180,
                    describe: "longest pause of a stream that is on time, in milliseconds",
                }),
        ({ logs, pause }) => {
            const rows = countLosses(logs.map(file => readFileSync(file, "utf8")), { pause });
            process.stdout.write(formatTable(rows.map(row => ({ ...row }))));
        },
    )
    .example("$0 gateway boot.json --metrics-port 7215", "run a gateway")
    .example("$0 check-platform --configuration config.json", "list the errors of a configuration")
    .example("$0 explain 9c41d07be2a35f68 logs/*.log", "show what happened to a request")
    .example("$0 losses logs/*.log", "show why requests were not served on time")
    .demandCommand(1, "no command given; expected entry, sidecar, gateway, check, check-platform, explain or losses")
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? String(error)}\nSee verbenaspring --help\n`);
        process.exit(exitCode.usage);
    })
    .epilogue("Exit codes: 0 success, 1 failure, 2 invalid settings, 64 invalid usage")
    .parseAsync();
