/**
 * The callers of a soak. Each keeps its connections to the gateways open and reuses them until they break.
 */
import { isGatewayProcessReady, readResponseBody } from "@verbenaspring/bench";
import type { Random } from "@verbenaspring/coordination";
import { expectedEventCount, routesHost, routeTimeouts, tokensPerEvent } from "@verbenaspring/fuzz";
import { pause } from "@verbenaspring/stand-ins";
import { Readable } from "node:stream";
import { Client } from "undici";
import { SoakBalancer } from "./soakBalancer.js";
import type { SoakRequest, SoakResponse, SoakResponseHead } from "./soakOracle.js";
import type { CallerHabits, RequestSize, SendingHabits } from "./soakPlans.js";
import type { SoakGateway, SoakWorld } from "./soakWorld.js";

/** The longest time in milliseconds before a caller takes up a stream that broke off, and how often it tries. */
const maxTakeUpDelay = 600;
const maxTakeUps = 3;
/** Milliseconds between two checks of the load balancer. */
const balancerInterval = 1_000;
/** A caller aborts a request that has not ended this many milliseconds after its deadline. */
const abortDelay = 3_000;
/** The size of the chunks of a body, and the milliseconds between them. */
const chunkBytes = 6;
const chunkPause = 15;

/** Runs all callers. */
export class SoakCallers {
    private readonly connections = new Map<string, CallerConnection>();
    private readonly loops: Promise<void>[] = [];
    private readonly balancer = new SoakBalancer<SoakGateway>();
    private balancerTimer: NodeJS.Timeout | undefined;
    private isStopped = false;
    private requestCount = 0;

    /** @param takeUpRandom draws the take-ups, so that the requests don't depend on how many there are */
    constructor(
        private readonly world: SoakWorld,
        private readonly habits: CallerHabits,
        private readonly random: Random,
        private readonly takeUpRandom: Random,
    ) {}

    start(callers: number): void {
        if (this.habits.areBalanced) {
            const check = (): void => this.world.gateways.forEach(gateway => void this.checkReadiness(gateway));
            this.balancerTimer = setInterval(check, balancerInterval).unref();
        }
        for (let caller = 0; caller < callers; caller++) {
            this.loops.push(this.runCaller(caller));
        }
    }

    /** Sends no more requests, and waits for the last answers. */
    async stop(): Promise<void> {
        this.isStopped = true;
        clearInterval(this.balancerTimer);
        await Promise.all(this.loops);
        await Promise.all([...this.connections.values()].map(({ client }) => client.destroy()));
    }

    private async checkReadiness(gateway: SoakGateway): Promise<void> {
        this.balancer.recordCheck(gateway, !gateway.hasExited && await isGatewayProcessReady(gateway.process));
    }

    private async runCaller(caller: number): Promise<void> {
        while (!this.isStopped) {
            const gateway = this.chooseGateway(caller, this.random);
            const isUp = !gateway.hasExited && gateway.killedAt === undefined;
            const isRefused = isUp && isRefusal(await this.sendNext(caller, gateway));
            await pause(this.habits.drawThinkTime(this.random, performance.now(), isRefused));
        }
    }

    /** Draws a gateway to which a caller has a connection, or may open one. */
    private chooseGateway(caller: number, random: Random): SoakGateway {
        const { gateways } = this.world;
        const available = this.habits.areBalanced ? this.balancer.available(gateways) : gateways;
        const choice = gateways.filter(gateway =>
            available.includes(gateway) || this.connections.has(connectionKey(caller, gateway))
        );
        return choice[Math.floor(random() * choice.length)];
    }

    private async sendNext(caller: number, gateway: SoakGateway): Promise<SoakRequest> {
        const { kinds, probeShare, leavingShare } = this.habits;
        if (this.random() >= probeShare) {
            const kind = kinds[Math.floor(this.random() * kinds.length)];
            const request = await this.sendRequest(caller, gateway, kind, this.random() < leavingShare);
            await this.takeUp(caller, request);
            return request;
        }
        const { versions } = this.world;
        const index = Math.max(0, versions.newestIndex - Math.floor(3 * this.random()));
        const finishProbe = versions.startProbe(gateway, index, performance.now());
        const request = await this.sendRequest(caller, gateway, "probe", false, `/version${index}/1`);
        const isMissing = typeof request.end === "object" && request.end.failure === "404";
        if (request.end === "whole" || isMissing) {
            finishProbe(!isMissing);
        }
        return request;
    }

    /** Takes up a stream that broke off at any gateway, as long as its caller has time left. */
    private async takeUp(caller: number, broken: SoakRequest): Promise<void> {
        let last = broken;
        for (let tries = 0; tries < maxTakeUps && canTakeUp(last); tries++) {
            await pause(this.takeUpRandom() * maxTakeUpDelay);
            const gateway = this.chooseGateway(caller, this.takeUpRandom);
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
        const size: RequestSize = takesUp === undefined
            ? this.habits.drawSize(kind, this.random)
            : {
                promptTokens: takesUp.promptTokens,
                length: takesUp.events * tokensPerEvent,
                timeLimit: Math.floor(takesUp.deadlineAt - now),
                statesLength: true,
            };
        const { length, timeLimit } = size;
        const id = `caller${++this.requestCount}`;
        const request: SoakRequest = {
            id,
            kind,
            gateway,
            sentAt: now,
            bodySentAt: now,
            connectionOpenedAt: now,
            deadlineAt: now + Math.min(timeLimit, routeTimeouts[kind]),
            promptTokens: size.promptTokens,
            events: expectedEventCount(kind, length),
            takesUp,
            firstAttemptId: takesUp?.firstAttemptId ?? id,
            lastEvent: takesUp?.lastEvent ?? 0,
            softwareVersion: undefined,
            end: undefined,
        };
        this.world.oracle.recordRequest(request);
        const target = path ?? `/${kind}/1?length=${length}`;
        const sending = this.habits.drawSending(this.random);
        const response = await this.send(caller, request, { ...size, ...sending, target, leaves });
        this.world.oracle.recordResponse(request, response);
        return request;
    }

    /** Opens a connection. Where the load balancer decides on new ones, it is kept only until it is closed. */
    private openConnection(key: string, { callerRelay }: SoakGateway): CallerConnection {
        const client = new Client(`http://${callerRelay.address}`);
        const connection = { client, openedAt: performance.now() };
        this.connections.set(key, connection);
        if (this.habits.areBalanced) {
            client.on("disconnect", () => {
                if (this.connections.get(key) === connection) {
                    this.connections.delete(key);
                }
            });
        }
        return connection;
    }

    private async send(
        caller: number,
        request: SoakRequest,
        options: RequestOptions,
    ): Promise<SoakResponse | undefined> {
        const key = connectionKey(caller, request.gateway);
        const connection = this.connections.get(key) ?? this.openConnection(key, request.gateway);
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
            this.connections.delete(key);
            void connection.client.destroy();
            return undefined;
        }
        finally {
            clearTimeout(timer);
        }
    }
}

function connectionKey(caller: number, { callerRelay }: SoakGateway): string {
    return `${caller} ${callerRelay.address}`;
}

/** Whether a request was refused and has not run. */
function isRefusal({ end }: SoakRequest): boolean {
    return typeof end === "object" && end.isNotRun;
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

interface RequestOptions extends RequestSize, SendingHabits {
    readonly target: string;
    readonly leaves: boolean;
}

async function exchange(
    client: Client,
    request: SoakRequest,
    { target, promptTokens, length, timeLimit, statesLength, isChunked, keepsConnection }: RequestOptions,
    signal: AbortSignal,
    onHead: (head: SoakResponseHead) => void,
): Promise<SoakResponse> {
    const body = `body of ${request.id}`;
    const { statusCode, headers, body: answer } = await client.request({
        method: "POST",
        path: target,
        headers: {
            host: routesHost,
            "attempt-id": request.id,
            "deadline-ms": String(timeLimit),
            ...(statesLength ? { "token-usage": `${promptTokens},${length}` } : {}),
            ...takeUpHeaders(request),
        },
        body: isChunked ? Readable.from(sendChunks(request, body)) : body,
        reset: !keepsConnection,
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
    return { ...head, ...await readResponseBody(answer) };
}

async function* sendChunks(request: SoakRequest, body: string): AsyncGenerator<Buffer> {
    for (let start = 0; start < body.length; start += chunkBytes) {
        yield Buffer.from(body.slice(start, start + chunkBytes));
        await pause(chunkPause);
    }
    request.bodySentAt = performance.now();
}
