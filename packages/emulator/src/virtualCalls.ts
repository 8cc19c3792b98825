/**
 * The calls of one gateway process to workers in virtual time, each on a channel of its own.
 */
import type { Random } from "@verbenaspring/coordination";
import type { BackendAnswer, BackendCall, GatewayEvent, ResponseHead } from "@verbenaspring/gateway";
import {
    type AttemptId,
    type BackendServerId,
    type CallerAttemptId,
    identifier,
    type Milliseconds,
} from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import type { Fleet } from "./fleet.js";
import type { CallHandle, CallObserver, ServerCall } from "./serverModel.js";
import type { VirtualChannel, VirtualNetwork } from "./virtualNetwork.js";

/** What calls need. */
export interface CallEnvironment {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: VirtualNetwork;
    readonly fleet: Fleet;
}

/** Who hears of calls. */
export interface CallHandlers {
    readonly handleEvent: (event: GatewayEvent) => void;
    /** A worker was reached with a call, whatever it then does with it. */
    readonly callArrived: (call: BackendCall) => void;
}

interface SentAttempt {
    readonly call: BackendCall;
    readonly channel: VirtualChannel;
    handle: CallHandle | undefined;
    isCancelled: boolean;
}

const connectTimeout: Milliseconds = 400;
/** The part of the sends over a cut path for which no open channel was kept, so that connecting fails. */
const newChannelPart = 0.5;
/** The id of no server: the call may go to whichever listens at the address. */
export const noTarget = identifier<BackendServerId>("");
const refusedStatus = 503;
const mistakenStatus = 421;
const success = 200;

/** The calls of a process. */
export class VirtualCalls {
    private readonly attempts = new Map<AttemptId, SentAttempt>();

    constructor(
        private readonly name: string,
        private readonly host: CallEnvironment,
        private readonly handlers: CallHandlers,
    ) {}

    send(call: BackendCall): void {
        const { network, clock, random } = this.host;
        const channel = network.open(this.name, call.address);
        const attempt: SentAttempt = { call, channel, handle: undefined, isCancelled: false };
        this.attempts.set(call.attemptId, attempt);
        if (network.isCut(this.name, call.address) && random() < newChannelPart) {
            clock.schedule(connectTimeout, () => this.fail(attempt, "connect_timeout", false));
            return;
        }
        channel.send("there", () => this.arrive(attempt));
    }

    cancel(attemptId: AttemptId): void {
        const attempt = this.attempts.get(attemptId);
        if (attempt !== undefined) {
            this.attempts.delete(attemptId);
            this.end(attempt);
        }
    }

    /** Ends all calls, as the end of the process does. */
    cancelAll(): void {
        this.attempts.forEach(attempt => this.end(attempt));
    }

    private arrive(attempt: SentAttempt): void {
        const server = this.host.fleet.findByAddress(attempt.call.address);
        if (server === undefined) {
            attempt.channel.send("back", () => this.fail(attempt, "connect_refused", false));
            return;
        }
        if (!attempt.isCancelled) {
            this.handlers.callArrived(attempt.call);
            attempt.handle = server.start(toServerCall(attempt.call), this.observe(attempt));
        }
    }

    private observe(attempt: SentAttempt): CallObserver {
        const { call, channel } = attempt;
        const { attemptId } = call;
        const report = (event: GatewayEvent, isLast: boolean): void =>
            channel.send("back", () => {
                if (this.attempts.get(attemptId) !== attempt) {
                    return;
                }
                if (isLast) {
                    this.forget(attempt);
                }
                this.handlers.handleEvent(event);
            });
        return {
            refused: reason => {
                const status = reason === "not_the_target" ? mistakenStatus : refusedStatus;
                const head = { ...headOf(call.head.callerAttemptId, status), isNotRun: true, isSealed: false };
                report({ kind: "attemptAnswered", attemptId, answer: { ...head, body: new Uint8Array() } }, true);
            },
            opened: () => {
                const head = { ...headOf(call.head.callerAttemptId, success), isEventStream: true };
                report({ kind: "streamOpened", attemptId, head }, false);
            },
            event: ({ id, lineage }) => {
                const bytes = Buffer.from(`id: ${id}\ndata: ${lineage}\n\n`);
                report({ kind: "streamEvents", attemptId, events: [{ id, bytes }] }, false);
            },
            ended: () => report({ kind: "streamEnded", attemptId }, true),
            answered: ({ status, callerAttemptId, body }) => {
                const answer: BackendAnswer = {
                    ...headOf(identifier(callerAttemptId), status),
                    body: Buffer.from(body),
                };
                report({ kind: "attemptAnswered", attemptId, answer }, true);
            },
            disconnected: () =>
                report({ kind: "attemptFailed", attemptId, failure: "channel_lost", wasSent: true }, true),
        };
    }

    private fail(attempt: SentAttempt, failure: "connect_refused" | "connect_timeout", wasSent: boolean): void {
        const { attemptId } = attempt.call;
        if (this.attempts.get(attemptId) === attempt) {
            this.forget(attempt);
            this.handlers.handleEvent({ kind: "attemptFailed", attemptId, failure, wasSent });
        }
    }

    private forget({ call, channel }: SentAttempt): void {
        this.attempts.delete(call.attemptId);
        channel.close();
    }

    private end(attempt: SentAttempt): void {
        attempt.channel.send("there", () => {
            attempt.isCancelled = true;
            attempt.handle?.cancel();
        });
        attempt.channel.close();
    }
}

function headOf(callerAttemptId: CallerAttemptId, status: number): ResponseHead {
    return {
        status,
        callerAttemptId,
        isSealed: true,
        isNotRun: false,
        isEncoded: false,
        isEventStream: false,
        endsWithChannel: false,
        headers: [],
    };
}

/** The call as the wire would carry it; the path of a call names the length of its answer. */
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
        outputTokens: length === null ? head.maximumTokens : Number(length[1]),
        priority: priority ?? normalPriority,
        lastEvent: lastEvent ?? 0,
        replicaAddress,
        copy: continuesFrom,
    };
}
