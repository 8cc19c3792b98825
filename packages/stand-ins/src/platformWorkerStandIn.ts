/**
 * The models of the platform's workers, served over sockets: plain services, and engines that stream events and hold
 * copies of runs.
 */
import {
    type CallHandle,
    type CallObserver,
    Fleet,
    type ServerAnswer,
    type ServerBehaviour,
    type ServerCall,
    type ServerModel,
    type ServerPlan,
    type ServerRun,
    systemClock,
} from "@verbenaspring/emulator";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readJson, readText, sendJson, type StandIn, startStandIn } from "./httpStandIn.js";
import type { PlatformStore } from "./platformStoreStandIn.js";

/** A worker, and what a test does with it. */
export interface BackendServerStandIn {
    readonly id: string;
    readonly address: string;
    readonly plan: ServerPlan;
    /** The runs that it began, the finished ones too. */
    readonly runs: () => readonly ServerRun[];
    readonly setBehaviour: (behaviour: ServerBehaviour) => void;
    /** Says that it leaves, and ends after so many milliseconds. */
    readonly drain: (endsAfter?: number) => void;
    /** Ends without a word: open channels are reset, and nothing listens any more. */
    readonly crash: () => Promise<void>;
}

/** All workers of a test. */
export interface BackendServerStandIns {
    readonly fleet: Fleet;
    readonly runs: readonly ServerRun[];
    /** Starts a worker; one that had the same id and is gone starts anew under it. */
    readonly start: (plan: ServerPlan, options?: ListenOptions) => Promise<BackendServerStandIn>;
    readonly close: () => Promise<void>;
}

/** Where a worker listens, and what stands before it. */
export interface ListenOptions {
    /** 0 or absent for a free one. */
    readonly port?: number;
    /** Gives the address under which others reach the worker; by default its own. */
    readonly expose?: (address: string) => Promise<string>;
}

/** Hears of calls as they reach a worker. */
export type ArrivalObserver = (call: ServerCall, server: string) => void;

const heartbeatInterval = 300;
const refusedStatus = 503;
const mistakenStatus = 421;
/** A drained worker of a test serves on for so long unless the test says otherwise. */
const longDrain = 60_000;
/** Bytes of an answer that a broken channel lets through. */
const partialBytes = 4;
const partialDelay = 5;

/**
 * Workers that register in a store.
 *
 * @example
 * const workers = createPlatformWorkers(store);
 * const worker = await workers.start({ kind: "plain", id: "w1", service: "plain", slots: 8, workTime: 5 });
 */
export function createBackendServerStandIns(
    store: PlatformStore,
    watchRun: (run: ServerRun) => void = () => undefined,
    watchArrival: ArrivalObserver = () => undefined,
): BackendServerStandIns {
    const runs: ServerRun[] = [];
    const listeners = new Set<StandIn>();
    const fleet = new Fleet({
        clock: systemClock(),
        store: store.model,
        heartbeatInterval,
        canRegister: () => store.behaviour() === "up",
        observeRun: run => {
            runs.push(run);
            watchRun(run);
        },
    });
    const start = async (plan: ServerPlan, place: ListenOptions = {}): Promise<BackendServerStandIn> => {
        const started: { model: ServerModel | undefined; } = { model: undefined };
        const listener = await startStandIn(place.port ?? 0, async (request, response, url) => {
            if (started.model !== undefined) {
                await serve(started.model, request, response, url, watchArrival);
            }
        });
        listeners.add(listener);
        const address = await place.expose?.(listener.address) ?? listener.address;
        const model = fleet.add(plan, address);
        started.model = model;
        const close = async (): Promise<void> => {
            listeners.delete(listener);
            await listener.close();
        };
        return {
            id: plan.id,
            address,
            plan,
            runs: () => runs.filter(({ server }) => server === plan.id),
            setBehaviour: next => model.behaviour = next,
            drain: (endsAfter = longDrain) => {
                fleet.leave(plan.id, endsAfter);
                setTimeout(() => void close(), endsAfter).unref();
            },
            crash: async () => {
                fleet.crash(plan.id);
                await close();
            },
        };
    };
    return {
        fleet,
        runs,
        start,
        close: async () => {
            await Promise.all([...listeners].map(listener => listener.close()));
        },
    };
}

async function serve(
    model: ServerModel,
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    watchArrival: ArrivalObserver,
): Promise<void> {
    if (url.pathname === "/report") {
        const runs = model.report().map(({ callerAttemptId, events }) => [callerAttemptId, 1, events, 5]);
        return sendJson(response, 200, { state: "ready", runs });
    }
    if (url.pathname === "/kv-move") {
        const { instanceId, target } = await readJson<{ readonly instanceId: string; readonly target: string; }>(
            request,
        );
        return model.migrate(instanceId, target, outcome => {
            switch (outcome.kind) {
                case "moved":
                    return sendJson(response, 200, { handle: outcome.handle, created: outcome.events });
                case "no_run":
                    return sendJson(response, 404, {});
                case "no_room":
                    return sendJson(response, refusedStatus, {});
            }
        });
    }
    const call = await readCall(request, url);
    watchArrival(call, model.options.id);
    let handle: CallHandle | undefined = undefined;
    let hasLeft = false;
    response.once("close", () => {
        hasLeft = true;
        handle?.cancel();
    });
    handle = model.start(call, observe(model, call, response));
    if (hasLeft) {
        handle.cancel();
    }
}

async function readCall(request: IncomingMessage, url: URL): Promise<ServerCall> {
    const body = await readText(request);
    const text = (name: string): string | undefined => {
        const value = request.headers[name];
        return Array.isArray(value) ? value[0] : value;
    };
    const [promptTokens, maximumTokens] = (text("token-usage") ?? "0,0").split(",").map(Number);
    const normalPriority = 5;
    return {
        callerAttemptId: text("attempt-id") ?? "",
        target: text("target-instance"),
        path: request.url ?? "",
        body,
        timeLimit: Number(text("deadline-ms") ?? 0),
        promptTokens,
        outputTokens: Number(url.searchParams.get("length") ?? maximumTokens),
        priority: Number(text("request-priority") ?? normalPriority),
        lastEvent: Number(text("last-event-id") ?? 0),
        replicaAddress: text("kv-replica"),
        copy: readCopy(text("kv-from")),
    };
}

function readCopy(text: string | undefined): ServerCall["copy"] {
    const [source, name] = text?.split("/") ?? [];
    return source === undefined || name === undefined ? undefined : { source, name };
}

function observe(model: ServerModel, call: ServerCall, response: ServerResponse): CallObserver {
    const identity = { "Attempt-Id": call.callerAttemptId, "Response-Seal": "seal" };
    return {
        refused: reason => {
            const status = reason === "not_the_target" ? mistakenStatus : refusedStatus;
            response.writeHead(status, { "Not-Executed": "1", "content-length": 0 });
            response.end();
        },
        opened: () => response.writeHead(200, { ...identity, "content-type": "text/event-stream" }),
        event: ({ id, lineage }) => response.write(`id: ${id}\ndata: ${lineage}\n\n`),
        ended: () => response.end(),
        answered: answer => writeAnswer(response, answer),
        disconnected: () => {
            if (!model.isEngine && !response.headersSent) {
                const body = `answer to ${call.callerAttemptId}`;
                response.writeHead(200, { ...identity, "content-length": Buffer.byteLength(body) });
                response.write(body.slice(0, partialBytes));
            }
            setTimeout(() => response.socket?.destroy(), partialDelay);
        },
    };
}

function writeAnswer(response: ServerResponse, { status, callerAttemptId, body }: ServerAnswer): void {
    response.writeHead(status, {
        "Attempt-Id": callerAttemptId,
        "Response-Seal": "seal",
        "content-length": Buffer.byteLength(body),
    });
    response.end(body);
}
