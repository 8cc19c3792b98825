import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
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

// A record of a play could not be matched with the program that had run.
test("the log names the build of a bundled program by its digest", async () => {
    const folder = mkdtempSync(join(tmpdir(), "verbenaspring-start-"));
    const program = "process.stdout.write(globalThis.verbenaspringBuild);";
    copyFileSync("scripts/startFromCodeCache.cjs", join(folder, "start.cjs"));
    writeFileSync(join(folder, "program.cjs"), program);
    const child = spawn(process.execPath, [join(folder, "start.cjs"), "program"], {
        stdio: ["ignore", "pipe", "ignore"],
    });
    const [output] = await Promise.all([text(child.stdout), once(child, "exit")]);
    rmSync(folder, { recursive: true, force: true });
    assert.is(output, createHash("sha256").update(program).digest("hex").slice(0, 12));
});

test.run();
