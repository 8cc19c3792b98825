import { createLineWriter, limitLogRate } from "@verbenaspring/runtime";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("lines of one event are limited per window, warnings at a higher limit, and omitted lines are counted", () => {
    const lines: string[] = [];
    const { log, startNextWindow } = limitLogRate((level, event, fields) =>
        lines.push(`${level} ${event} ${fields?.kind ?? ""}`)
    );
    for (let count = 0; count < 1_000; count++) {
        log("info", "attempt_failed");
        log("warn", "request_failed");
    }
    const written = (text: string): number => lines.filter(line => line.includes(text)).length;
    assert.is(written("attempt_failed"), 50);
    assert.is(written("request_failed"), 200);
    startNextWindow();
    assert.is(written("log_lines_left_out"), 2);
    log("info", "attempt_failed");
    assert.is(written("info attempt_failed"), 51);
});

test("lines are dropped while too many bytes are unread, and the next write logs their count", () => {
    const written: string[] = [];
    const output = {
        on: () => output,
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
    import { createLineWriter } from "@verbenaspring/runtime";
    const write = createLineWriter(process.stdout);
    const line = "x".repeat(1_000) + "\\n";
    for (let count = 0; count < 10_000; count++) {
        write(line);
    }
    process.stderr.write("written");
`;

test("a process whose log is not read is not blocked", async () => {
    // The pipe comes from a shell, since Node connects the output of a child process by a socket, not by a pipe.
    const command = "\"$0\" --input-type=module --eval \"$1\" | sleep 60";
    const child = spawn("sh", ["-c", command, process.execPath, floodingProgram], {
        cwd: import.meta.dirname,
        stdio: ["ignore", "ignore", "pipe"],
        detached: true,
    });
    const timeout = new Promise(resolve =>
        setTimeout(() => resolve(["nothing: the process is blocked"]), 15_000).unref()
    );
    const [first] = await Promise.race([once(child.stderr, "data"), timeout]) as [Buffer | string];
    process.kill(-child.pid!, "SIGKILL");
    assert.is(String(first), "written");
});

test("a process goes on after the reader of its log has closed the pipe", async () => {
    const program = `
        import { createLineWriter } from "@verbenaspring/runtime";
        const write = createLineWriter(process.stdout);
        setInterval(() => write("line\\n"), 5);
        setTimeout(() => { process.stderr.write("goes on"); process.exit(0); }, 500);
    `;
    const child = spawn(process.execPath, ["--input-type=module", "--eval", program], {
        cwd: import.meta.dirname,
        stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.once("data", () => child.stdout.destroy());
    const [code] = await once(child, "exit") as [number | null];
    assert.is(code, 0);
});

test.run();
