// Installs the packages where a fresh clone has none, so that each command sets itself up.
import { execFileSync } from "node:child_process";
import { existsSync } from "node:fs";

if (!existsSync("node_modules/.package-lock.json")) {
    process.stderr.write("installing packages (first run)\n");
    execFileSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: ["ignore", "ignore", "inherit"] });
}
