/**
 * `npm run experiment -- --seed S [--policy P] [--workload W]`: compares policies on the same arrivals, prints a table,
 * and writes JSON and a plot under results/.
 */
import {
    admitAll,
    admitByForecast,
    admitByMean,
    admitUpTo,
    betterOfTwo,
    chooseRandom,
    fairShortFirst,
    firstInFirstOut,
    keepOldest,
    keepShort,
    marginsOfObjective,
    seededSource,
} from "@verbenaspring/coordination";
import { mkdirSync, writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type ExperimentPolicy, type ExperimentResult, runExperiment } from "./experimentModel.js";
import { drawArrivals, type Workload, workloads } from "./experimentWorkloads.js";
import { plotResults } from "./plot.js";

const engines = 4;
const loads = [0.7, 0.95, 1.2, 1.5] as const;
const sweptLimits = [8, 12, 16, 24, 32, 48] as const;
const resultsDirectory = "results";

/** One line of the table. */
interface ExperimentRow {
    readonly workload: string;
    readonly load: string;
    readonly policy: string;
    readonly result: ExperimentResult;
}

const common = {
    priority: keepShort,
    queueOrder: fairShortFirst,
    shortWorkMayPass: true,
    routing: betterOfTwo,
    refusesUnmeetableDeadlines: true,
    maximumQueue: 256,
};
const plain = {
    priority: keepOldest,
    queueOrder: firstInFirstOut,
    shortWorkMayPass: false,
    routing: betterOfTwo,
    refusesUnmeetableDeadlines: false,
    maximumQueue: Infinity,
};

function policies(bestLimit: number): ExperimentPolicy[] {
    return [
        { name: "no admission control", admission: admitAll, ...plain },
        { name: `fixed limit ${bestLimit}, FIFO`, admission: admitUpTo(bestLimit), ...plain },
        { name: "mean forecast", admission: admitByMean, ...common },
        {
            name: "forecast, FIFO",
            admission: admitByForecast(marginsOfObjective.stall),
            ...common,
            queueOrder: firstInFirstOut,
            shortWorkMayPass: false,
        },
        {
            name: "forecast, none may pass",
            admission: admitByForecast(marginsOfObjective.stall),
            ...common,
            shortWorkMayPass: false,
        },
        {
            name: "forecast, oldest kept",
            admission: admitByForecast(marginsOfObjective.stall),
            ...common,
            priority: keepOldest,
        },
        {
            name: "forecast, random routing",
            admission: admitByForecast(marginsOfObjective.stall),
            ...common,
            routing: chooseRandom,
        },
        { name: "forecast (stall)", admission: admitByForecast(marginsOfObjective.stall), ...common },
        { name: "forecast (preemptions)", admission: admitByForecast(marginsOfObjective.preemptions), ...common },
    ];
}

const { seed, policy: wantedPolicy, workload: wantedWorkload, load: wantedLoad, seconds } = await yargs(
    hideBin(process.argv),
)
    .scriptName("experiment")
    .options({
        seed: { type: "number", default: 1, describe: "seed of arrivals and lengths" },
        policy: { type: "string", describe: "only policies whose name holds this" },
        workload: { type: "string", describe: "only workloads whose name holds this" },
        load: { type: "string", describe: "only this load, such as 95%" },
        seconds: { type: "number", default: 300, describe: "virtual seconds of each run" },
    })
    .strict()
    .parseAsync();

const duration = seconds * 1_000;
const say = (line: string): void => void process.stdout.write(`${line}\n`);

/** What the engines carry: whole answers a second when work is always waiting, at the best fixed limit. */
function findCapacity(workload: Workload): { readonly perSecond: number; readonly bestLimit: number; } {
    const flood = drawArrivals(workload, 100, duration, seededSource(seed).random)
        .map(request => ({ ...request, kind: { ...request.kind, deadline: Infinity } }));
    const measured = sweptLimits.map(limit => {
        const policy = { name: "sweep", admission: admitUpTo(limit), ...plain };
        const options = { engines, duration, seed, losesEngine: false };
        return { limit, result: runExperiment(policy, flood, options) };
    });
    const best = measured.reduce((first, each) => each.result.goodput > first.result.goodput ? each : first);
    const mean = flood.reduce((sum, request) => sum + request.outputTokens, 0) / flood.length;
    return { perSecond: best.result.goodput / mean, bestLimit: best.limit };
}

function runWorkload(workload: Workload): ExperimentRow[] {
    const { perSecond, bestLimit } = findCapacity(workload);
    say(`${workload.name}: the engines carry ${perSecond.toFixed(1)} requests a second; best fixed limit ${bestLimit}`);
    const allCases = [
        ...loads.map(load => ({ label: `${Math.round(load * 100)}%`, load, losesEngine: false })),
        { label: "70%, engine lost", load: 0.7, losesEngine: true },
    ];
    const cases = allCases.filter(({ label }) => wantedLoad === undefined || label === wantedLoad);
    return cases.flatMap(({ label, load, losesEngine }) => {
        const arrivals = drawArrivals(workload, perSecond * load, duration, seededSource(seed + 1).random);
        return policies(bestLimit)
            .filter(policy => wantedPolicy === undefined || policy.name.includes(wantedPolicy))
            .map(policy => {
                const result = runExperiment(policy, arrivals, { engines, duration, seed, losesEngine });
                return { workload: workload.name, load: label, policy: policy.name, result };
            });
    });
}

function printTable(rows: readonly ExperimentRow[]): void {
    const header = [
        "policy",
        "whole",
        "refused",
        "late",
        "preempt/1000",
        "thrown tok",
        "goodput",
        "stall p50/p95/p99/max s",
        "short p99 s",
        "small org p99 s",
        "tbt p50/p95/p99 ms",
    ];
    const lines = rows.map(({ policy, result }) => cells(policy, result));
    const widths = header.map((title, column) => Math.max(title.length, ...lines.map(line => line[column].length)));
    const format = (line: readonly string[]): string =>
        line.map((cell, column) => cell.padEnd(widths[column])).join("  ");
    const groups = new Set(rows.map(row => `${row.workload} at ${row.load}`));
    for (const group of groups) {
        say(`\n${group}`);
        say(format(header));
        rows.forEach((row, index) => {
            if (`${row.workload} at ${row.load}` === group) {
                say(format(lines[index]));
            }
        });
    }
}

function cells(policy: string, result: ExperimentResult): string[] {
    const seconds = (milliseconds: number): string => (milliseconds / 1_000).toFixed(2);
    const { stalls, tokenIntervals: gaps } = result;
    const stallQuantiles = [50, 95, 99, 100].map(quantile => seconds(stalls.getValueAtPercentile(quantile)));
    return [
        policy,
        String(result.whole),
        String(result.refused),
        String(result.late),
        (result.preemptions / Math.max(1, result.whole) * 1_000).toFixed(1),
        String(result.recomputedTokens),
        result.goodput.toFixed(0),
        stallQuantiles.join(" / "),
        seconds(result.shortStalls.getValueAtPercentile(99)),
        seconds(result.smallStalls.getValueAtPercentile(99)),
        [50, 95, 99].map(quantile => gaps.getValueAtPercentile(quantile).toFixed(0)).join(" / "),
    ];
}

function toJson({ workload, load, policy, result }: ExperimentRow): object {
    const { stalls, shortStalls, smallStalls, tokenIntervals: gaps, ...numbers } = result;
    const quantiles = (histogram: typeof stalls): object => ({
        p50: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        p99: histogram.getValueAtPercentile(99),
        max: histogram.maxValue,
    });
    return {
        workload,
        load,
        policy,
        ...numbers,
        stall: quantiles(stalls),
        shortStall: quantiles(shortStalls),
        smallOrganisationStall: quantiles(smallStalls),
        timeBetweenTokens: quantiles(gaps),
    };
}

const chosen = workloads.filter(each => wantedWorkload === undefined || each.name.includes(wantedWorkload));
const rows = chosen.flatMap(runWorkload);
printTable(rows);
mkdirSync(resultsDirectory, { recursive: true });
writeFileSync(`${resultsDirectory}/experiment-${seed}.json`, `${JSON.stringify(rows.map(toJson), undefined, 4)}\n`);
writeFileSync(`${resultsDirectory}/experiment-${seed}.svg`, await plotResults(rows));
say(`\nwritten: ${resultsDirectory}/experiment-${seed}.json and .svg`);
