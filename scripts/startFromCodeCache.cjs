// Starts a bundled program with the V8 code cache that the build created: `node start.cjs NAME`. With `--compile` it
// only loads the program, which must not start while `verbenaspringCreatesCodeCache` is set, and writes the code cache
// next to it. A program whose cache is missing or rejected by V8 is compiled as usual.

// SIGHUP announces changed settings and would end a process without a listener. A program that is still loading needs
// no other reaction, as it has yet to read its settings.
process.on("SIGHUP", () => undefined);

const { createHash } = require("node:crypto");
const { readFileSync, writeFileSync, existsSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const [name, option] = process.argv.slice(2);
const programFile = join(__dirname, `${name}.cjs`);
const codeCacheFile = join(__dirname, `${name}.compiled`);
const program = readFileSync(programFile, "utf8");
const source = `(function (exports, require, module, __filename, __dirname) {${program}\n})`;
const isCreatingCodeCache = option === "--compile";
const cachedData = !isCreatingCodeCache && existsSync(codeCacheFile) ? readFileSync(codeCacheFile) : undefined;
const script = new Script(source, { filename: programFile, cachedData });

globalThis.verbenaspringCreatesCodeCache = isCreatingCodeCache;
globalThis.verbenaspringBuild = createHash("sha256").update(program).digest("hex").slice(0, 12);
const programModule = { exports: {} };
script.runInThisContext()(programModule.exports, createRequire(programFile), programModule, programFile, __dirname);
if (isCreatingCodeCache) {
    writeFileSync(codeCacheFile, script.createCachedData());
}
