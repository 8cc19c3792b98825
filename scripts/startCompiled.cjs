// Starts a bundled program from the code that V8 compiled at the build: `node start.cjs NAME`. With `--compile` it loads
// the program, writes the compiled code beside it and ends. Without usable compiled code the program is compiled anew.
const { readFileSync, writeFileSync, existsSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

// SIGHUP announces changed settings, which a program that is still being loaded will read anyway; without a listener the
// signal would end it.
process.on("SIGHUP", () => undefined);

const [name, option] = process.argv.slice(2);
const file = join(__dirname, `${name}.cjs`);
const compiledFile = join(__dirname, `${name}.compiled`);
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, "utf8")}\n})`;
const isCompiling = option === "--compile";
const cachedData = !isCompiling && existsSync(compiledFile) ? readFileSync(compiledFile) : undefined;
const script = new Script(source, { filename: file, cachedData });

globalThis.verbenaspringCompiling = isCompiling;
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, createRequire(file), loaded, file, __dirname);
if (isCompiling) {
    writeFileSync(compiledFile, script.createCachedData());
}
