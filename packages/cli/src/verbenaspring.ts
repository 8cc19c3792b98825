#!/usr/bin/env node
/**
 * The daemons: `verbenaspring entry SETTINGS`, `verbenaspring sidecar SETTINGS` and `verbenaspring check SETTINGS`.
 */
import { parseSettings, type Settings, SettingsError } from "@verbenaspring/model";
import { type Daemon, startEntry, startSidecar } from "@verbenaspring/runtime";
import { readFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { exitCode } from "./exitCodes.js";

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

function wrongRole(file: string, settings: Settings, wanted: Settings["role"]): never {
    process.stderr.write(`${file}: role: "${wanted}" was asked for; the file is for "${settings.role}"\n`);
    process.exit(exitCode.settings);
}

async function serve(start: () => Promise<Daemon>): Promise<void> {
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
            await serve(() => settings.role === "entry" ? startEntry(settings) : wrongRole(file, settings, "entry"));
        },
    )
    .command(
        "sidecar <settings>",
        "run the sidecar of one backend server",
        builder => builder.positional("settings", settingsArgument),
        async ({ settings: file }) => {
            const settings = readSettings(file);
            await serve(() =>
                settings.role === "sidecar" ? startSidecar(settings) : wrongRole(file, settings, "sidecar")
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
    .demandCommand(1, "name a command: entry, sidecar or check")
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? String(error)}\nSee verbenaspring --help\n`);
        process.exit(exitCode.usage);
    })
    .epilogue("Exit codes: 0 success, 1 failure, 2 faults in the settings, 64 wrong usage")
    .parseAsync();
