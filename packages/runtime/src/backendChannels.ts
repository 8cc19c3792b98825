/**
 * Channels to backend servers. Each carries one call at a time; what is known of a call that failed is whether a byte
 * of it was handed to the network.
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
import { parseAddress } from "./listening.js";

/** What calls report. */
export interface BackendHandlers {
    readonly answered: (attemptId: AttemptId, answer: BackendAnswer) => void;
    readonly opened: (attemptId: AttemptId, head: ResponseHead) => void;
    readonly events: (attemptId: AttemptId, events: readonly StreamEvent[]) => void;
    readonly ended: (attemptId: AttemptId) => void;
    readonly failed: (attemptId: AttemptId, failure: AttemptFailure, wasSent: boolean) => void;
}

/** How calls and answers are written on the wire. */
export interface BackendWire {
    readonly encodeBackendCall: (call: BackendCall) => string[];
    readonly decodeBackendHead: (status: number, headers: HeaderList) => ResponseHead;
}

/** The calls of one gateway. */
export interface BackendChannels {
    readonly send: (call: BackendCall, body: Buffer) => void;
    /** Ends a call without a report, and its channel with it. */
    readonly cancel: (attemptId: AttemptId) => void;
    /** Holds or goes on reading the answer of a call. */
    readonly setPaused: (attemptId: AttemptId, isPaused: boolean) => void;
    readonly channelsOpened: () => number;
    readonly close: () => void;
}

const connectTimeout: Milliseconds = 400;
/** A channel that was idle for longer may have been dropped by the other end without notice. */
const longestIdle: Milliseconds = 4_000;
/** The same for calls that can't be repeated where their fate is unknown. */
const longestFreshIdle: Milliseconds = 1_000;
/** The largest answer that is taken whole, in bytes. */
const largestAnswer = 16 * 1024 * 1024;

/** A socket, and how its reading side ended. */
interface ChannelSocket {
    readonly socket: Socket;
    hasEnded: boolean;
    hasFailed: boolean;
}

interface Channel {
    readonly address: string;
    readonly client: Client;
    link: ChannelSocket | undefined;
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
 * const channels = createBackendChannels(wire, handlers);
 * channels.send(call, body);
 */
export function createBackendChannels(wire: BackendWire, handlers: BackendHandlers): BackendChannels {
    const idle = new Map<string, Channel[]>();
    const active = new Map<AttemptId, ActiveCall>();
    let opened = 0;

    const take = (address: string, longest: Milliseconds): Channel => {
        const stack = idle.get(address) ?? [];
        for (let channel = stack.pop(); channel !== undefined; channel = stack.pop()) {
            if (isOpen(channel) && monotonicNow() - channel.idleSince <= longest) {
                return channel;
            }
            void channel.client.destroy();
        }
        opened++;
        return openChannel(address);
    };

    const release = (channel: Channel): void => {
        // The client closes a channel that the answer ended only after it has reported the end.
        setImmediate(() => {
            if (!isOpen(channel)) {
                void channel.client.destroy();
                return;
            }
            channel.idleSince = monotonicNow();
            const stack = idle.get(channel.address) ?? [];
            idle.set(channel.address, stack);
            stack.push(channel);
        });
    };

    const sweep = setInterval(() => {
        for (const [address, stack] of idle) {
            const isKept = (channel: Channel): boolean =>
                isOpen(channel) && monotonicNow() - channel.idleSince <= longestIdle;
            stack.filter(channel => !isKept(channel)).forEach(channel => void channel.client.destroy());
            const kept = stack.filter(isKept);
            if (kept.length === 0) {
                idle.delete(address);
            }
            else {
                idle.set(address, kept);
            }
        }
    }, longestIdle);
    sweep.unref();

    return {
        send: (call, body) => {
            const longest = call.needsFreshChannel ? longestFreshIdle : longestIdle;
            const channel = take(call.address, longest);
            const current: ActiveCall = { channel, controller: undefined, isCancelled: false };
            active.set(call.attemptId, current);
            const finish = (report: () => void, isReusable: boolean): void => {
                if (active.get(call.attemptId) !== current) {
                    return;
                }
                active.delete(call.attemptId);
                if (isReusable) {
                    release(channel);
                }
                else {
                    void channel.client.destroy();
                }
                report();
            };
            dispatch(wire, handlers, call, body, current, finish);
        },
        cancel: attemptId => {
            const current = active.get(attemptId);
            if (current !== undefined) {
                active.delete(attemptId);
                current.isCancelled = true;
                void current.channel.client.destroy();
            }
        },
        setPaused: (attemptId, isPaused) => {
            const controller = active.get(attemptId)?.controller;
            if (isPaused) {
                controller?.pause();
            }
            else {
                controller?.resume();
            }
        },
        channelsOpened: () => opened,
        close: () => {
            clearInterval(sweep);
            [...idle.values()].flat().forEach(channel => void channel.client.destroy());
            active.forEach(({ channel }) => void channel.client.destroy());
        },
    };
}

type FinishCall = (report: () => void, isReusable: boolean) => void;

function dispatch(
    wire: BackendWire,
    handlers: BackendHandlers,
    call: BackendCall,
    body: Buffer,
    current: ActiveCall,
    finish: FinishCall,
): void {
    const { attemptId } = call;
    let wasSent = false;
    let head: ResponseHead | undefined;
    let framer: EventFramer | undefined;
    const parts: Buffer[] = [];
    let size = 0;
    const fail = (failure: AttemptFailure): void => finish(() => handlers.failed(attemptId, failure, wasSent), false);
    const options: Dispatcher.DispatchOptions = {
        method: call.head.method as Dispatcher.HttpMethod,
        path: call.head.target,
        headers: wire.encodeBackendCall(call),
        body: body.length === 0 ? null : body,
    };
    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: controller => {
            wasSent = true;
            current.controller = controller;
        },
        onResponseStart: (controller, status) => {
            head = wire.decodeBackendHead(status, readRawHeaders(controller.rawHeaders));
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
            parts.push(chunk);
            size += chunk.length;
            if (size > largestAnswer) {
                fail("body_too_large");
            }
        },
        onResponseEnd: () => {
            if (head === undefined || isCutOff(current.channel, head) || framer?.hasRest() === true) {
                return fail("answer_truncated");
            }
            const answer: BackendAnswer = { ...head, body: Buffer.concat(parts) };
            finish(
                () => framer === undefined ? handlers.answered(attemptId, answer) : handlers.ended(attemptId),
                current.channel.link?.hasEnded !== true,
            );
        },
        onResponseError: (_, error) => fail(nameFailure(error, head !== undefined)),
    };
    try {
        current.channel.client.dispatch(options, handler);
    }
    catch (error) {
        fail(nameFailure(error as Error, false));
    }
}

function isOpen({ client, link }: Channel): boolean {
    return !client.destroyed && link !== undefined && !link.hasEnded && !link.hasFailed && !link.socket.destroyed;
}

/**
 * Whether the body ended with the channel although it has an end of its own, or by a reset. The client takes both for a
 * whole body where the channel was to close after the answer.
 */
function isCutOff({ link }: Channel, { endsWithChannel }: ResponseHead): boolean {
    return link === undefined || link.hasFailed || (link.hasEnded && !endsWithChannel);
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
        keepAliveTimeout: longestIdle,
        connect: (_, callback) => {
            openSocket(host, port, (error, socket) => {
                if (socket === undefined) {
                    callback(error ?? new Error("no socket"), null);
                    return;
                }
                channel.link = followSocket(socket);
                callback(null, socket);
            });
        },
    });
    const channel: Channel = { address, client, link: undefined, idleSince: 0 };
    return channel;
}

function openSocket(host: string, port: number, callback: (error: Error | undefined, socket?: Socket) => void): void {
    const socket = connectSocket({ host, port, noDelay: true });
    const timer = setTimeout(() => socket.destroy(new ConnectTimeout(`${host}:${port}`)), connectTimeout);
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

class ConnectTimeout extends Error {
    readonly code = "CONNECT_TIMEOUT";
}

/** Listens before the client does, so that the end of the socket is known when the client reports it. */
function followSocket(socket: Socket): ChannelSocket {
    const link: ChannelSocket = { socket, hasEnded: false, hasFailed: false };
    socket.on("end", () => link.hasEnded = true);
    socket.on("error", () => link.hasFailed = true);
    return link;
}

function nameFailure(error: Error, hasHead: boolean): AttemptFailure {
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
