/**
 * `npm run load`: measures latency, processor time and memory of the path through one entry process and one sidecar
 * process, under open-loop arrivals at several rates. The messages of a link are sent in frames, every 4 ms or after
 * each turn of the event loop. The baseline is the same load sent straight to the engine. At the end it counts the log
 * appends of keyed calls.
 */
import { seededSource } from "@verbenaspring/coordination";
import { createParser } from "eventsource-parser";
import { build, type Histogram } from "hdr-histogram-js";
import { readFileSync } from "node:fs";
import { request } from "undici";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { createDocuments, discardedRandomValues } from "./mixedLoad.js";
import { type BackendProcess, type ClusterProcess, ProcessCluster } from "./processCluster.js";
import { requestCompletion } from "./testCaller.js";
import { organisations, userDocuments } from "./userDocuments.js";

const outputTokens = 100;
/** Milliseconds after which the work that a process does once, at its start, is over. */
const startupTime = 30_000;
/** Keyed calls a second. */
const claimRates = [10, 50, 150] as const;
/** The default of the settings, in milliseconds; a process cluster's own default is shorter. */
const defaultPollInterval = 500;
const clockTicksPerSecond = 100;
const say = (line: string): void => void process.stdout.write(`${line}\n`);

const { seed, seconds, rates } = await yargs(hideBin(process.argv))
    .scriptName("load")
    .options({
        seed: { type: "number", default: 1, describe: "seed of the arrivals" },
        seconds: { type: "number", default: 12, describe: "length of each run" },
        rates: { type: "array", number: true, default: [2, 6, 12], describe: "requests a second" },
    })
    .strict()
    .parseAsync();

interface LoadResult {
    /** In microseconds; of a plain call, the time to its whole answer. */
    readonly timesToFirstToken: Histogram;
    /** In microseconds. */
    readonly tokenIntervals: Histogram;
    tokens: number;
    requests: number;
    /** Requests without a complete answer. */
    failures: number;
}

type SendRequest = (index: number, result: LoadResult) => Promise<void>;

function emptyResult(): LoadResult {
    const histogram = (): Histogram => build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
    return { timesToFirstToken: histogram(), tokenIntervals: histogram(), tokens: 0, requests: 0, failures: 0 };
}

async function runLoad(rate: number, sendRequest: SendRequest): Promise<LoadResult> {
    const { random } = seededSource(seed, discardedRandomValues);
    const result = emptyResult();
    const started = performance.now();
    const calls: Promise<void>[] = [];
    for (let due = 0; due < seconds * 1_000; due += -Math.log(1 - random()) / rate * 1_000) {
        const wait = started + due - performance.now();
        await new Promise(resolve => setTimeout(resolve, Math.max(0, wait)));
        calls.push(sendRequest(result.requests++, result));
    }
    await Promise.all(calls);
    return result;
}

function sendThroughEntry(cluster: ProcessCluster): SendRequest {
    const [{ callerAddress: address }] = cluster.entries;
    return async (index, result) => {
        const prompt = `tag=load-${index} length=${outputTokens}`;
        const completion = await requestCompletion({ address, key: organisations[0].key, model: "reminder", prompt });
        result.tokens += completion.tokens.length;
        result.failures += completion.isComplete ? 0 : 1;
        result.timesToFirstToken.recordValue((completion.timeToFirstToken ?? 0) * 1_000);
        completion.tokenIntervals.forEach(interval => result.tokenIntervals.recordValue(interval * 1_000));
    };
}

function sendToEngine({ backendAddress }: BackendProcess): SendRequest {
    return async (index, result) => {
        const started = performance.now();
        let lastTokenAt: number | undefined;
        const response = await request(`http://${backendAddress}/v1/completions`, {
            method: "POST",
            body: JSON.stringify({
                request_id: `direct-${performance.now()}-${index}`,
                priority: 0,
                prompt: `tag=direct-${index} length=${outputTokens}`,
                max_tokens: 10_000,
            }),
        });
        const parser = createParser({
            onEvent: ({ event, data }) => {
                if (event !== undefined) {
                    return;
                }
                const now = performance.now();
                const { texts } = JSON.parse(data) as { texts: string[]; };
                const interval = (now - (lastTokenAt ?? started)) * 1_000;
                (lastTokenAt === undefined ? result.timesToFirstToken : result.tokenIntervals).recordValue(
                    interval / (lastTokenAt === undefined ? 1 : texts.length),
                );
                lastTokenAt = now;
                result.tokens += texts.length;
            },
        });
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            parser.feed(chunk.toString());
        }
    };
}

/** Processor time that a process has used, in seconds. */
function processorSeconds({ child }: ClusterProcess): number {
    const fields = readFileSync(`/proc/${child.pid}/stat`, "utf8").split(") ")[1].split(" ");
    return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
}

/** Resident memory of a process, in megabytes. */
function residentMegabytes({ child }: ClusterProcess): number {
    const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"));
    return Number(line?.[1] ?? 0) / 1_024;
}

function formatResult(name: string, rate: number, result: LoadResult): string {
    const milliseconds = (histogram: Histogram, quantile: number): string =>
        (histogram.getValueAtPercentile(quantile) / 1_000).toFixed(1);
    const quantiles = (histogram: Histogram): string =>
        [50, 95, 99].map(each => milliseconds(histogram, each)).join(" / ");
    return `${name.padEnd(24)} ${String(rate).padStart(4)}/s  tokens/s ${
        (result.tokens / seconds).toFixed(0).padStart(5)
    }`
        + `  first token ${quantiles(result.timesToFirstToken)} ms  between tokens ${
            quantiles(result.tokenIntervals)
        } ms  cut ${result.failures}`;
}

/** Measures the processor share of entry and sidecar without requests: the cost of the control traffic of one link. */
async function measureIdle(cluster: ProcessCluster, name: string): Promise<void> {
    const processes = [cluster.entries[0], cluster.backends[0].sidecar];
    await new Promise(resolve => setTimeout(resolve, startupTime));
    const before = processes.map(processorSeconds);
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    const shares = processes.map((each, index) =>
        ((processorSeconds(each) - before[index]) / seconds * 100).toFixed(2)
    );
    say(`${name.padEnd(24)} idle: entry ${shares[0]}%, sidecar ${shares[1]}% of a core`);
}

async function measurePath(batchInterval: number): Promise<void> {
    const name = batchInterval === 0 ? "path, frames each turn" : `path, frames of ${batchInterval} ms`;
    const link = { link: { batchInterval } };
    const cluster = await ProcessCluster.start({
        entries: 1,
        engines: ["assistant"],
        plainServers: [],
        pollInterval: defaultPollInterval,
        entrySettings: link,
        sidecarSettings: link,
    });
    try {
        await createDocuments(cluster, userDocuments());
        await measureIdle(cluster, name);
        await runLoad(2, sendThroughEntry(cluster));
        for (const rate of rates) {
            const [entry, sidecar] = [cluster.entries[0], cluster.backends[0].sidecar];
            const before = [entry, sidecar].map(processorSeconds);
            const result = await runLoad(rate, sendThroughEntry(cluster));
            const used = [entry, sidecar].map((each, index) => processorSeconds(each) - before[index]);
            say(formatResult(name, rate, result));
            const perToken = used.map(each => (each / result.tokens * 1e6).toFixed(0));
            const perCore = used.map(each => (result.tokens / each).toFixed(0));
            const resident = [entry, sidecar].map(each => residentMegabytes(each).toFixed(0));
            say(
                `${"".padEnd(24)} processor: entry ${used[0].toFixed(2)} s, sidecar ${used[1].toFixed(2)} s;`
                    + ` a token ${perToken.join(" / ")} us; tokens a second on one core ${perCore.join(" / ")};`
                    + ` resident ${resident.join(" / ")} MB`,
            );
        }
        if (batchInterval > 0) {
            for (const rate of rates) {
                say(formatResult("engine alone", rate, await runLoad(rate, sendToEngine(cluster.backends[0]))));
            }
        }
    }
    finally {
        await cluster.stop();
    }
}

/** Measures the log appends of keyed calls, and the statements in each append, at several rates. */
async function measureClaims(): Promise<void> {
    const cluster = await ProcessCluster.start({ entries: 2, engines: [], plainServers: ["booking", "booking"] });
    try {
        await createDocuments(cluster, userDocuments());
        for (const rate of claimRates) {
            const before = await readClaimCounters(cluster);
            const result = await runLoad(rate, sendConfirmation(cluster, rate));
            const after = await readClaimCounters(cluster);
            const appends = after.appends - before.appends;
            const statements = after.statements - before.statements;
            const quantiles = [50, 95, 99].map(each =>
                (result.timesToFirstToken.getValueAtPercentile(each) / 1_000).toFixed(1)
            );
            say(
                `keyed calls ${String(rate).padStart(4)}/s  asked ${result.requests}, not answered ${result.failures};`
                    + ` ${appends} appends, ${(appends / result.requests).toFixed(2)} a call, ${
                        (statements / appends).toFixed(1)
                    }`
                    + ` statements each; answer ${quantiles.join(" / ")} ms`,
            );
        }
    }
    finally {
        await cluster.stop();
    }
}

function sendConfirmation(cluster: ProcessCluster, rate: number): SendRequest {
    return async (index, result) => {
        const { callerAddress } = cluster.entries[index % cluster.entries.length];
        const started = performance.now();
        const response = await request(`http://${callerAddress}/services/booking/slots/confirm`, {
            method: "POST",
            headers: {
                authorization: `Bearer ${organisations[0].key}`,
                "content-type": "application/json",
                "idempotency-key": `load-${rate}-${index}`,
            },
            body: JSON.stringify({ booking: `load-${rate}-${index}` }),
        });
        await response.body.dump();
        result.timesToFirstToken.recordValue((performance.now() - started) * 1_000);
        result.failures += response.statusCode === 200 ? 0 : 1;
    };
}

async function readClaimCounters(
    cluster: ProcessCluster,
): Promise<{ readonly appends: number; readonly statements: number; }> {
    const texts = await Promise.all(cluster.entries.map(async ({ callerAddress }) => {
        const response = await request(`http://${callerAddress}/metrics`);
        return response.body.text();
    }));
    const total = (name: string): number =>
        texts.reduce((sum, text) => sum + Number(new RegExp(`^${name} (\\d+)$`, "m").exec(text)?.[1] ?? 0), 0);
    return {
        appends: total("verbenaspring_claim_appends_total"),
        statements: total("verbenaspring_claim_statements_total"),
    };
}

await measurePath(4);
await measurePath(0);
await measureClaims();
process.exit(0);
