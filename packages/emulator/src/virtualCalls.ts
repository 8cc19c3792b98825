/**
 * The calls of one gateway process to backend servers in virtual time, each on its own connection.
 */
import type { Random } from "@verbenaspring/coordination";
import type { BackendAnswer, BackendCall, GatewayEvent, ResponseHead } from "@verbenaspring/gateway";
import {
    type AttemptId,
    type BackendServerId,
    type CallerAttemptId,
    type EventId,
    identifier,
    type Milliseconds,
} from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import type { Fleet } from "./fleet.js";
import {
    type CallHandle,
    type CallObserver,
    formatRunEvent,
    type ServerCall,
    type ServerModel,
} from "./serverModel.js";
import type { VirtualChannel, VirtualNetwork } from "./virtualNetwork.js";

/** Environment of the calls. */
export interface CallEnvironment {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: VirtualNetwork;
    readonly fleet: Fleet;
}

/** Callbacks for the events of calls. */
export interface CallHandlers {
    readonly handleEvent: (event: GatewayEvent) => void;
    /** Is called when a call reaches a backend server, even if the server then refuses it. */
    readonly callArrived: (call: BackendCall, sentAt: Milliseconds) => void;
    /** Is called when a backend server refuses a call and asks the gateway for a pause. */
    readonly pauseRequested: (call: BackendCall, pause: Milliseconds) => void;
}

interface SentAttempt {
    readonly call: BackendCall;
    readonly sentAt: Milliseconds;
    readonly channel: VirtualChannel;
    handle: CallHandle | undefined;
    isCancelled: boolean;
}

const connectTimeout: Milliseconds = 400;
/** How often a connection that waits at a listener without a server is tried. */
export const listenerInterval: Milliseconds = 20;
/** Probability that a send over a cut path finds no open connection to reuse, so that connecting times out. */
const newConnectionProbability = 0.5;
/** An id that stands for no particular server: whichever server listens at the address may run the call. */
export const noTarget = identifier<BackendServerId>("");
const refusedStatus = 503;
const misdirectedStatus = 421;
const okStatus = 200;

/** The calls of a gateway process. */
export class VirtualCalls {
    private readonly attempts = new Map<AttemptId, SentAttempt>();

    constructor(
        private readonly name: string,
        private readonly environment: CallEnvironment,
        private readonly handlers: CallHandlers,
    ) {}

    send(call: BackendCall): void {
        const { network, clock, random } = this.environment;
        const channel = network.open(this.name, call.address);
        const attempt: SentAttempt = { call, sentAt: clock.now, channel, handle: undefined, isCancelled: false };
        this.attempts.set(call.attemptId, attempt);
        if (network.isCut(this.name, call.address) && random() < newConnectionProbability) {
            clock.schedule(connectTimeout, () => this.fail(attempt, "connect_timeout", false));
            return;
        }
        channel.send("upstream", () => this.deliver(attempt));
    }

    cancel(attemptId: AttemptId): void {
        const attempt = this.attempts.get(attemptId);
        if (attempt !== undefined) {
            this.attempts.delete(attemptId);
            this.end(attempt);
        }
    }

    /** Cancels all calls, as the end of the process does. */
    cancelAll(): void {
        this.attempts.forEach(attempt => this.end(attempt));
    }

    /** @param wasAccepted whether a listener without a server has accepted the connection */
    private deliver(attempt: SentAttempt, wasAccepted = false): void {
        const { fleet } = this.environment;
        const { call } = attempt;
        const server = fleet.findByAddress(call.address);
        if (server === undefined) {
            return this.deliverWithoutServer(attempt, wasAccepted);
        }
        if (!attempt.isCancelled) {
            const serverCall = toServerCall(call);
            this.handlers.callArrived(call, attempt.sentAt);
            attempt.handle = server.start(serverCall, this.createObserver(attempt, server));
            fleet.recordArrival(server.options.id, serverCall);
        }
    }

    private deliverWithoutServer(attempt: SentAttempt, wasAccepted: boolean): void {
        const { clock, fleet } = this.environment;
        if (fleet.isListening(attempt.call.address)) {
            clock.schedule(listenerInterval, () => this.deliver(attempt, true));
            return;
        }
        const failure = wasAccepted ? "channel_lost" : "connect_refused";
        attempt.channel.send("downstream", () => this.fail(attempt, failure, wasAccepted));
    }

    private createObserver(attempt: SentAttempt, server: ServerModel): CallObserver {
        const { call, channel } = attempt;
        const { attemptId } = call;
        let isOpen = false;
        const respond = (event: GatewayEvent, isLast: boolean): void =>
            channel.send("downstream", () => {
                if (this.attempts.get(attemptId) !== attempt) {
                    return;
                }
                if (isLast) {
                    this.removeAttempt(attempt);
                }
                this.handlers.handleEvent(event);
            });
        return {
            refused: reason => {
                const status = reason === "not_the_target" ? misdirectedStatus : refusedStatus;
                const retryAfter = status === refusedStatus ? server.pause : undefined;
                if (retryAfter !== undefined) {
                    this.handlers.pauseRequested(call, retryAfter);
                }
                const head = {
                    ...createHead(server, call.head.callerAttemptId, status),
                    isNotRun: true,
                    isSealed: false,
                    retryAfter,
                };
                respond({ kind: "attemptAnswered", attemptId, answer: { ...head, body: new Uint8Array() } }, true);
            },
            opened: () => {
                isOpen = true;
                const head = {
                    ...createHead(server, call.head.callerAttemptId, okStatus),
                    isEventStream: true,
                    endsWithChannel: server.isUnframed,
                };
                respond({ kind: "streamOpened", attemptId, head }, false);
            },
            event: event => {
                const bytes = Buffer.from(formatRunEvent(event));
                respond(
                    { kind: "streamEvents", attemptId, events: [{ id: identifier<EventId>(String(event.id)), bytes }] },
                    false,
                );
            },
            ended: () => respond({ kind: "streamEnded", attemptId }, true),
            answered: ({ status, callerAttemptId, body }) => {
                const answer: BackendAnswer = {
                    ...createHead(server, identifier(callerAttemptId), status),
                    body: Buffer.from(body),
                };
                respond({ kind: "attemptAnswered", attemptId, answer }, true);
            },
            disconnected: how => {
                if (how === "closed" && isOpen) {
                    return respond({ kind: "streamEnded", attemptId }, true);
                }
                respond({ kind: "attemptFailed", attemptId, failure: "channel_lost", wasSent: true }, true);
            },
        };
    }

    private fail(
        attempt: SentAttempt,
        failure: "connect_refused" | "connect_timeout" | "channel_lost",
        wasSent: boolean,
    ): void {
        const { attemptId } = attempt.call;
        if (this.attempts.get(attemptId) === attempt) {
            this.removeAttempt(attempt);
            this.handlers.handleEvent({ kind: "attemptFailed", attemptId, failure, wasSent });
        }
    }

    private removeAttempt({ call, channel }: SentAttempt): void {
        this.attempts.delete(call.attemptId);
        channel.close();
    }

    private end(attempt: SentAttempt): void {
        attempt.channel.send("upstream", () => {
            attempt.isCancelled = true;
            attempt.handle?.cancel();
        });
        attempt.channel.close();
    }
}

function createHead(
    { requestLimit, isLeaving }: ServerModel,
    callerAttemptId: CallerAttemptId,
    status: number,
): ResponseHead {
    return {
        status,
        callerAttemptId,
        isSealed: true,
        isNotRun: false,
        isEncoded: false,
        requestLimit,
        isLeaving,
        retryAfter: undefined,
        isEventStream: false,
        endsWithChannel: false,
        isFirstOnChannel: true,
        headers: [],
    };
}

/** Converts a call to what the backend server receives. A `length` parameter in the path sets the answer's length. */
function toServerCall(call: BackendCall): ServerCall {
    const { head, timeLeft, priority, replicaAddress, lastEvent, continuesFrom } = call;
    const length = /[?&]length=(\d+)/.exec(head.target);
    const normalPriority = 5;
    return {
        callerAttemptId: head.callerAttemptId,
        target: call.backendServer === noTarget ? undefined : call.backendServer,
        path: head.target,
        body: "",
        timeLimit: timeLeft,
        promptTokens: head.promptTokens,
        sharedParts: head.sharedParts,
        outputTokens: length === null ? head.maximumTokens : Number(length[1]),
        priority: priority ?? normalPriority,
        lastEvent: Number(lastEvent ?? 0),
        replicaAddress,
        copy: continuesFrom,
    };
}
