import { boundVolume, createLineWriter } from "@verbenaspring/runtime";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("lines of one kind are bounded in a second, failures last, and what was left out is told", () => {
    const lines: string[] = [];
    const { log, turn } = boundVolume((level, event, fields) => lines.push(`${level} ${event} ${fields?.kind ?? ""}`));
    for (let count = 0; count < 1_000; count++) {
        log("info", "attempt_failed");
        log("warn", "request_failed");
    }
    const written = (text: string): number => lines.filter(line => line.includes(text)).length;
    assert.is(written("attempt_failed"), 50);
    assert.is(written("request_failed"), 200);
    turn();
    assert.is(written("log_lines_left_out"), 2);
    log("info", "attempt_failed");
    assert.is(written("info attempt_failed"), 51);
});

test("lines are left out while too much is unread, and counted in the next one that is written", () => {
    const written: string[] = [];
    const output = {
        writableLength: 0,
        write: (line: string) => {
            written.push(line);
            return true;
        },
    };
    const write = createLineWriter(output as never);
    write("a\n");
    output.writableLength = 1e9;
    write("b\n");
    write("c\n");
    output.writableLength = 0;
    write("d\n");
    assert.equal(written, ["a\n", "level=warn event=log_lines_left_out count=2\n", "d\n"]);
});

const floodingProgram = `
    import { createLineWriter, openStandardOutput } from "@verbenaspring/runtime";
    const write = createLineWriter(openStandardOutput());
    const line = "x".repeat(1_000) + "\\n";
    for (let count = 0; count < 10_000; count++) {
        write(line);
    }
    process.stderr.write("written");
    process.stdin.on("data", () => write("last\\n"));
`;

test("a process whose log nobody reads goes on, and tells later how much was left out", async () => {
    const child = spawn(process.execPath, ["--input-type=module", "--eval", floodingProgram], {
        cwd: import.meta.dirname,
        stdio: ["pipe", "pipe", "pipe"],
    });
    child.stdout.pause();
    const [first] = await once(child.stderr, "data") as [Buffer];
    assert.is(String(first), "written");
    let heard = "";
    child.stdout.on("data", chunk => heard += String(chunk));
    child.stdout.resume();
    while (!heard.includes("last")) {
        child.stdin.write("go\n");
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    assert.match(heard, /event=log_lines_left_out count=9\d\d\d/);
    child.kill("SIGKILL");
});

test.run();
