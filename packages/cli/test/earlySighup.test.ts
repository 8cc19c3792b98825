import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** Signals the process as soon as it listens for SIGHUP, and prints whether the rest of the program had been loaded. */
const preload = `
    const { on } = process;
    process.on = (event, listener) => {
        on.call(process, event, listener);
        if (event === "SIGHUP" && process.on !== on) {
            process.on = on;
            process.stdout.write(String(process.moduleLoadList.includes("NativeModule http")));
            process.kill(process.pid, "SIGHUP");
        }
        return process;
    };
`;

// All of the program was loaded before the listener was installed, and a SIGHUP in that half second ended the process.
test("verbenaspring listens for SIGHUP before the rest of it is loaded", async () => {
    const preloadUrl = `data:text/javascript,${encodeURIComponent(preload)}`;
    const words = ["--import", preloadUrl, "packages/cli/dist/verbenaspring.js", "--help"];
    const child = spawn(process.execPath, words, { stdio: ["ignore", "pipe", "ignore"] });
    let output = "";
    child.stdout.on("data", chunk => output += String(chunk));
    const [, signal] = await once(child, "exit") as [number | null, string | null];
    assert.is(signal, null);
    assert.match(output, /^false/);
});

test.run();
