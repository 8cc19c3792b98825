/**
 * A mixed load of both users over real processes: open-loop arrivals, so that a slow system meets no fewer requests,
 * and every time is counted from when the request was due.
 */
import { seededSource } from "@verbenaspring/coordination";
import { build, type Histogram } from "hdr-histogram-js";
import { request } from "undici";
import type { ProcessCluster } from "./processCluster.js";
import { findTokenMismatch, requestCompletion } from "./testCaller.js";
import { organisations } from "./userDocuments.js";

/** What to run. */
export interface MixedLoadOptions {
    readonly seconds: number;
    readonly requestsPerSecond: number;
    readonly seed: number;
    readonly onProgress: (line: string) => void;
}

/** What came of it. Times are in milliseconds. */
export interface MixedLoadResult {
    requests: number;
    whole: number;
    refused: number;
    failed: number;
    tokens: number;
    /** Answers that were wrong, cut or doubled; there must be none. */
    readonly errors: string[];
    readonly failureCounts: Map<string, number>;
    readonly silentIntervals: Histogram;
    readonly tokenIntervals: Histogram;
    readonly timesToFirstToken: Histogram;
    confirmationsSent: number;
    confirmationsRun: number;
    confirmationsRunTwice: number;
    preemptions: number;
}

interface WorkShape {
    readonly model: string;
    readonly share: number;
    readonly medianTokens: number;
    readonly spread: number;
}

const shapes: readonly WorkShape[] = [
    { model: "reminder", share: 0.3, medianTokens: 25, spread: 0.5 },
    { model: "delay-message", share: 0.2, medianTokens: 20, spread: 0.5 },
    { model: "week-plan", share: 0.1, medianTokens: 150, spread: 0.8 },
    { model: "route-plan", share: 0.1, medianTokens: 150, spread: 0.8 },
];
const serviceShare = 0.3;
/** Values of the generator that are passed over, since small seeds begin alike. */
export const discardedRandomValues = 32;
const progressInterval = 2_000;

/**
 * Runs the load and checks each answer.
 *
 * @example
 * const result = await runMixedLoad(cluster, { seconds: 15, requestsPerSecond: 20, seed: 1, onProgress: console.log });
 */
export async function runMixedLoad(cluster: ProcessCluster, options: MixedLoadOptions): Promise<MixedLoadResult> {
    const source = seededSource(options.seed, discardedRandomValues);
    const result = emptyResult();
    const calls: Promise<void>[] = [];
    const started = performance.now();
    let due = 0;
    const progress = setInterval(
        () => options.onProgress(progressLine(result, performance.now() - started)),
        progressInterval,
    );
    for (let index = 0; due < options.seconds * 1_000; index++) {
        due += -Math.log(1 - source.random()) / options.requestsPerSecond * 1_000;
        await sleepUntil(started + due);
        result.requests++;
        const entry = cluster.entries[index % cluster.entries.length].callerAddress;
        const organisation = organisations[Math.floor(source.random() * organisations.length)];
        const call = source.random() < serviceShare
            ? confirm(result, entry, organisation.key, index)
            : generate(result, entry, organisation.key, index, drawShape(source.random()), source.random);
        calls.push(call);
    }
    await Promise.all(calls);
    clearInterval(progress);
    await countRuns(cluster, result);
    return result;
}

function emptyResult(): MixedLoadResult {
    const histogram = (): Histogram => build({ highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 });
    return {
        requests: 0,
        whole: 0,
        refused: 0,
        failed: 0,
        tokens: 0,
        errors: [],
        failureCounts: new Map(),
        silentIntervals: histogram(),
        tokenIntervals: histogram(),
        timesToFirstToken: histogram(),
        confirmationsSent: 0,
        confirmationsRun: 0,
        confirmationsRunTwice: 0,
        preemptions: 0,
    };
}

function progressLine(result: MixedLoadResult, elapsed: number): string {
    const seconds = Math.round(elapsed / 1_000);
    return `${seconds} s: ${result.requests} asked, ${result.whole} whole, ${result.refused} refused, ${result.tokens} tokens`;
}

async function sleepUntil(time: number): Promise<void> {
    const wait = time - performance.now();
    if (wait > 0) {
        await new Promise(resolve => setTimeout(resolve, wait));
    }
}

function drawShape(value: number): WorkShape {
    const total = shapes.reduce((sum, shape) => sum + shape.share, 0);
    let left = value * total;
    return shapes.find(shape => (left -= shape.share) < 0) ?? shapes[0];
}

/** A length from a log-normal distribution: many are short, a few are very long. */
export function drawLength(median: number, spread: number, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.max(1, Math.round(median * Math.exp(spread * normal)));
}

async function generate(
    result: MixedLoadResult,
    address: string,
    key: string,
    index: number,
    shape: WorkShape,
    random: () => number,
): Promise<void> {
    const tag = `${shape.model}-${index}`;
    const length = drawLength(shape.medianTokens, shape.spread, random);
    const record = await requestCompletion({ address, key, model: shape.model, prompt: `tag=${tag} length=${length}` });
    record.silentIntervals.forEach(silence => result.silentIntervals.recordValue(silence));
    record.tokenIntervals.forEach(gap => result.tokenIntervals.recordValue(gap));
    result.tokens += record.tokens.length;
    if (record.timeToFirstToken !== undefined) {
        result.timesToFirstToken.recordValue(record.timeToFirstToken);
    }
    const fault = findTokenMismatch(record.tokens, tag, 0)
        ?? (record.isComplete && record.tokens.length !== length
            ? `${tag} has ${record.tokens.length} of ${length}`
            : undefined);
    if (fault !== undefined) {
        result.errors.push(fault);
    }
    noteEnd(result, record.isComplete, record.failure);
}

function noteEnd(
    result: MixedLoadResult,
    isWhole: boolean,
    failure: { readonly type: string; readonly outcome: string; } | undefined,
): void {
    if (isWhole) {
        result.whole++;
        return;
    }
    const type = failure?.type ?? "cut_off";
    result.failureCounts.set(type, (result.failureCounts.get(type) ?? 0) + 1);
    if (failure?.outcome === "not_run") {
        result.refused++;
        return;
    }
    result.failed++;
    if (failure === undefined) {
        result.errors.push("an answer was cut off without a word");
    }
}

async function confirm(result: MixedLoadResult, address: string, key: string, index: number): Promise<void> {
    const started = performance.now();
    result.confirmationsSent++;
    const [service, path] = index % 2 === 0 ? ["booking", "/slots/confirm"] : ["slots", "/notes/delay"];
    const response = await request(`http://${address}/services/${service}${path}`, {
        method: "POST",
        headers: {
            authorization: `Bearer ${key}`,
            "content-type": "application/json",
            "idempotency-key": `confirmation-${index}`,
        },
        body: JSON.stringify({ booking: `booking-${index}` }),
    });
    const body = await response.body.json() as { error?: { type: string; outcome: string; }; };
    result.silentIntervals.recordValue(performance.now() - started);
    noteEnd(result, response.statusCode === 200, body.error);
}

async function countRuns(cluster: ProcessCluster, result: MixedLoadResult): Promise<void> {
    for (const backend of cluster.backends) {
        const isPlain = backend.service === "booking" || backend.service === "slots";
        const path = isPlain ? "runs" : "stats";
        const answer = await request(`http://${backend.backendAddress}/${path}`);
        const numbers = await answer.body.json() as Record<string, number>;
        if (!isPlain) {
            result.preemptions += numbers.preemptions;
            continue;
        }
        result.confirmationsRun += Object.keys(numbers).length;
        result.confirmationsRunTwice += Object.values(numbers).filter(runs => runs > 1).length;
    }
}

/** Creates the users' documents through `verbenactl`. */
export async function createDocuments(
    cluster: ProcessCluster,
    documents: readonly { readonly kind: string; readonly document: object; }[],
): Promise<void> {
    await Promise.all(documents.map(async ({ kind, document }) => {
        const { code, output } = await cluster.runVerbenactl(["put", kind, "-"], JSON.stringify(document));
        if (code !== 0) {
            throw new Error(`verbenactl put ${kind} failed: ${output}`);
        }
    }));
}
