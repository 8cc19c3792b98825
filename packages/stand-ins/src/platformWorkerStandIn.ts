/**
 * Stand-ins for workers of the users' platform: plain services, and engines that stream events and hold copies of runs.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pause, readJson, type StandIn, startStandIn } from "./httpStandIn.js";
import type { PlatformStore } from "./platformStoreStandIn.js";

/** What a worker is, and how it behaves. */
export interface WorkerOptions {
    readonly id: string;
    readonly service: string;
    readonly isEngine: boolean;
    /** How long a call, or one event of a stream, takes in milliseconds. */
    readonly workTime: number;
    /** Events of a stream. */
    readonly events: number;
}

/** One run that a worker began. */
export interface WorkerRun {
    readonly worker: string;
    readonly attemptId: string;
    readonly path: string;
    readonly body: string;
    /** Whether the run came to its end. */
    isComplete: boolean;
}

/** How a worker answers the next calls of a plain service. */
export type WorkerBehaviour = "well" | "shed" | "error" | "break" | "silent";

/** Copies of runs that all engines of a test hold, by source address and name. */
export type RunCopies = Map<string, number>;

/** A worker, and what a test does with it. */
export interface PlatformWorker {
    readonly address: string;
    readonly runs: readonly WorkerRun[];
    readonly behave: (behaviour: WorkerBehaviour) => void;
    /** Says that it leaves. */
    readonly drain: () => void;
    /** Ends without a word: open channels are reset, and nothing listens any more. */
    readonly crash: () => Promise<void>;
}

const heartbeatInterval = 300;

/**
 * Starts a worker and registers it.
 *
 * @example
 * const worker = await startPlatformWorker(store, { id: "w1", service: "plain", isEngine: false, workTime: 5, events: 0 });
 */
export async function startPlatformWorker(
    store: PlatformStore,
    options: WorkerOptions,
    copies: RunCopies = new Map(),
): Promise<PlatformWorker> {
    const runs: WorkerRun[] = [];
    const born = Date.now();
    let behaviour: WorkerBehaviour = "well";
    let state = "ready";
    let sequence = 0;
    const standIn: StandIn = await startStandIn(0, async (request, response, url) => {
        if (url.pathname === "/report") {
            return sendReport(response, runs);
        }
        if (url.pathname === "/kv-move") {
            return moveRun(request, response, standIn.address, copies);
        }
        await serve({ request, response, options, runs, copies, behaviour, address: standIn.address });
    });
    const register = (): void => {
        sequence++;
        store.put("keyed.servers", options.id, {
            service: options.service,
            address: standIn.address,
            zone: "near",
            version: "v1",
            slots: 8,
            state,
            coldRemainingMs: 0,
            sequence,
            born,
        });
    };
    register();
    const heartbeat = setInterval(register, heartbeatInterval);
    return {
        address: standIn.address,
        runs,
        behave: next => behaviour = next,
        drain: () => {
            state = "draining";
            register();
        },
        crash: () => {
            clearInterval(heartbeat);
            return standIn.close();
        },
    };
}

interface Serving {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly options: WorkerOptions;
    readonly runs: WorkerRun[];
    readonly copies: RunCopies;
    readonly behaviour: WorkerBehaviour;
    readonly address: string;
}

async function serve(serving: Serving): Promise<void> {
    const { request, response, options, runs, behaviour } = serving;
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    if (request.headers["target-instance"] !== options.id) {
        return refuse(response, 421);
    }
    if (behaviour === "shed") {
        return refuse(response, 503);
    }
    const attemptId = String(request.headers["attempt-id"]);
    const body = Buffer.concat(chunks).toString("utf8");
    const run: WorkerRun = { worker: options.id, attemptId, path: request.url ?? "", body, isComplete: false };
    if (options.isEngine) {
        return await stream(serving, run);
    }
    runs.push(run);
    await pause(options.workTime);
    answer(response, run, behaviour);
}

function refuse(response: ServerResponse, status: number): void {
    response.writeHead(status, { "Not-Executed": "1", "content-length": 0 });
    response.end();
}

function answer(response: ServerResponse, run: WorkerRun, behaviour: WorkerBehaviour): void {
    const body = `answer to ${run.attemptId}`;
    const headers = { "Attempt-Id": run.attemptId, "Response-Seal": "seal", "content-length": Buffer.byteLength(body) };
    if (behaviour === "silent") {
        return;
    }
    if (behaviour === "break") {
        response.writeHead(200, headers);
        response.write(body.slice(0, 4));
        setTimeout(() => response.socket?.destroy(), 5);
        return;
    }
    response.writeHead(behaviour === "error" ? 500 : 200, headers);
    response.end(body);
    run.isComplete = true;
}

/** Makes events, from the copy that the request names or from its start. */
async function stream(serving: Serving, run: WorkerRun): Promise<void> {
    const { request, response, options, runs, copies, address } = serving;
    const copy = request.headers["kv-from"];
    const last = Number(request.headers["last-event-id"] ?? 0);
    if (copy !== undefined && !copies.has(String(copy))) {
        return refuse(response, 503);
    }
    runs.push(run);
    const replica = request.headers["kv-replica"];
    response.writeHead(200, {
        "Attempt-Id": run.attemptId,
        "Response-Seal": "seal",
        "content-type": "text/event-stream",
    });
    for (let id = last + 1; id <= options.events; id++) {
        await pause(options.workTime);
        if (response.destroyed) {
            return;
        }
        response.write(`id: ${id}\ndata: ${run.attemptId}/${id}\n\n`);
        if (replica !== undefined) {
            copies.set(`${address}/${run.attemptId}`, id);
        }
    }
    response.end();
    run.isComplete = true;
}

function sendReport(response: ServerResponse, runs: readonly WorkerRun[]): void {
    const listed = runs.filter(run => !run.isComplete).map(run => [run.attemptId, 1, 0, 5]);
    const body = JSON.stringify({ state: "ready", runs: listed });
    response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}

async function moveRun(
    request: IncomingMessage,
    response: ServerResponse,
    address: string,
    copies: RunCopies,
): Promise<void> {
    const { instanceId } = await readJson<{ readonly instanceId: string; }>(request);
    const handle = `moved-${instanceId}`;
    copies.set(`${address}/${handle}`, 0);
    const body = JSON.stringify({ handle, created: 0 });
    response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}
