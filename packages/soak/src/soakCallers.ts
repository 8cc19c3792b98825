/**
 * The callers of a soak. Each keeps its connections to the gateways open and reuses them until they break.
 */
import { readResponseBody } from "@verbenaspring/bench";
import type { Random } from "@verbenaspring/coordination";
import {
    expectedEventCount,
    isStreamed,
    promptTokens,
    type RequestKind,
    routesHost,
    routeTimeouts,
    tokensPerEvent,
} from "@verbenaspring/fuzz";
import { pause } from "@verbenaspring/stand-ins";
import { Client } from "undici";
import type { SoakRequest, SoakResponse, SoakResponseHead } from "./soakOracle.js";
import type { SoakGateway, SoakWorld } from "./soakWorld.js";

/** Requests are drawn evenly from these; a kind that is listed twice is twice as frequent. */
const requestMix: readonly RequestKind[] = ["confirm", "confirm", "lookup", "plan", "plan", "note"];
/** The share of the requests whose caller leaves before the end of the answer. */
const leavingShare = 0.08;
/** The share of the requests that probe the route of a recent version of the configuration. */
const probeShare = 0.15;
/** The longest time in milliseconds between an answer and the caller's next request. */
const maxThinkTime = 120;
/** The longest time in milliseconds before a caller takes up a stream that broke off, and how often it tries. */
const maxTakeUpDelay = 600;
const maxTakeUps = 3;
/** A caller aborts a request that has not ended this many milliseconds after its deadline. */
const abortDelay = 3_000;

/** Runs all callers. */
export class SoakCallers {
    private readonly connections = new Map<string, CallerConnection>();
    private readonly loops: Promise<void>[] = [];
    private isStopped = false;
    private requestCount = 0;

    /** @param takeUpRandom draws the take-ups, so that the requests don't depend on how many there are */
    constructor(
        private readonly world: SoakWorld,
        private readonly random: Random,
        private readonly takeUpRandom: Random,
    ) {}

    start(callers: number): void {
        for (let caller = 0; caller < callers; caller++) {
            this.loops.push(this.runCaller(caller));
        }
    }

    /** Sends no more requests, and waits for the last answers. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.loops);
        await Promise.all([...this.connections.values()].map(({ client }) => client.destroy()));
    }

    private async runCaller(caller: number): Promise<void> {
        while (!this.isStopped) {
            const { gateways } = this.world;
            const gateway = gateways[Math.floor(this.random() * gateways.length)];
            if (!gateway.hasExited && gateway.killedAt === undefined) {
                await this.sendNext(caller, gateway);
            }
            await pause(this.random() * maxThinkTime);
        }
    }

    private async sendNext(caller: number, gateway: SoakGateway): Promise<void> {
        if (this.random() >= probeShare) {
            const kind = requestMix[Math.floor(this.random() * requestMix.length)];
            const request = await this.sendRequest(caller, gateway, kind, this.random() < leavingShare);
            return this.takeUp(caller, request);
        }
        const { versions } = this.world;
        const index = Math.max(0, versions.newestIndex - Math.floor(3 * this.random()));
        const finishProbe = versions.startProbe(gateway, index, performance.now());
        const request = await this.sendRequest(caller, gateway, "probe", false, `/version${index}/1`);
        const isMissing = typeof request.end === "object" && request.end.failure === "404";
        if (request.end === "whole" || isMissing) {
            finishProbe(!isMissing);
        }
    }

    /** Takes up a stream that broke off at any gateway, as long as its caller has time left. */
    private async takeUp(caller: number, broken: SoakRequest): Promise<void> {
        let last = broken;
        for (let tries = 0; tries < maxTakeUps && canTakeUp(last); tries++) {
            await pause(this.takeUpRandom() * maxTakeUpDelay);
            const { gateways } = this.world;
            const gateway = gateways[Math.floor(this.takeUpRandom() * gateways.length)];
            if (!gateway.hasExited && gateway.killedAt === undefined && canTakeUp(last)) {
                const next = await this.sendRequest(caller, gateway, "note", false, undefined, last);
                last = next.lastEvent > last.lastEvent ? next : last;
            }
        }
    }

    /**
     * Sends a request, and resolves once it has ended.
     *
     * @param leaves whether the caller leaves before the end of the answer
     * @param path overrides the path of the kind of request
     * @param takesUp the request whose broken stream this one takes up
     */
    async sendRequest(
        caller: number,
        gateway: SoakGateway,
        kind: SoakRequest["kind"],
        leaves: boolean,
        path?: string,
        takesUp?: SoakRequest,
    ): Promise<SoakRequest> {
        const now = performance.now();
        const { length, timeLimit } = takesUp === undefined ? this.drawSize(kind) : {
            length: takesUp.events * tokensPerEvent,
            timeLimit: Math.floor(takesUp.deadlineAt - now),
        };
        const id = `caller${++this.requestCount}`;
        const request: SoakRequest = {
            id,
            kind,
            gateway,
            sentAt: now,
            connectionOpenedAt: now,
            deadlineAt: now + Math.min(timeLimit, routeTimeouts[kind]),
            events: expectedEventCount(kind, length),
            takesUp,
            firstAttemptId: takesUp?.firstAttemptId ?? id,
            lastEvent: takesUp?.lastEvent ?? 0,
            softwareVersion: undefined,
            end: undefined,
        };
        this.world.oracle.recordRequest(request);
        const target = path ?? `/${kind}/1?length=${length}`;
        const response = await this.send(caller, request, { target, length, timeLimit, leaves });
        this.world.oracle.recordResponse(request, response);
        return request;
    }

    /** Draws the length of an answer and the time limit of its request. */
    private drawSize(kind: SoakRequest["kind"]): { readonly length: number; readonly timeLimit: number; } {
        const length = isStreamed(kind) ? 1 + Math.floor(300 * this.random() ** 2) : 1;
        return { length, timeLimit: 1_000 + Math.floor(12_000 * this.random()) };
    }

    private async send(
        caller: number,
        request: SoakRequest,
        options: RequestOptions,
    ): Promise<SoakResponse | undefined> {
        const connectionKey = `${caller} ${request.gateway.callerRelay.address}`;
        const connection = this.connections.get(connectionKey) ?? openConnection(request.gateway);
        this.connections.set(connectionKey, connection);
        request.connectionOpenedAt = connection.openedAt;
        const abort = new AbortController();
        const limit = options.leaves ? 300 * this.random() : request.deadlineAt - performance.now() + abortDelay;
        const timer = setTimeout(() => {
            if (options.leaves) {
                request.end = "left";
            }
            abort.abort();
        }, limit);
        try {
            const onHead = (head: SoakResponseHead): void => this.world.oracle.recordHead(request, head);
            return await exchange(connection.client, request, options, abort.signal, onHead);
        }
        catch {
            // Whatever broke the connection, the caller's next request opens a new one.
            this.connections.delete(connectionKey);
            void connection.client.destroy();
            return undefined;
        }
        finally {
            clearTimeout(timer);
        }
    }
}

/** Whether a stream broke off after its first event, and its caller has time left to take it up. */
function canTakeUp({ kind, end, lastEvent, events, deadlineAt }: SoakRequest): boolean {
    return kind === "note" && end === "cut" && lastEvent > 0 && lastEvent < events
        && deadlineAt - performance.now() > maxTakeUpDelay;
}

function takeUpHeaders({ takesUp, firstAttemptId }: SoakRequest): Readonly<Record<string, string>> {
    return takesUp === undefined ? {} : { "last-event-id": String(takesUp.lastEvent), resumes: firstAttemptId };
}

interface CallerConnection {
    readonly client: Client;
    readonly openedAt: number;
}

function openConnection({ callerRelay }: SoakGateway): CallerConnection {
    return { client: new Client(`http://${callerRelay.address}`), openedAt: performance.now() };
}

interface RequestOptions {
    readonly target: string;
    readonly length: number;
    readonly timeLimit: number;
    readonly leaves: boolean;
}

async function exchange(
    client: Client,
    request: SoakRequest,
    { target, length, timeLimit }: RequestOptions,
    signal: AbortSignal,
    onHead: (head: SoakResponseHead) => void,
): Promise<SoakResponse> {
    const { statusCode, headers, body } = await client.request({
        method: "POST",
        path: target,
        headers: {
            host: routesHost,
            "attempt-id": request.id,
            "deadline-ms": String(timeLimit),
            "token-usage": `${promptTokens},${length}`,
            ...takeUpHeaders(request),
        },
        body: `body of ${request.id}`,
        signal,
    });
    const head: SoakResponseHead = {
        status: statusCode,
        server: headers["instance-id"]?.toString(),
        declaresLimit: headers["server-limit"] !== undefined,
        isServerLeaving: headers["server-leaving"] === "1",
        isSealed: headers["response-seal"] !== undefined,
    };
    onHead(head);
    return { ...head, ...await readResponseBody(body) };
}
