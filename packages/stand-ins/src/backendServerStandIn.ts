/**
 * Stand-ins for the platform's backend servers: serve the models of plain services and engines over HTTP and register
 * them in the store.
 */
import {
    type CallHandle,
    type CallObserver,
    type ColdPlan,
    Fleet,
    formatRunEvent,
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

/** A running backend server and the operations of a test on it. */
export interface BackendServerStandIn {
    readonly id: string;
    readonly address: string;
    readonly plan: ServerPlan;
    /** The runs that it started, including finished ones. */
    readonly runs: () => readonly ServerRun[];
    readonly setBehaviour: (behaviour: ServerBehaviour) => void;
    /** Declares a limit of requests a second in its answers, or none any more. */
    readonly setRequestLimit: (perSecond: number | undefined) => void;
    /**
     * Answers calls with bytes that are no answer, or in the usual way again. In turn they have no end, and are a sealed
     * answer but for the status line.
     */
    readonly setFlooding: (isFlooding: boolean) => void;
    /** Asks in its refusals for a pause of so many milliseconds, or for none any more. */
    readonly setPause: (pause: number | undefined) => void;
    /** Says from now on in all answers that the server leaves, whatever its registration says. */
    readonly giveNotice: () => void;
    /** Registers the server as draining and stops it after a delay in milliseconds. */
    readonly drain: (endsAfter?: number) => void;
    /** Deletes the server's registration without a notice and stops it after a delay in milliseconds. */
    readonly withdraw: (endsAfter: number) => void;
    /** Crashes the server, and starts it again under its id at its address. */
    readonly restart: () => Promise<BackendServerStandIn>;
    /** Stops the server without notice: open connections end, in order those of unframed streams, and its port is closed. */
    readonly crash: () => Promise<void>;
}

/** All backend servers of a test. */
export interface BackendServerStandIns {
    readonly fleet: Fleet;
    readonly runs: readonly ServerRun[];
    /** Starts a backend server. It replaces a stopped one of the same id. */
    readonly start: (plan: ServerPlan, options?: ListenOptions) => Promise<BackendServerStandIn>;
    readonly close: () => Promise<void>;
}

/** Where a backend server listens, and under which address it registers. */
export interface ListenOptions {
    /** 0 or absent selects a free port. */
    readonly port?: number;
    /** Returns the address to register, such as that of a relay; by default the server's own. */
    readonly expose?: (address: string) => Promise<string>;
}

/** Callbacks for what happens at the backend servers. */
export interface BackendServerObserver {
    /** A call reached a server, which may still refuse it. */
    readonly arrived: (call: ServerCall, server: string) => void;
    /** A server refuses a call and asks for a pause of so many milliseconds. */
    readonly pauseRequested: (call: ServerCall, server: string, pause: number) => void;
    /** A cold server crashed because it got far too many calls; absent if no server is ever cold. */
    readonly crashedWhileCold?: (server: string) => void;
}

const noObserver: BackendServerObserver = { arrived: () => undefined, pauseRequested: () => undefined };

interface MigrationDocument {
    readonly instanceId: string;
    readonly target: string;
    readonly isLast: boolean;
}

/** In milliseconds. */
const heartbeatInterval = 300;
const refusedStatus = 503;
const busyStatus = 409;
const misdirectedStatus = 421;
const millisecondsPerSecond = 1_000;
/** Milliseconds for which a draining server keeps running unless the test sets a delay. */
const defaultDrainDuration = 60_000;
/** Bytes of a plain service's answer that are sent before the connection breaks. */
const truncatedBodyBytes = 4;
/** Milliseconds from a model's call of `disconnected` to the end of the connection. */
const disconnectDelay = 5;

/**
 * Creates the backend servers of a test, which register in a store.
 *
 * @param cold how servers are cold after they start; they are not if it is absent
 * @example
 * const servers = createBackendServerStandIns(store);
 * const server = await servers.start({ kind: "plain", id: "w1", service: "plain", slots: 8, workTime: 5 });
 */
export function createBackendServerStandIns(
    store: PlatformStore,
    observeRun: (run: ServerRun) => void = () => undefined,
    observer: BackendServerObserver = noObserver,
    cold?: ColdPlan,
): BackendServerStandIns {
    const runs: ServerRun[] = [];
    const listeners = new Set<StandIn>();
    const fleet = new Fleet({
        clock: systemClock(),
        store: store.model,
        heartbeatInterval,
        canRegister: () => store.behaviour() === "up",
        cold,
        crashedWhileCold: observer.crashedWhileCold,
        observeRun: run => {
            runs.push(run);
            observeRun(run);
        },
    });
    const start = async (plan: ServerPlan, listenOptions: ListenOptions = {}): Promise<BackendServerStandIn> => {
        const started = { address: "", isFlooding: false, invalidCount: 0 };
        const listener = await startStandIn(listenOptions.port ?? 0, async (request, response, url) => {
            const current = fleet.findByAddress(started.address);
            if (started.isFlooding) {
                answerInvalidly(request, response, started.invalidCount++);
            }
            else if (current !== undefined) {
                await serve(current, fleet, request, response, url, observer);
            }
            else {
                response.socket?.resetAndDestroy();
            }
        });
        listeners.add(listener);
        const address = await listenOptions.expose?.(listener.address) ?? listener.address;
        started.address = address;
        const model = fleet.add(plan, address);
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
            setRequestLimit: perSecond => model.requestLimit = perSecond,
            setFlooding: next => started.isFlooding = next,
            setPause: pause => model.pause = pause,
            giveNotice: () => model.isLeaving = true,
            drain: (endsAfter = defaultDrainDuration) => {
                fleet.leave(plan.id, endsAfter);
                setTimeout(() => void close(), endsAfter).unref();
            },
            withdraw: endsAfter => {
                fleet.withdraw(plan.id, endsAfter);
                setTimeout(() => void close(), endsAfter).unref();
            },
            restart: async () => {
                fleet.crash(plan.id);
                await close();
                const port = Number(listener.address.split(":")[1]);
                return start(plan, { port, expose: () => Promise.resolve(address) });
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
    fleet: Fleet,
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    observer: BackendServerObserver,
): Promise<void> {
    if (url.pathname === "/report") {
        Object.entries(declarationHeaders(model)).forEach(([name, value]) => response.setHeader(name, value));
        const coldRemaining = fleet.coldRemainingOf(model.options.id);
        if (coldRemaining !== undefined) {
            response.setHeader("Cold-Remaining-Ms", String(coldRemaining));
        }
        const runs = model.report().map(({ callerAttemptId, events }) => [callerAttemptId, 1, events, 5]);
        return sendJson(response, 200, { state: "ready", born: fleet.findStart(model.options.address), runs });
    }
    if (url.pathname === "/kv-move") {
        const { instanceId, target, isLast } = await readJson<MigrationDocument>(request);
        return model.migrate(instanceId, target, isLast, outcome => {
            switch (outcome.kind) {
                case "moved":
                    return sendJson(response, 200, { handle: outcome.handle, created: outcome.events });
                case "no_run":
                    return sendJson(response, 404, {});
                case "no_room":
                    return sendJson(response, refusedStatus, {});
                case "busy":
                    return sendJson(response, busyStatus, {});
            }
        });
    }
    const call = await readCall(request, url);
    observer.arrived(call, model.options.id);
    let handle: CallHandle | undefined = undefined;
    let isDisconnected = false;
    response.once("close", () => {
        isDisconnected = true;
        handle?.cancel();
    });
    handle = model.start(call, createObserver(model, call, response, observer));
    fleet.recordArrival(model.options.id, call);
    if (isDisconnected) {
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
        sharedParts: [],
        outputTokens: Number(url.searchParams.get("length") ?? maximumTokens),
        priority: Number(text("request-priority") ?? normalPriority),
        lastEvent: Number(text("last-event-id") ?? 0),
        replicaAddress: text("kv-replica"),
        copy: readReplicaReference(text("kv-from")),
    };
}

function readReplicaReference(text: string | undefined): ServerCall["copy"] {
    const [source, name] = text?.split("/") ?? [];
    return source === undefined || name === undefined ? undefined : { source, name };
}

const floodBytes = Buffer.alloc(16 * 1024, "x");

/** Writes the head of a stream, and then bytes without end until the caller closes the connection. */
function flood(response: ServerResponse): void {
    response.writeHead(200, { "content-type": "text/event-stream" });
    const write = (): void => {
        while (!response.destroyed && response.write(floodBytes)) { /* until the connection is full */ }
    };
    response.on("drain", write);
    write();
}

const invalidStatusLines = ["HTTP/1.1 000 Zero", "HTTP/1.1 600 Other", "HTTP/2.0 200 OK"];

/** Sends bytes that are no answer, of each form in turn. */
function answerInvalidly(request: IncomingMessage, response: ServerResponse, turn: number): void {
    if (turn % 2 === 0) {
        return flood(response);
    }
    const line = invalidStatusLines[Math.floor(turn / 2) % invalidStatusLines.length];
    const attemptId = String(request.headers["attempt-id"]);
    // Node.js writes no such status lines itself.
    response.socket?.end(`${line}\r\nAttempt-Id: ${attemptId}\r\nResponse-Seal: seal\r\ncontent-length: 2\r\n\r\nhi`);
}

/** The headers in which a server tells about itself, whatever the request. */
function declarationHeaders({ requestLimit, isLeaving }: ServerModel): Readonly<Record<string, string>> {
    return {
        ...(requestLimit === undefined ? {} : { "Server-Limit": String(requestLimit) }),
        ...(isLeaving ? { "Server-Leaving": "1" } : {}),
    };
}

function createObserver(
    model: ServerModel,
    call: ServerCall,
    response: ServerResponse,
    observer: BackendServerObserver,
): CallObserver {
    const declarations = declarationHeaders(model);
    const identityHeaders = {
        "Attempt-Id": call.callerAttemptId,
        "Response-Seal": "seal",
        "Instance-Id": model.options.id,
        ...declarations,
    };
    return {
        refused: reason => {
            const status = reason === "not_the_target" ? misdirectedStatus : refusedStatus;
            const { pause } = model;
            if (status === refusedStatus && pause !== undefined) {
                observer.pauseRequested(call, model.options.id, pause);
                response.setHeader("Retry-After", String(pause / millisecondsPerSecond));
            }
            response.writeHead(status, {
                ...declarations,
                "Attempt-Id": call.callerAttemptId,
                "Not-Executed": "1",
                "content-length": 0,
            });
            response.end();
        },
        opened: () => {
            response.useChunkedEncodingByDefault = !model.isUnframed;
            response.writeHead(200, {
                ...identityHeaders,
                ...(model.isUnframed ? { connection: "close" } : {}),
                "content-type": "text/event-stream",
            });
        },
        event: event => response.write(formatRunEvent(event)),
        ended: () => response.end(),
        answered: answer => writeAnswer(response, answer, identityHeaders),
        disconnected: how => {
            if (how === "closed" && response.headersSent) {
                response.end();
                return;
            }
            if (model.behaviour === "lose") {
                response.socket?.resetAndDestroy();
                return;
            }
            if (!model.isEngine && !response.headersSent) {
                const body = `answer to ${call.callerAttemptId}`;
                response.writeHead(200, { ...identityHeaders, "content-length": Buffer.byteLength(body) });
                response.write(body.slice(0, truncatedBodyBytes));
            }
            setTimeout(() => response.socket?.destroy(), disconnectDelay);
        },
    };
}

function writeAnswer(
    response: ServerResponse,
    { status, callerAttemptId, body }: ServerAnswer,
    headers: Readonly<Record<string, string>>,
): void {
    response.writeHead(status, {
        ...headers,
        "Attempt-Id": callerAttemptId,
        "content-length": Buffer.byteLength(body),
    });
    response.end(body);
}
