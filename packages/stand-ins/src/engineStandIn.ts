/**
 * Stand-in for an inference engine. The prompt determines the output: `tag=NAME` is part of the text of every token,
 * and `length=N` sets the length. So a test knows the answer in advance, which the system under test can't.
 */
import type { ServerResponse } from "node:http";
import {
    addSequence,
    createEngine,
    type EngineModelOptions,
    removeSequence,
    type Sequence,
    stepEngine,
    usedTokens,
} from "./engineModel.js";
import { pause, readJson, sendJson, type StandIn, startStandIn } from "./httpStandIn.js";

/** Faults of the engine. */
export interface EngineFaults {
    /** The engine makes no steps. */
    stall: boolean;
    /** Factor on the duration of each step. */
    slowness: number;
    /** Breaks the connections of all streams once; the generations continue. */
    breakStreams: boolean;
}

interface CompletionRequest {
    readonly request_id: string;
    readonly priority: number;
    readonly prompt: string;
    readonly max_tokens: number;
}

interface StandInGeneration {
    readonly sequence: Sequence;
    readonly tag: string;
    subscriber: ServerResponse | undefined;
    sentTokens: number;
    hasEnded: boolean;
}

const charactersPerToken = 4;
/** Milliseconds for which a generation can still be read after its end. */
const generationRetention = 60_000;
/** Milliseconds between checks for work while the engine is idle or stalled. */
const idleInterval = 5;
/** Milliseconds between updates of the values of `/load`, which are stale in between. */
const loadReportInterval = 1_000;

/** Returns the text of a token. From tag and index a caller can check that it gets its own tokens, in order. */
export function tokenText(tag: string, index: number): string {
    return `${tag}:${index} `;
}

/**
 * Starts an engine stand-in on loopback.
 *
 * @example
 * const engine = await startEngineStandIn(0, defaultEngine);
 */
export async function startEngineStandIn(port: number, options: EngineModelOptions): Promise<StandIn> {
    const engine = createEngine(options);
    const generations = new Map<string, StandInGeneration>();
    const faults: EngineFaults = { stall: false, slowness: 1, breakStreams: false };
    const starts = new Map<string, number>();
    let reportedLoad = { used: 0, running: 0, waiting: 0 };
    let isOpen = true;

    function startGeneration(request: CompletionRequest, response: ServerResponse): void {
        starts.set(request.request_id, (starts.get(request.request_id) ?? 0) + 1);
        const sequence = addSequence(engine, {
            id: request.request_id,
            priority: request.priority,
            promptTokens: Math.ceil(request.prompt.length / charactersPerToken),
            prefix: request.prompt.slice(0, 64),
            outputTokens: Math.min(request.max_tokens, outputLength(request.prompt)),
        });
        const tag = /tag=([\w-]+)/.exec(request.prompt)?.[1] ?? "token";
        const generation = { sequence, tag, subscriber: undefined, sentTokens: 0, hasEnded: false };
        generations.set(request.request_id, generation);
        subscribe(generation, response, 0);
    }

    function subscribe(generation: StandInGeneration, response: ServerResponse, from: number): void {
        generation.subscriber?.destroy();
        generation.subscriber = response;
        generation.sentTokens = from;
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.flushHeaders();
        deliver(generation);
    }

    function deliver(generation: StandInGeneration): void {
        const { subscriber, sequence, tag } = generation;
        if (subscriber === undefined || subscriber.destroyed) {
            return;
        }
        if (generation.sentTokens < sequence.generatedTokens) {
            const from = generation.sentTokens;
            const texts = Array.from(
                { length: sequence.generatedTokens - from },
                (_, index) => tokenText(tag, from + index),
            );
            generation.sentTokens = sequence.generatedTokens;
            subscriber.write(`data: ${JSON.stringify({ from, texts })}\n\n`);
        }
        if (generation.hasEnded) {
            const end = { count: sequence.generatedTokens, finish_reason: "stop" };
            subscriber.end(`event: end\ndata: ${JSON.stringify(end)}\n\n`);
        }
    }

    async function run(): Promise<void> {
        while (isOpen) {
            if (faults.stall || engine.running.size + engine.waiting.size === 0) {
                await pause(idleInterval);
                continue;
            }
            const step = stepEngine(engine);
            await pause(step.duration * faults.slowness);
            step.preempted.forEach(each =>
                generations.get(each.id)?.subscriber?.write("event: preempted\ndata: {}\n\n")
            );
            step.ended.forEach(each => end(each.id));
            step.produced.flatMap(each => generations.get(each.id) ?? []).forEach(deliver);
        }
    }

    function end(id: string): void {
        const generation = generations.get(id);
        if (generation === undefined) {
            return;
        }
        generation.hasEnded = true;
        setTimeout(() => generations.delete(id), generationRetention).unref();
    }

    function cancel(id: string): void {
        removeSequence(engine, id);
        generations.get(id)?.subscriber?.destroy();
        generations.delete(id);
    }

    async function setFaults(change: Partial<EngineFaults>): Promise<void> {
        Object.assign(faults, change);
        if (faults.breakStreams) {
            faults.breakStreams = false;
            generations.forEach(generation => generation.subscriber?.destroy());
        }
        return Promise.resolve();
    }

    const loadTimer = setInterval(() => {
        reportedLoad = { used: usedTokens(engine), running: engine.running.size, waiting: engine.waiting.size };
    }, loadReportInterval);
    void run();
    const standIn = await startStandIn(port, async (request, response, url) => {
        const id = /^\/v1\/completions\/([^/]+)$/.exec(url.pathname)?.[1];
        if (url.pathname === "/v1/completions") {
            return startGeneration(await readJson(request), response);
        }
        if (url.pathname === "/load") {
            return sendJson(response, 200, reportedLoad);
        }
        if (url.pathname === "/stats") {
            return sendJson(response, 200, { preemptions: engine.preemptions, starts: starts.size });
        }
        if (url.pathname === "/faults") {
            await setFaults(await readJson(request));
            return sendJson(response, 200, faults);
        }
        const generation = id === undefined ? undefined : generations.get(id);
        if (id === undefined || generation === undefined) {
            return sendJson(response, 404, { error: "not found" });
        }
        if (request.method === "DELETE") {
            cancel(id);
            return sendJson(response, 200, {});
        }
        subscribe(generation, response, Number(url.searchParams.get("from") ?? 0));
    });
    const close = (): Promise<void> => {
        isOpen = false;
        clearInterval(loadTimer);
        return standIn.close();
    };
    return { ...standIn, close };
}

/** Returns the output's length: as the prompt sets it, otherwise 20 to 219 tokens by a hash of the prompt. */
function outputLength(prompt: string): number {
    const set = /length=(\d+)/.exec(prompt)?.[1];
    if (set !== undefined) {
        return Number(set);
    }
    const hash = [...prompt].reduce((sum, character) => (sum * 31 + character.charCodeAt(0)) % 997, 7);
    return 20 + hash % 200;
}
