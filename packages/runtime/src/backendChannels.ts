/**
 * Pools of channels to backend servers. A channel is one HTTP/1.1 connection and carries one call at a time. A failed
 * call reports whether any byte of it was handed to the network, since only a call that was not sent has certainly not
 * run.
 */
import {
    type AttemptFailure,
    type BackendAnswer,
    type BackendCall,
    type HeaderList,
    type ResponseHead,
    type StreamEvent,
} from "@verbenaspring/gateway";
import type { AttemptId, Milliseconds } from "@verbenaspring/model";
import { connect as connectSocket, type Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { createEventFramer, type EventFramer } from "./eventFraming.js";
import { monotonicNow } from "./eventLoop.js";
import { parseAddress } from "./socketAddress.js";

/** Callbacks for the outcomes of calls. */
export interface BackendCallHandlers {
    /** A complete answer other than an event stream has been read. */
    readonly answered: (attemptId: AttemptId, answer: BackendAnswer) => void;
    readonly opened: (attemptId: AttemptId, head: ResponseHead) => void;
    readonly events: (attemptId: AttemptId, events: readonly StreamEvent[]) => void;
    readonly ended: (attemptId: AttemptId) => void;
    /** `wasSent` is false only if the call cannot have run. */
    readonly failed: (attemptId: AttemptId, failure: AttemptFailure, wasSent: boolean) => void;
}

/** Encodes the headers of calls and decodes the heads of answers. */
export interface BackendCodec {
    readonly encodeBackendCall: (call: BackendCall) => string[];
    readonly decodeBackendHead: (status: number, headers: HeaderList) => ResponseHead;
}

/** The calls and the pooled channels of one gateway. */
export interface BackendChannels {
    readonly send: (call: BackendCall, body: Buffer) => void;
    /** Aborts a call and closes its channel; no callback follows. */
    readonly cancel: (attemptId: AttemptId) => void;
    /** Pauses or resumes reading the answer of a call. */
    readonly setPaused: (attemptId: AttemptId, isPaused: boolean) => void;
    /** How many channels have been opened since the start. */
    readonly openedChannelCount: () => number;
    readonly close: () => void;
}

const connectTimeout: Milliseconds = 400;
/** A channel that has been idle for longer is not used again: the other end may have dropped it without notice. */
const maxIdleTime: Milliseconds = 4_000;
/** The same limit for calls that cannot be sent again if their outcome is unknown. */
const maxFreshIdleTime: Milliseconds = 1_000;
/** Limit on the body of an answer other than an event stream. */
const maxAnswerBytes = 16 * 1024 * 1024;

/** A socket, and whether its reading side has ended or failed. */
interface SocketState {
    readonly socket: Socket;
    hasEnded: boolean;
    hasFailed: boolean;
}

interface Channel {
    readonly address: string;
    readonly client: Client;
    socketState: SocketState | undefined;
    idleSince: Milliseconds;
}

interface ActiveCall {
    readonly channel: Channel;
    controller: Dispatcher.DispatchController | undefined;
    isCancelled: boolean;
}

/**
 * Creates the channels of a gateway.
 *
 * @example
 * const channels = createBackendChannels(codec, handlers);
 * channels.send(call, body);
 */
export function createBackendChannels(codec: BackendCodec, handlers: BackendCallHandlers): BackendChannels {
    const idleChannels = new Map<string, Channel[]>();
    const activeCalls = new Map<AttemptId, ActiveCall>();
    let openedCount = 0;

    const acquireChannel = (address: string, maxIdle: Milliseconds): Channel => {
        const stack = idleChannels.get(address) ?? [];
        for (let channel = stack.pop(); channel !== undefined; channel = stack.pop()) {
            if (isOpen(channel) && monotonicNow() - channel.idleSince <= maxIdle) {
                return channel;
            }
            void channel.client.destroy();
        }
        openedCount++;
        return openChannel(address);
    };

    const releaseChannel = (channel: Channel): void => {
        // If the answer closes the channel, the client closes it only after it has reported the end of the answer.
        setImmediate(() => {
            if (!isOpen(channel)) {
                void channel.client.destroy();
                return;
            }
            channel.idleSince = monotonicNow();
            const stack = idleChannels.get(channel.address) ?? [];
            idleChannels.set(channel.address, stack);
            stack.push(channel);
        });
    };

    const idleSweep = setInterval(() => {
        for (const [address, stack] of idleChannels) {
            const isReusable = (channel: Channel): boolean =>
                isOpen(channel) && monotonicNow() - channel.idleSince <= maxIdleTime;
            stack.filter(channel => !isReusable(channel)).forEach(channel => void channel.client.destroy());
            const reusable = stack.filter(isReusable);
            if (reusable.length === 0) {
                idleChannels.delete(address);
            }
            else {
                idleChannels.set(address, reusable);
            }
        }
    }, maxIdleTime);
    idleSweep.unref();

    return {
        send: (call, body) => {
            const maxIdle = call.needsFreshChannel ? maxFreshIdleTime : maxIdleTime;
            const channel = acquireChannel(call.address, maxIdle);
            const current: ActiveCall = { channel, controller: undefined, isCancelled: false };
            activeCalls.set(call.attemptId, current);
            const finish = (report: () => void, isReusable: boolean): void => {
                if (activeCalls.get(call.attemptId) !== current) {
                    return;
                }
                activeCalls.delete(call.attemptId);
                if (isReusable) {
                    releaseChannel(channel);
                }
                else {
                    void channel.client.destroy();
                }
                report();
            };
            dispatchCall(codec, handlers, call, body, current, finish);
        },
        cancel: attemptId => {
            const current = activeCalls.get(attemptId);
            if (current !== undefined) {
                activeCalls.delete(attemptId);
                current.isCancelled = true;
                void current.channel.client.destroy();
            }
        },
        setPaused: (attemptId, isPaused) => {
            const controller = activeCalls.get(attemptId)?.controller;
            if (isPaused) {
                controller?.pause();
            }
            else {
                controller?.resume();
            }
        },
        openedChannelCount: () => openedCount,
        close: () => {
            clearInterval(idleSweep);
            [...idleChannels.values()].flat().forEach(channel => void channel.client.destroy());
            activeCalls.forEach(({ channel }) => void channel.client.destroy());
        },
    };
}

type FinishCall = (report: () => void, isReusable: boolean) => void;

function dispatchCall(
    codec: BackendCodec,
    handlers: BackendCallHandlers,
    call: BackendCall,
    body: Buffer,
    current: ActiveCall,
    finish: FinishCall,
): void {
    const { attemptId } = call;
    let wasSent = false;
    let head: ResponseHead | undefined;
    let framer: EventFramer | undefined;
    const chunks: Buffer[] = [];
    let size = 0;
    const fail = (failure: AttemptFailure): void => finish(() => handlers.failed(attemptId, failure, wasSent), false);
    const options: Dispatcher.DispatchOptions = {
        method: call.head.method as Dispatcher.HttpMethod,
        path: call.head.target,
        headers: codec.encodeBackendCall(call),
        body: body.length === 0 ? null : body,
    };
    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: controller => {
            wasSent = true;
            current.controller = controller;
        },
        onResponseStart: (controller, status) => {
            head = codec.decodeBackendHead(status, readRawHeaders(controller.rawHeaders));
            if (head.isEventStream && status < 300) {
                framer = createEventFramer();
                handlers.opened(attemptId, head);
            }
        },
        onResponseData: (_, chunk) => {
            if (current.isCancelled) {
                return;
            }
            if (framer !== undefined) {
                const events = framer.push(chunk);
                return events.length === 0 ? undefined : handlers.events(attemptId, events);
            }
            chunks.push(chunk);
            size += chunk.length;
            if (size > maxAnswerBytes) {
                fail("body_too_large");
            }
        },
        onResponseEnd: () => {
            if (head === undefined || isTruncated(current.channel, head) || framer?.hasIncompleteEvent() === true) {
                return fail("answer_truncated");
            }
            const answer: BackendAnswer = { ...head, body: Buffer.concat(chunks) };
            finish(
                () => framer === undefined ? handlers.answered(attemptId, answer) : handlers.ended(attemptId),
                current.channel.socketState?.hasEnded !== true,
            );
        },
        onResponseError: (_, error) => fail(classifyError(error, head !== undefined)),
    };
    try {
        current.channel.client.dispatch(options, handler);
    }
    catch (error) {
        fail(classifyError(error as Error, false));
    }
}

function isOpen({ client, socketState }: Channel): boolean {
    return !client.destroyed && socketState !== undefined && !socketState.hasEnded && !socketState.hasFailed
        && !socketState.socket.destroyed;
}

/**
 * Whether the body ended by a reset of the channel, or by its close although a length or chunks should have ended it.
 * The client reports both as the end of a complete body if the channel was to close after the answer.
 */
function isTruncated({ socketState }: Channel, { endsWithChannel }: ResponseHead): boolean {
    return socketState === undefined || socketState.hasFailed || (socketState.hasEnded && !endsWithChannel);
}

function readRawHeaders(raw: unknown): string[] {
    return (raw as readonly (Buffer | string)[] | undefined ?? []).map(part =>
        typeof part === "string" ? part : part.toString("latin1")
    );
}

function openChannel(address: string): Channel {
    const { host, port } = parseAddress(address);
    const client = new Client(`http://${address}`, {
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: maxIdleTime,
        connect: (_, callback) => {
            openSocket(host, port, (error, socket) => {
                if (socket === undefined) {
                    callback(error ?? new Error("connecting gave neither a socket nor an error"), null);
                    return;
                }
                channel.socketState = trackSocket(socket);
                callback(null, socket);
            });
        },
    });
    const channel: Channel = { address, client, socketState: undefined, idleSince: 0 };
    return channel;
}

function openSocket(host: string, port: number, callback: (error: Error | undefined, socket?: Socket) => void): void {
    const socket = connectSocket({ host, port, noDelay: true });
    const timer = setTimeout(() => socket.destroy(new ConnectTimeoutError(`${host}:${port}`)), connectTimeout);
    const fail = (error: Error): void => {
        clearTimeout(timer);
        callback(error);
    };
    socket.once("error", fail);
    socket.once("connect", () => {
        clearTimeout(timer);
        socket.off("error", fail);
        callback(undefined, socket);
    });
}

class ConnectTimeoutError extends Error {
    readonly code = "CONNECT_TIMEOUT";
}

/** Registers its listeners before the client does, so that the socket's end is known when the client reports it. */
function trackSocket(socket: Socket): SocketState {
    const socketState: SocketState = { socket, hasEnded: false, hasFailed: false };
    socket.on("end", () => socketState.hasEnded = true);
    socket.on("error", () => socketState.hasFailed = true);
    return socketState;
}

function classifyError(error: Error, hasHead: boolean): AttemptFailure {
    const { code } = error as { readonly code?: string; };
    switch (code) {
        case "CONNECT_TIMEOUT":
            return "connect_timeout";
        case "ECONNREFUSED":
        case "EHOSTUNREACH":
        case "ENETUNREACH":
            return "connect_refused";
        case "UND_ERR_RES_CONTENT_LENGTH_MISMATCH":
            return "answer_truncated";
        default:
            break;
    }
    if (hasHead) {
        return "answer_truncated";
    }
    return error.name === "HTTPParserError" ? "answer_malformed" : "channel_lost";
}
