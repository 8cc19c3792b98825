import { spawn } from "node:child_process";
import { once } from "node:events";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";

const loadingProgram = `
    process.kill(process.pid, "SIGHUP");
    setTimeout(() => process.exit(0), 200);
`;

test("a signal that the settings changed does not end a program that is still being loaded", async () => {
    const folder = mkdtempSync(join(tmpdir(), "verbenaspring-start-"));
    copyFileSync("scripts/startCompiled.cjs", join(folder, "start.cjs"));
    writeFileSync(join(folder, "program.cjs"), loadingProgram);
    const child = spawn(process.execPath, [join(folder, "start.cjs"), "program"], { stdio: "ignore" });
    const [code, signal] = await once(child, "exit") as [number | null, string | null];
    rmSync(folder, { recursive: true, force: true });
    assert.equal({ code, signal }, { code: 0, signal: null });
});

test.run();
