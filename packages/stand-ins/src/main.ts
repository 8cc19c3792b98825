#!/usr/bin/env node
/**
 * Starts one stand-in as a separate process: `main.js log|instances|engine|service --port N`.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { defaultEngine } from "./engineModel.js";
import { startEngineStandIn } from "./engineStandIn.js";
import { startInstanceListStandIn } from "./instanceListStandIn.js";
import { startLogStandIn } from "./logStandIn.js";
import { startServiceStandIn } from "./serviceStandIn.js";

const port = { type: "number", demandOption: true, describe: "TCP port on loopback" } as const;

await yargs(hideBin(process.argv))
    .scriptName("stand-in")
    .command(
        "log",
        "the platform's log",
        builder =>
            builder.options({
                port,
                retention: { type: "number", default: 100_000, describe: "records kept per stream" },
                "appends-per-second": {
                    type: "number",
                    default: 500,
                    describe: "maximum number of appends per second",
                },
            }),
        async ({ port, retention, appendsPerSecond }) => {
            await startLogStandIn({ port, retention, appendsPerSecond });
        },
    )
    .command(
        "instances",
        "the platform's instance list",
        builder =>
            builder.options({
                port,
                lag: { type: "number", default: 500, describe: "delay in milliseconds until readers see a change" },
            }),
        async ({ port, lag }) => {
            await startInstanceListStandIn(port, lag);
        },
    )
    .command(
        "engine",
        "an inference engine",
        builder =>
            builder.options({
                port,
                "memory-tokens": { type: "number", default: defaultEngine.memoryTokens, describe: "memory in tokens" },
            }),
        async ({ port, memoryTokens }) => {
            await startEngineStandIn(port, { ...defaultEngine, memoryTokens });
        },
    )
    .command("service", "a plain service", builder => builder.options({ port }), async ({ port }) => {
        await startServiceStandIn(port);
    })
    .demandCommand(1)
    .strict()
    .parseAsync();
