// Installs the packages in a fresh clone, as the lock file names them, so that every command works without a separate
// installation. No package needs its install script: binaries come as packages of their own.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

if (!existsSync("node_modules/.package-lock.json")) {
    process.stderr.write("installing packages (first run)\n");
    const result = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], { encoding: "utf8" });
    if (result.status !== 0) {
        process.stderr.write(`${result.stdout}${result.stderr}`);
        process.exit(1);
    }
}
