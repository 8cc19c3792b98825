// Installs the packages in a fresh clone, so that every command works without a separate installation. `npm install`
// follows the lock file. `npm ci` would also require lock entries for optional packages of other operating systems,
// which the registry may not carry.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

if (!existsSync("node_modules/.package-lock.json")) {
    process.stderr.write("installing packages (first run)\n");
    const result = spawnSync("npm", ["install", "--no-audit", "--no-fund"], { encoding: "utf8" });
    if (result.status !== 0) {
        process.stderr.write(`${result.stdout}${result.stderr}`);
        process.exit(1);
    }
}
