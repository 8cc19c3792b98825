// Runs every test file with uvu, each in a process of its own, and closes with "N passed, N failed". Failures listed in
// KNOWN-RED.txt are printed but don't fail the run.
import { spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";

const wanted = process.argv.slice(2);
const allFiles = findTests().filter(file => wanted.length === 0 || wanted.some(part => file.includes(part)));
const isHeavy = file => file.includes("Process");
const known = readKnownRed();
const results = [];

// Tests that start many processes run alone, so that they don't starve each other.
const light = allFiles.filter(file => !isHeavy(file));
await runAll(light, Math.min(4, availableParallelism()));
await runAll(allFiles.filter(isHeavy), 1);

const passed = results.reduce((sum, result) => sum + result.passed, 0);
const failures = results.flatMap(result => result.failures);
const red = failures.filter(failure => known.some(name => failure.includes(name)));
red.forEach(failure => process.stdout.write(`KNOWN-RED ${failure}\n`));
const failed = failures.length - red.length;
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);

function findTests() {
    const roots = ["packages", "platform"];
    const files = roots.flatMap(root => readdirSync(root, { recursive: true }).map(file => `${root}/${file}`));
    return files.filter(file => file.endsWith(".test.ts") && !file.includes("node_modules")).sort();
}

async function runAll(files, lanes) {
    const queue = [...files];
    const runLane = async () => {
        for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
            results.push(await runFile(file));
        }
    };
    await Promise.all(Array.from({ length: lanes }, runLane));
}

function runFile(file) {
    return new Promise(resolve => {
        const child = spawn(process.execPath, ["--import", "tsx", file], { stdio: ["ignore", "pipe", "pipe"] });
        let output = "";
        child.stdout.on("data", chunk => output += chunk);
        child.stderr.on("data", chunk => output += chunk);
        child.on("close", code => resolve(report(file, code, output.replace(/\u001b\[\d+m/g, ""))));
    });
}

function report(file, code, output) {
    const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0);
    const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
    const failures = [...output.matchAll(/FAIL\s+(.*)/g)].map(match => `${file}: ${match[1].trim()}`);
    if (code !== 0 && failures.length === 0) {
        failures.push(`${file}: ended with code ${code}`);
    }
    process.stdout.write(`${file}: ${passed} of ${total}\n`);
    if (failures.length > 0) {
        process.stdout.write(`${output}\n`);
    }
    return { passed, failures };
}

function readKnownRed() {
    try {
        const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
        return lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim());
    }
    catch {
        return [];
    }
}
