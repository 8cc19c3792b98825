/**
 * Callers of a soak. Each keeps its channels open and uses them until they end.
 */
import { readResponseBody } from "@verbenaspring/bench";
import type { Random } from "@verbenaspring/coordination";
import { eventsOf, isStreamed, promptTokens, routesHost, routeTimeouts, type Work } from "@verbenaspring/fuzz";
import { pause } from "@verbenaspring/stand-ins";
import { Client } from "undici";
import type { SoakRequest, SoakResponse } from "./soakOracle.js";
import type { SoakGateway, SoakWorld } from "./soakWorld.js";

const works: readonly Work[] = ["confirm", "confirm", "lookup", "plan", "plan", "note"];
/** The part of the callers that leave before the end of their answer. */
const leavingPart = 0.08;
/** The part of the requests that ask for the route of a recent version. */
const probingPart = 0.15;
const longestThinking = 120;
/** A caller that hears nothing for so long after its time gives up. */
const givesUpAfter = 3_000;

/** All callers. */
export class SoakCallers {
    private readonly channels = new Map<string, CallerChannel>();
    private readonly loops: Promise<void>[] = [];
    private isStopped = false;
    private asked = 0;

    constructor(private readonly world: SoakWorld, private readonly random: Random) {}

    start(callers: number): void {
        for (let caller = 0; caller < callers; caller++) {
            this.loops.push(this.loop(caller));
        }
    }

    /** Asks no more, and waits for the last answers. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.loops);
        await Promise.all([...this.channels.values()].map(({ client }) => client.destroy()));
    }

    private async loop(caller: number): Promise<void> {
        while (!this.isStopped) {
            const { gateways } = this.world;
            const gateway = gateways[Math.floor(this.random() * gateways.length)];
            if (!gateway.hasExited && gateway.killedAt === undefined) {
                await this.askOnce(caller, gateway);
            }
            await pause(this.random() * longestThinking);
        }
    }

    private async askOnce(caller: number, gateway: SoakGateway): Promise<void> {
        if (this.random() >= probingPart) {
            const work = works[Math.floor(this.random() * works.length)];
            await this.ask(caller, gateway, work, this.random() < leavingPart);
            return;
        }
        const { versions } = this.world;
        const index = Math.max(0, versions.newest - Math.floor(3 * this.random()));
        const check = versions.noteProbe(gateway, index, performance.now());
        const ask = await this.ask(caller, gateway, "probe", false, `/version${index}/1`);
        const isMissing = typeof ask.end === "object" && ask.end.failure === "404";
        if (ask.end === "whole" || isMissing) {
            check(!isMissing);
        }
    }

    /** Asks once, and resolves with the end of the answer. */
    async ask(
        caller: number,
        gateway: SoakGateway,
        work: SoakRequest["work"],
        leaves: boolean,
        path?: string,
    ): Promise<SoakRequest> {
        const length = isStreamed(work) ? 1 + Math.floor(300 * this.random() ** 2) : 1;
        const timeLimit = 1_000 + Math.floor(12_000 * this.random());
        const now = performance.now();
        const ask: SoakRequest = {
            id: `caller${++this.asked}`,
            work,
            gateway,
            sentAt: now,
            channelOpenedAt: now,
            finishBy: now + Math.min(timeLimit, routeTimeouts[work]),
            events: eventsOf(work, length),
            end: undefined,
        };
        this.world.oracle.recordRequest(ask);
        const target = path ?? `/${work}/1?length=${length}`;
        const answer = await this.send(caller, ask, { target, length, timeLimit, leaves });
        this.world.oracle.recordResponse(ask, answer);
        return ask;
    }

    private async send(caller: number, ask: SoakRequest, request: SentRequest): Promise<SoakResponse | undefined> {
        const name = `${caller} ${ask.gateway.callers.address}`;
        const channel = this.channels.get(name) ?? openChannel(ask.gateway);
        this.channels.set(name, channel);
        ask.channelOpenedAt = channel.openedAt;
        const abort = new AbortController();
        const limit = request.leaves ? 300 * this.random() : ask.finishBy - performance.now() + givesUpAfter;
        const timer = setTimeout(() => {
            if (request.leaves) {
                ask.end = "left";
            }
            abort.abort();
        }, limit);
        try {
            return await exchange(channel.client, ask, request, abort.signal);
        }
        catch {
            // However a channel ends, its caller goes on with a new one.
            this.channels.delete(name);
            void channel.client.destroy();
            return undefined;
        }
        finally {
            clearTimeout(timer);
        }
    }
}

interface CallerChannel {
    readonly client: Client;
    readonly openedAt: number;
}

function openChannel({ callers }: SoakGateway): CallerChannel {
    return { client: new Client(`http://${callers.address}`), openedAt: performance.now() };
}

interface SentRequest {
    readonly target: string;
    readonly length: number;
    readonly timeLimit: number;
    readonly leaves: boolean;
}

async function exchange(
    channel: Client,
    ask: SoakRequest,
    { target, length, timeLimit }: SentRequest,
    signal: AbortSignal,
): Promise<SoakResponse> {
    const { statusCode, headers, body } = await channel.request({
        method: "POST",
        path: target,
        headers: {
            host: routesHost,
            "attempt-id": ask.id,
            "deadline-ms": String(timeLimit),
            "token-usage": `${promptTokens},${length}`,
        },
        body: `body of ${ask.id}`,
        signal,
    });
    const isSealed = headers["response-seal"] !== undefined;
    return { status: statusCode, isSealed, ...await readResponseBody(body) };
}
