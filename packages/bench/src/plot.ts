/**
 * Plots the results of an experiment as SVG.
 */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { ExperimentResult } from "./experimentModel.js";

/** The result of one policy under one workload and load. */
export interface PlotRow {
    readonly workload: string;
    readonly load: string;
    readonly policy: string;
    readonly result: ExperimentResult;
}

/**
 * Plots the preemptions of each policy against its p99 stall of short work, in a panel for each workload and load.
 * Lower left is better. Both axes are logarithmic and have an offset, so that zero can be drawn.
 *
 * @example
 * writeFileSync("experiment.svg", await plotResults(rows));
 */
export function plotResults(rows: readonly PlotRow[]): Promise<string> {
    const values = rows.map(({ workload, load, policy, result }) => ({
        panel: `${workload}, ${load}`,
        policy,
        preemptions: result.preemptions / Math.max(1, result.whole) * 1_000 + 1,
        stall: result.shortStalls.getValueAtPercentile(99) / 1_000 + 0.01,
    }));
    const spec: TopLevelSpec = {
        $schema: "https://vega.github.io/schema/vega-lite/v6.json",
        data: { values },
        facet: { field: "panel", title: null },
        columns: 5,
        spec: {
            width: 190,
            height: 170,
            mark: { type: "point", filled: true, size: 80 },
            encoding: {
                x: {
                    field: "preemptions",
                    type: "quantitative",
                    scale: { type: "log" },
                    title: "1 + preemptions per 1000 answers",
                },
                y: {
                    field: "stall",
                    type: "quantitative",
                    scale: { type: "log" },
                    title: "p99 stall of short work (s)",
                },
                color: { field: "policy", type: "nominal" },
                shape: { field: "policy", type: "nominal" },
            },
        },
    };
    return new View(parse(compile(spec).spec), { renderer: "none" }).toSVG();
}
