// Bundles the programs that the platform runs into target/. A process starts from one file, and from the code that V8
// compiled at the build, since a restarted gateway has to serve within a second or two on a part of a core.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

// The flags under which the platform runs the gateway; compiled code only holds for the same ones.
const flags = ["--max-old-space-size=110", "--max-semi-space-size=4"];

const undiciClientOnly = {
    name: "undici-client-only",
    setup: bundler => {
        const path = fileURLToPath(new URL("undiciClient.cjs", import.meta.url));
        bundler.onResolve({ filter: /^undici$/ }, () => ({ path }));
    },
};

await build({
    entryPoints: { gateway: "packages/cli/src/gatewayProcess.ts" },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    conditions: ["source"],
    mainFields: ["module", "main"],
    plugins: [undiciClientOnly],
    logOverride: { "import-is-undefined": "silent" },
});
copyFileSync("scripts/startCompiled.cjs", "target/start.cjs");
const compiled = spawnSync(process.execPath, [...flags, "target/start.cjs", "gateway", "--compile"], {
    encoding: "utf8",
});
if (compiled.status !== 0) {
    process.stderr.write(`${compiled.stdout}${compiled.stderr}`);
    process.exit(1);
}
