/**
 * A mixed load of both users over real processes. Arrivals are open-loop: each request is sent and timed from when it
 * is due, whether or not earlier ones have ended, so that a slow system gets no fewer requests.
 */
import { seededSource } from "@verbenaspring/coordination";
import { build, type Histogram } from "hdr-histogram-js";
import { request } from "undici";
import type { ProcessCluster } from "./processCluster.js";
import { findTokenMismatch, requestCompletion } from "./testCaller.js";
import { organisations } from "./userDocuments.js";

/** The parameters of a mixed load. */
export interface MixedLoadOptions {
    readonly seconds: number;
    readonly requestsPerSecond: number;
    readonly seed: number;
    /** Called every 2 s with a line on the state of the run. */
    readonly onProgress: (line: string) => void;
}

/** The result of a mixed load. Times are in milliseconds. */
export interface MixedLoadResult {
    requests: number;
    /** Requests with a complete answer. */
    whole: number;
    /** Requests that were refused and not run. */
    refused: number;
    /** Requests that ended in any other failure. */
    failed: number;
    tokens: number;
    /** Answers with a wrong, missing or repeated token, and answers that were cut off; there must be none. */
    readonly errors: string[];
    /** Requests without a complete answer, by failure type. */
    readonly failureCounts: Map<string, number>;
    readonly silentIntervals: Histogram;
    readonly tokenIntervals: Histogram;
    readonly timesToFirstToken: Histogram;
    confirmationsSent: number;
    /** Confirmations that a plain service ran at least once. */
    confirmationsRun: number;
    confirmationsRunTwice: number;
    /** Preemptions at all engines. */
    preemptions: number;
}

interface CompletionKind {
    readonly model: string;
    readonly share: number;
    readonly medianTokens: number;
    /** Standard deviation of the logarithm of the length. */
    readonly spread: number;
}

const completionKinds: readonly CompletionKind[] = [
    { model: "reminder", share: 0.3, medianTokens: 25, spread: 0.5 },
    { model: "delay-message", share: 0.2, medianTokens: 20, spread: 0.5 },
    { model: "week-plan", share: 0.1, medianTokens: 150, spread: 0.8 },
    { model: "route-plan", share: 0.1, medianTokens: 150, spread: 0.8 },
];
/** The share of the requests that go to plain services. */
const serviceShare = 0.3;
/** How many first values of the generator are skipped, since those of small seeds are similar. */
export const discardedRandomValues = 32;
const progressInterval = 2_000;

/**
 * Sends the load and checks each answer.
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
        () => options.onProgress(formatProgress(result, performance.now() - started)),
        progressInterval,
    );
    for (let index = 0; due < options.seconds * 1_000; index++) {
        due += -Math.log(1 - source.random()) / options.requestsPerSecond * 1_000;
        await sleepUntil(started + due);
        result.requests++;
        const entry = cluster.entries[index % cluster.entries.length].callerAddress;
        const organisation = organisations[Math.floor(source.random() * organisations.length)];
        const call = source.random() < serviceShare
            ? sendConfirmation(result, entry, organisation.key, index)
            : sendCompletion(
                result,
                entry,
                organisation.key,
                index,
                drawCompletionKind(source.random()),
                source.random,
            );
        calls.push(call);
    }
    await Promise.all(calls);
    clearInterval(progress);
    await countRunsAndPreemptions(cluster, result);
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

function formatProgress(result: MixedLoadResult, elapsed: number): string {
    const seconds = Math.round(elapsed / 1_000);
    return `${seconds} s: ${result.requests} asked, ${result.whole} whole, ${result.refused} refused, ${result.tokens} tokens`;
}

async function sleepUntil(time: number): Promise<void> {
    const wait = time - performance.now();
    if (wait > 0) {
        await new Promise(resolve => setTimeout(resolve, wait));
    }
}

function drawCompletionKind(value: number): CompletionKind {
    const total = completionKinds.reduce((sum, completionKind) => sum + completionKind.share, 0);
    let remaining = value * total;
    return completionKinds.find(completionKind => (remaining -= completionKind.share) < 0) ?? completionKinds[0];
}

/** Draws a length from a log-normal distribution: many are short, a few are very long. */
export function drawLength(median: number, spread: number, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.max(1, Math.round(median * Math.exp(spread * normal)));
}

async function sendCompletion(
    result: MixedLoadResult,
    address: string,
    key: string,
    index: number,
    completionKind: CompletionKind,
    random: () => number,
): Promise<void> {
    const tag = `${completionKind.model}-${index}`;
    const length = drawLength(completionKind.medianTokens, completionKind.spread, random);
    const completion = await requestCompletion({
        address,
        key,
        model: completionKind.model,
        prompt: `tag=${tag} length=${length}`,
    });
    completion.silentIntervals.forEach(interval => result.silentIntervals.recordValue(interval));
    completion.tokenIntervals.forEach(interval => result.tokenIntervals.recordValue(interval));
    result.tokens += completion.tokens.length;
    if (completion.timeToFirstToken !== undefined) {
        result.timesToFirstToken.recordValue(completion.timeToFirstToken);
    }
    const error = findTokenMismatch(completion.tokens, tag, 0)
        ?? (completion.isComplete && completion.tokens.length !== length
            ? `${tag} has ${completion.tokens.length} of ${length}`
            : undefined);
    if (error !== undefined) {
        result.errors.push(error);
    }
    recordEnd(result, completion.isComplete, completion.failure);
}

function recordEnd(
    result: MixedLoadResult,
    isComplete: boolean,
    failure: { readonly type: string; readonly outcome: string; } | undefined,
): void {
    if (isComplete) {
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
        result.errors.push("an answer was cut off without an error");
    }
}

async function sendConfirmation(result: MixedLoadResult, address: string, key: string, index: number): Promise<void> {
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
    recordEnd(result, response.statusCode === 200, body.error);
}

async function countRunsAndPreemptions(cluster: ProcessCluster, result: MixedLoadResult): Promise<void> {
    for (const backend of cluster.backends) {
        const isPlainService = backend.service === "booking" || backend.service === "slots";
        const path = isPlainService ? "runs" : "stats";
        const response = await request(`http://${backend.backendAddress}/${path}`);
        const counts = await response.body.json() as Record<string, number>;
        if (!isPlainService) {
            result.preemptions += counts.preemptions;
            continue;
        }
        result.confirmationsRun += Object.keys(counts).length;
        result.confirmationsRunTwice += Object.values(counts).filter(runs => runs > 1).length;
    }
}

/**
 * Creates documents with `verbenactl`.
 *
 * @throws Error with the output of `verbenactl` where it fails
 */
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
