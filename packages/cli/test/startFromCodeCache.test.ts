import { spawn } from "node:child_process";
import { once } from "node:events";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";

const programSource = `
    process.kill(process.pid, "SIGHUP");
    setTimeout(() => process.exit(0), 200);
`;

test("SIGHUP does not end a program that is still loading", async () => {
    const folder = mkdtempSync(join(tmpdir(), "verbenaspring-start-"));
    copyFileSync("scripts/startFromCodeCache.cjs", join(folder, "start.cjs"));
    writeFileSync(join(folder, "program.cjs"), programSource);
    const child = spawn(process.execPath, [join(folder, "start.cjs"), "program"], { stdio: "ignore" });
    const [code, signal] = await once(child, "exit") as [number | null, string | null];
    rmSync(folder, { recursive: true, force: true });
    assert.equal({ code, signal }, { code: 0, signal: null });
});

test.run();
