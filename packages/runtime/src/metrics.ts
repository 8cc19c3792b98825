/**
 * Metrics: counters, gauges and hdr-histogram-js histograms, exposed in the Prometheus text format.
 */
import { build, type Histogram } from "hdr-histogram-js";

const quantiles = [50, 95, 99] as const;
/** Longer durations are recorded as this one: one hour. */
const maxTrackableMilliseconds = 3_600_000;

/** The labels of one series. */
export type Labels = Readonly<Record<string, string>>;

/** All metrics of one process. */
export interface Metrics {
    /** Adds to a counter. */
    readonly count: (name: string, labels?: Labels, amount?: number) => void;
    /** Records a duration in milliseconds. */
    readonly record: (name: string, value: number, labels?: Labels) => void;
    /** Registers a value that is read whenever the metrics are formatted. */
    readonly gauge: (name: string, read: () => number) => void;
    /** Registers values, each with the value of a label, that are read whenever the metrics are formatted. */
    readonly labelledGauge: (name: string, label: string, read: () => ReadonlyMap<string, number>) => void;
    /** Formats all metrics in the Prometheus text format. */
    readonly format: () => string;
}

interface Summary {
    readonly histogram: Histogram;
    sum: number;
}

/**
 * Creates an empty set of metrics. Durations are exposed as summaries with the quantiles 0.5, 0.95 and 0.99.
 *
 * @example
 * const metrics = createMetrics();
 * metrics.record("verbenaspring_stall_milliseconds", 12);
 */
export function createMetrics(): Metrics {
    const counters = new Map<string, Map<string, number>>();
    const summaries = new Map<string, Map<string, Summary>>();
    const gauges = new Map<string, () => Map<string, number>>();
    return {
        count: (name, labels = {}, amount = 1) => {
            const series = getSeries(counters, name);
            const key = formatLabels(labels);
            series.set(key, (series.get(key) ?? 0) + amount);
        },
        record: (name, value, labels = {}) => {
            const series = getSeries(summaries, name);
            const key = formatLabels(labels);
            const summary = series.get(key) ?? { histogram: createHistogram(), sum: 0 };
            series.set(key, summary);
            summary.histogram.recordValue(Math.min(maxTrackableMilliseconds, Math.max(0, Math.round(value))));
            summary.sum += value;
        },
        gauge: (name, read) => {
            gauges.set(name, () => new Map([["", read()]]));
        },
        labelledGauge: (name, label, read) => {
            gauges.set(name, () => new Map([...read()].map(([key, value]) => [formatLabels({ [label]: key }), value])));
        },
        format: () =>
            [...formatCounters(counters), ...formatGauges(gauges), ...formatSummaries(summaries), ""].join("\n"),
    };
}

function createHistogram(): Histogram {
    return build({
        highestTrackableValue: maxTrackableMilliseconds,
        numberOfSignificantValueDigits: 2,
        autoResize: true,
        bitBucketSize: 32,
    });
}

function getSeries<Value>(metrics: Map<string, Map<string, Value>>, name: string): Map<string, Value> {
    const series = metrics.get(name) ?? new Map<string, Value>();
    metrics.set(name, series);
    return series;
}

function formatLabels(labels: Labels): string {
    return Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`).join(",");
}

function withLabels(name: string, ...labels: readonly string[]): string {
    const present = labels.filter(label => label.length > 0);
    return present.length === 0 ? name : `${name}{${present.join(",")}}`;
}

function formatCounters(counters: ReadonlyMap<string, ReadonlyMap<string, number>>): string[] {
    return [...counters].flatMap(([name, series]) => [
        `# TYPE ${name} counter`,
        ...[...series].map(([labels, value]) => `${withLabels(name, labels)} ${value}`),
    ]);
}

function formatGauges(gauges: ReadonlyMap<string, () => ReadonlyMap<string, number>>): string[] {
    return [...gauges].flatMap(([name, read]) => [
        `# TYPE ${name} gauge`,
        ...[...read()].map(([labels, value]) => `${withLabels(name, labels)} ${value}`),
    ]);
}

function formatSummaries(summaries: ReadonlyMap<string, ReadonlyMap<string, Summary>>): string[] {
    return [...summaries].flatMap(([name, series]) => [
        `# TYPE ${name} summary`,
        ...[...series].flatMap(([labels, summary]) => formatSummary(name, labels, summary)),
    ]);
}

function formatSummary(name: string, labels: string, { histogram, sum }: Summary): string[] {
    const lines = quantiles.map(quantile =>
        `${withLabels(name, labels, `quantile="${quantile / 100}"`)} ${histogram.getValueAtPercentile(quantile)}`
    );
    return [
        ...lines,
        `${withLabels(`${name}_sum`, labels)} ${sum}`,
        `${withLabels(`${name}_count`, labels)} ${histogram.totalCount}`,
    ];
}
