/**
 * `npm run experiment -- --seed S [--policy P] [--workload W]`: compares policies on the same arrivals, prints a
 * table, and writes JSON and a plot to results/.
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
    marginsByObjective,
    oldestFirstPriority,
    seededSource,
    shortFirstPriority,
} from "@verbenaspring/coordination";
import { mkdirSync, writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type ExperimentPolicy, type ExperimentResult, runExperiment } from "./experimentModel.js";
import { drawArrivals, type Workload, workloads } from "./experimentWorkloads.js";
import { plotResults } from "./plot.js";

const engines = 4;
/** Arrival rates as shares of the engines' capacity. */
const loads = [0.7, 0.95, 1.2, 1.5] as const;
/** The limits on running requests among which the best fixed limit is searched. */
const sweptLimits = [8, 12, 16, 24, 32, 48] as const;
const resultsDirectory = "results";

/** The result of one policy under one workload and load. */
interface ExperimentRow {
    readonly workload: string;
    readonly load: string;
    readonly policy: string;
    readonly result: ExperimentResult;
}

/** The defaults of the policies with a forecast; some of these policies change one part. */
const forecastDefaults = {
    priority: shortFirstPriority,
    queueOrder: fairShortFirst,
    shortWorkMayPass: true,
    routing: betterOfTwo,
    refusesUnmeetableDeadlines: true,
    maximumQueue: 256,
};
/** The defaults of the baselines, which have no forecast. */
const baselineDefaults = {
    priority: oldestFirstPriority,
    queueOrder: firstInFirstOut,
    shortWorkMayPass: false,
    routing: betterOfTwo,
    refusesUnmeetableDeadlines: false,
    maximumQueue: Infinity,
};

function policies(bestLimit: number): ExperimentPolicy[] {
    return [
        { name: "no admission control", admission: admitAll, ...baselineDefaults },
        { name: `fixed limit ${bestLimit}, FIFO`, admission: admitUpTo(bestLimit), ...baselineDefaults },
        { name: "mean forecast", admission: admitByMean, ...forecastDefaults },
        {
            name: "forecast, FIFO",
            admission: admitByForecast(marginsByObjective.stall),
            ...forecastDefaults,
            queueOrder: firstInFirstOut,
            shortWorkMayPass: false,
        },
        {
            name: "forecast, none may pass",
            admission: admitByForecast(marginsByObjective.stall),
            ...forecastDefaults,
            shortWorkMayPass: false,
        },
        {
            name: "forecast, oldest kept",
            admission: admitByForecast(marginsByObjective.stall),
            ...forecastDefaults,
            priority: oldestFirstPriority,
        },
        {
            name: "forecast, random routing",
            admission: admitByForecast(marginsByObjective.stall),
            ...forecastDefaults,
            routing: chooseRandom,
        },
        { name: "forecast (stall)", admission: admitByForecast(marginsByObjective.stall), ...forecastDefaults },
        {
            name: "forecast (preemptions)",
            admission: admitByForecast(marginsByObjective.preemptions),
            ...forecastDefaults,
        },
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

/** Measures the capacity of the engines: complete answers a second under constant overload, at the best fixed limit. */
function findCapacity(workload: Workload): { readonly requestsPerSecond: number; readonly bestLimit: number; } {
    const overload = drawArrivals(workload, 100, duration, seededSource(seed).random)
        .map(request => ({ ...request, kind: { ...request.kind, deadline: Infinity } }));
    const measured = sweptLimits.map(limit => {
        const policy = { name: "sweep", admission: admitUpTo(limit), ...baselineDefaults };
        const options = { engines, duration, seed, losesEngine: false };
        return { limit, result: runExperiment(policy, overload, options) };
    });
    const best = measured.reduce((first, each) => each.result.goodput > first.result.goodput ? each : first);
    const meanTokens = overload.reduce((sum, request) => sum + request.outputTokens, 0) / overload.length;
    return { requestsPerSecond: best.result.goodput / meanTokens, bestLimit: best.limit };
}

function runWorkload(workload: Workload): ExperimentRow[] {
    const { requestsPerSecond, bestLimit } = findCapacity(workload);
    say(`${workload.name}: the engines carry ${
        requestsPerSecond.toFixed(1)
    } requests a second; best fixed limit ${bestLimit}`);
    const allCases = [
        ...loads.map(load => ({ label: `${Math.round(load * 100)}%`, load, losesEngine: false })),
        { label: "70%, engine lost", load: 0.7, losesEngine: true },
    ];
    const cases = allCases.filter(({ label }) => wantedLoad === undefined || label === wantedLoad);
    return cases.flatMap(({ label, load, losesEngine }) => {
        const arrivals = drawArrivals(workload, requestsPerSecond * load, duration, seededSource(seed + 1).random);
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
    const lines = rows.map(({ policy, result }) => formatCells(policy, result));
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

function formatCells(policy: string, result: ExperimentResult): string[] {
    const seconds = (milliseconds: number): string => (milliseconds / 1_000).toFixed(2);
    const { stalls, tokenIntervals } = result;
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
        [50, 95, 99].map(quantile => tokenIntervals.getValueAtPercentile(quantile).toFixed(0)).join(" / "),
    ];
}

function toJson({ workload, load, policy, result }: ExperimentRow): object {
    const { stalls, shortStalls, smallStalls, tokenIntervals, ...numbers } = result;
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
        timeBetweenTokens: quantiles(tokenIntervals),
    };
}

const chosen = workloads.filter(each => wantedWorkload === undefined || each.name.includes(wantedWorkload));
const rows = chosen.flatMap(runWorkload);
printTable(rows);
mkdirSync(resultsDirectory, { recursive: true });
writeFileSync(`${resultsDirectory}/experiment-${seed}.json`, `${JSON.stringify(rows.map(toJson), undefined, 4)}\n`);
writeFileSync(`${resultsDirectory}/experiment-${seed}.svg`, await plotResults(rows));
say(`\nwritten: ${resultsDirectory}/experiment-${seed}.json and .svg`);
