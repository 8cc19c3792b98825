// Bundles the programs that the platform runs into target/, so that a process starts from one file.
import { build } from "esbuild";

await build({
    entryPoints: { gateway: "packages/cli/src/gatewayProcess.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    format: "esm",
    conditions: ["source"],
    mainFields: ["module", "main"],
    // Packages in CommonJS call `require`, which modules lack.
    banner: { js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);" },
});
