/**
 * `npm run demo`: runs both users' services on loopback under a mixed load and prints a table. Exits with 1 if any
 * request failed, any answer was wrong or cut off, or any non-idempotent call ran twice.
 */
import { createDocuments, type MixedLoadResult, runMixedLoad } from "./mixedLoad.js";
import { ProcessCluster } from "./processCluster.js";
import { userDocuments } from "./userDocuments.js";

const seconds = 15;
const requestsPerSecond = 16;
const seed = 1;

const say = (line: string): void => void process.stdout.write(`${line}\n`);

function tableRows(result: MixedLoadResult): readonly (readonly [string, string | number])[] {
    const { silentIntervals, tokenIntervals, timesToFirstToken } = result;
    return [
        ["requests", result.requests],
        ["whole answers", result.whole],
        ["refused, not run", result.refused],
        ["failed", result.failed],
        ["tokens", result.tokens],
        [
            "first token p50 / p95 (ms)",
            `${timesToFirstToken.getValueAtPercentile(50)} / ${timesToFirstToken.getValueAtPercentile(95)}`,
        ],
        [
            "stall p50 / p99 / max (ms)",
            `${silentIntervals.getValueAtPercentile(50)} / ${silentIntervals.getValueAtPercentile(99)} / ${
                Math.round(silentIntervals.maxValue)
            }`,
        ],
        [
            "time between tokens p95 / p99 (ms)",
            `${tokenIntervals.getValueAtPercentile(95)} / ${tokenIntervals.getValueAtPercentile(99)}`,
        ],
        ["preemptions", result.preemptions],
        [
            "non-idempotent: asked / run / run twice",
            `${result.confirmationsSent} / ${result.confirmationsRun} / ${result.confirmationsRunTwice}`,
        ],
        ["wrong, cut or doubled", result.errors.length],
    ];
}

async function main(): Promise<number> {
    say("starting 3 entries, 4 engines, 2 plain services and their sidecars");
    const cluster = await ProcessCluster.start({
        entries: 3,
        engines: ["assistant", "assistant", "planner", "planner"],
        plainServers: ["booking", "slots"],
    });
    try {
        say("creating services, routes and organisations with verbenactl");
        await createDocuments(cluster, userDocuments());
        say(`running a mixed load for ${seconds} s`);
        const result = await runMixedLoad(cluster, { seconds, requestsPerSecond, seed, onProgress: say });
        tableRows(result).forEach(([name, value]) => say(`${name.padEnd(42)}${value}`));
        result.failureCounts.forEach((count, type) => say(`  ${type}: ${count}`));
        result.errors.forEach(error => say(`FAULT ${error}`));
        return result.errors.length + result.confirmationsRunTwice + result.failed === 0 ? 0 : 1;
    }
    finally {
        await cluster.stop();
    }
}

process.exit(await main());
