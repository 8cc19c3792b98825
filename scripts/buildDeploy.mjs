// Bundles the programs that the platform runs into target/. Each is a single file with a V8 code cache, so that a
// restarted gateway serves within one or two seconds on a fraction of a core.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

// The flags with which the platform runs the gateway. V8 rejects a code cache that was created with other flags.
const v8Flags = ["--max-old-space-size=110", "--max-semi-space-size=4"];

const undiciClientPlugin = {
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
    // Node.js parses the line of a failed assertion for its message: seconds for one of 290 KB.
    lineLimit: 400,
    platform: "node",
    target: "node20",
    format: "cjs",
    conditions: ["source"],
    mainFields: ["module", "main"],
    plugins: [undiciClientPlugin],
    logOverride: { "import-is-undefined": "silent" },
});
copyFileSync("scripts/startFromCodeCache.cjs", "target/start.cjs");
const codeCacheBuild = spawnSync(process.execPath, [...v8Flags, "target/start.cjs", "gateway", "--compile"], {
    encoding: "utf8",
});
if (codeCacheBuild.status !== 0) {
    process.stderr.write(`${codeCacheBuild.stdout}${codeCacheBuild.stderr}`);
    process.exit(1);
}
