// Runs the test files with uvu, each in its own process: `node scripts/runTests.mjs [WORD...]`, where WORD selects the
// files whose path contains it. The last line is "N passed, N failed", after a line for each failure. Failures listed in
// KNOWN-RED.txt are not counted as failed.
import { spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";

const pathFilters = process.argv.slice(2);
const allFiles = findTests().filter(file => pathFilters.length === 0 || pathFilters.some(word => file.includes(word)));
const runsAlone = file => file.includes("Process");
const knownFailures = readKnownFailures();
const results = [];

// Tests that start many processes run alone, so that they do not take processor time from each other.
const concurrentFiles = allFiles.filter(file => !runsAlone(file));
await runAll(concurrentFiles, Math.min(4, availableParallelism()));
await runAll(allFiles.filter(runsAlone), 1);

const passed = results.reduce((sum, result) => sum + result.passed, 0);
const failures = results.flatMap(result => result.failures);
const listedFailures = failures.filter(failure => knownFailures.some(name => failure.includes(name)));
listedFailures.forEach(failure => process.stdout.write(`KNOWN-RED ${failure}\n`));
const unlistedFailures = failures.filter(failure => !listedFailures.includes(failure));
unlistedFailures.forEach(failure => process.stdout.write(`FAILED ${failure}\n`));
process.stdout.write(`${passed} passed, ${unlistedFailures.length} failed\n`);
process.exit(unlistedFailures.length === 0 ? 0 : 1);

function findTests() {
    const roots = ["packages", "platform"];
    const files = roots.flatMap(root => readdirSync(root, { recursive: true }).map(file => `${root}/${file}`));
    return files.filter(file => file.endsWith(".test.ts") && !file.includes("node_modules")).sort();
}

async function runAll(files, concurrency) {
    const queue = [...files];
    const runQueue = async () => {
        for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
            results.push(await runFile(file));
        }
    };
    await Promise.all(Array.from({ length: concurrency }, runQueue));
}

function runFile(file) {
    return new Promise(resolve => {
        const child = spawn(process.execPath, ["--import", "tsx", file], { stdio: ["ignore", "pipe", "pipe"] });
        let output = "";
        child.stdout.on("data", chunk => output += chunk);
        child.stderr.on("data", chunk => output += chunk);
        child.on("close", code => resolve(reportResult(file, code, output.replace(/\u001b\[\d+m/g, ""))));
    });
}

function reportResult(file, code, output) {
    const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0);
    const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
    const skipped = Number(/Skipped:\s+(\d+)/.exec(output)?.[1] ?? 0);
    const failures = [...output.matchAll(/FAIL\s+(.*)/g)].map(match => `${file}: ${match[1].trim()}`);
    if (code !== 0 && failures.length === 0) {
        failures.push(`${file}: ended with code ${code}`);
    }
    // After an error in a `before` hook, uvu runs no test and reports success.
    if (failures.length === 0 && (total === 0 || passed + skipped < total)) {
        failures.push(`${file}: ${total - passed - skipped} of ${total} tests did not run`);
    }
    process.stdout.write(`${file}: ${passed} of ${total}\n`);
    if (failures.length > 0) {
        process.stdout.write(`${output}\n`);
    }
    return { passed, failures };
}

function readKnownFailures() {
    try {
        const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
        return lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim());
    }
    catch {
        return [];
    }
}
