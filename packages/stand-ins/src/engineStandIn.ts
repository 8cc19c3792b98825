/**
 * Stands in for a model engine. The output's length and text follow from the prompt: `tag=NAME` marks every token, and
 * `length=N` sets the length, so that a test knows the answer that the system can't know.
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
    /** No step is made. */
    stall: boolean;
    /** Steps take this many times as long. */
    slowness: number;
    /** Every stream breaks now, while the generations go on. */
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
    sent: number;
    hasEnded: boolean;
}

const charactersPerToken = 4;
const keptAfterEnd = 60_000;
const idlePause = 5;
const loadLag = 1_000;

/** The text of a token; a caller can check that each is its own and in order. */
export function tokenText(tag: string, index: number): string {
    return `${tag}:${index} `;
}

/**
 * Starts an engine.
 *
 * @example
 * const engine = await startEngineStandIn(0, defaultEngine);
 */
export async function startEngineStandIn(port: number, options: EngineModelOptions): Promise<StandIn> {
    const engine = createEngine(options);
    const generations = new Map<string, StandInGeneration>();
    const faults: EngineFaults = { stall: false, slowness: 1, breakStreams: false };
    const starts = new Map<string, number>();
    let reported = { used: 0, running: 0, waiting: 0 };
    let isOpen = true;

    function begin(request: CompletionRequest, response: ServerResponse): void {
        starts.set(request.request_id, (starts.get(request.request_id) ?? 0) + 1);
        const sequence = addSequence(engine, {
            id: request.request_id,
            priority: request.priority,
            promptTokens: Math.ceil(request.prompt.length / charactersPerToken),
            prefix: request.prompt.slice(0, 64),
            outputTokens: Math.min(request.max_tokens, lengthOf(request.prompt)),
        });
        const tag = /tag=([\w-]+)/.exec(request.prompt)?.[1] ?? "token";
        const generation = { sequence, tag, subscriber: undefined, sent: 0, hasEnded: false };
        generations.set(request.request_id, generation);
        subscribe(generation, response, 0);
    }

    function subscribe(generation: StandInGeneration, response: ServerResponse, from: number): void {
        generation.subscriber?.destroy();
        generation.subscriber = response;
        generation.sent = from;
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.flushHeaders();
        deliver(generation);
    }

    function deliver(generation: StandInGeneration): void {
        const { subscriber, sequence, tag } = generation;
        if (subscriber === undefined || subscriber.destroyed) {
            return;
        }
        if (generation.sent < sequence.generatedTokens) {
            const from = generation.sent;
            const texts = Array.from(
                { length: sequence.generatedTokens - from },
                (_, index) => tokenText(tag, from + index),
            );
            generation.sent = sequence.generatedTokens;
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
                await pause(idlePause);
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
        setTimeout(() => generations.delete(id), keptAfterEnd).unref();
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

    const lagged = setInterval(() => {
        reported = { used: usedTokens(engine), running: engine.running.size, waiting: engine.waiting.size };
    }, loadLag);
    void run();
    const standIn = await startStandIn(port, async (request, response, url) => {
        const id = /^\/v1\/completions\/([^/]+)$/.exec(url.pathname)?.[1];
        if (url.pathname === "/v1/completions") {
            return begin(await readJson(request), response);
        }
        if (url.pathname === "/load") {
            return sendJson(response, 200, reported);
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
        clearInterval(lagged);
        return standIn.close();
    };
    return { ...standIn, close };
}

/** The output's length: set by the prompt, or spread by a hash of it. */
function lengthOf(prompt: string): number {
    const set = /length=(\d+)/.exec(prompt)?.[1];
    if (set !== undefined) {
        return Number(set);
    }
    const hash = [...prompt].reduce((sum, character) => (sum * 31 + character.charCodeAt(0)) % 997, 7);
    return 20 + hash % 200;
}
