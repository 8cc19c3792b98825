/**
 * Pools of channels to backend servers. A channel is one HTTP/1.1 connection and carries one call at a time. A failed
 * call reports whether any byte of it was handed to the network, since only a call that was not sent has certainly not
 * run.
 */
import {
    type AttemptFailure,
    type BackendAnswer,
    type BackendCall,
    type DecodedHead,
    type HeaderList,
    type ResponseHead,
    type StreamEvent,
} from "@verbenaspring/gateway";
import {
    type AttemptId,
    type CallerAttemptId,
    checkConnectionEnd,
    checkStatusLines,
    type ConnectionEnd,
    MalformedAnswerError,
    type Milliseconds,
} from "@verbenaspring/model";
import { connect as connectSocket, type Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { type AnswerBounds, answerBounds, AnswerOverflowError, boundReads, type FramingCount } from "./answerBounds.js";
import { AnswerRoom, type RoomHolder } from "./answerRoom.js";
import { BodyCollector } from "./bodyCollector.js";
import { createEventFramer, type EventFramer } from "./eventFraming.js";
import { monotonicNow } from "./eventLoop.js";
import { createReadBudget, type ReadBudget } from "./readBudget.js";
import { parseAddress } from "./socketAddress.js";

/** Callbacks for the outcomes of calls. */
export interface BackendCallHandlers {
    /**
     * An answer other than an event stream has been read. It is complete if it has framing or is a refusal; otherwise its
     * channel has ended, and the answer counts as kept until the call is cancelled.
     */
    readonly answered: (attemptId: AttemptId, answer: BackendAnswer) => void;
    readonly opened: (attemptId: AttemptId, head: ResponseHead) => void;
    readonly events: (attemptId: AttemptId, events: readonly StreamEvent[]) => void;
    /** The stream is complete if it has framing; otherwise its channel has ended. */
    readonly ended: (attemptId: AttemptId) => void;
    /** `wasSent` is false only if the call cannot have run. */
    readonly failed: (attemptId: AttemptId, failure: AttemptFailure, wasSent: boolean) => void;
}

/** Encodes the headers of calls and decodes the heads of answers. */
export interface BackendCodec {
    readonly encodeBackendCall: (call: BackendCall) => string[];
    readonly decodeBackendHead: (status: number, headers: HeaderList) => DecodedHead;
}

/** The calls and the pooled channels of one gateway. */
export interface BackendChannels {
    readonly send: (call: BackendCall, body: Buffer) => void;
    /** Aborts a call and resets its channel; no callback follows. */
    readonly cancel: (attemptId: AttemptId) => void;
    /** Pauses or resumes reading the answer of a call. */
    readonly setPaused: (attemptId: AttemptId, isPaused: boolean) => void;
    /** Resolves to whether a server accepts a connection within the timeout of connecting. */
    readonly canConnect: (address: string) => Promise<boolean>;
    /** Reads answers on that wait for room, if there is room now. */
    readonly resumeAnswers: () => void;
    /** Closes the channels to an address that are not in use. */
    readonly closeIdle: (address: string) => void;
    /** How many channels have been opened since the start. */
    readonly openedChannelCount: () => number;
    readonly close: () => void;
}

const connectTimeout: Milliseconds = 400;
/** A channel that has been idle for longer is not used again: the other end may have dropped it without notice. */
const maxIdleTime: Milliseconds = 4_000;
/** The same limit for calls that cannot be sent again if their outcome is unknown. */
const maxFreshIdleTime: Milliseconds = 1_000;
/** A channel on which this many requests were refused is not used again. */
const maximumRefusals = 64;
const firstFinalStatus = 200;
const noContentStatus = 204;

/** A socket, and whether its reading side has ended or failed. */
interface SocketState {
    readonly socket: Socket;
    readonly end: ConnectionEnd;
    hasEnded: boolean;
    hasFailed: boolean;
}

interface Channel {
    readonly address: string;
    readonly client: Client;
    socketState: SocketState | undefined;
    /** What was read on the channel for the current call. */
    readonly framing: FramingCount;
    idleSince: Milliseconds;
    hasAnswered: boolean;
    /**
     * The requests that were refused on it. They are not sent on it again: a late copy of the refusal could not be told
     * from a refusal of the second send, which may run.
     */
    readonly refusedRequests: Set<CallerAttemptId>;
}

/** Where the answers go, and how much of them may wait there. */
export interface AnswerSink {
    /** What whole answers take that callers have not read. */
    readonly unreadBytes: () => number;
    /** The limit for them together with the large answers that are read. */
    readonly limitBytes: number;
}

/** Answers below this size are read without a reservation, as long as all together keep little. */
const unreservedBytes = 64 * 1024;
/** The share of the bound on kept answers within which these are read without a reservation. */
const unreservedShare = 1 / 2;
/** The first reservation for an answer of unknown length; it doubles as the answer grows. */
const firstReservationBytes = 256 * 1024;
/** How often answers that wait for room are checked, beside the times at which room is known to be free. */
const roomCheckInterval: Milliseconds = 500;

interface ActiveCall extends RoomHolder {
    readonly attemptId: AttemptId;
    readonly channel: Channel;
    /** The body of an answer that is no event stream. */
    readonly collected: BodyCollector;
    /** Bytes of its answer that are kept until they are complete. */
    heldBytes: number;
    /** Ends the call because all kept answers together are too large. */
    overflow: () => void;
    controller: Dispatcher.DispatchController | undefined;
    isCancelled: boolean;
}

/**
 * Creates the channels of a gateway.
 *
 * @param memoryBytes the memory of the process, from which the bounds on answers follow
 * @param sink where answers go; by default it has room for every answer
 * @example
 * const channels = createBackendChannels(codec, handlers, 178 * 1024 * 1024);
 * channels.send(call, body);
 */
export function createBackendChannels(
    codec: BackendCodec,
    handlers: BackendCallHandlers,
    memoryBytes: number,
    sink: AnswerSink = { unreadBytes: () => 0, limitBytes: Infinity },
): BackendChannels {
    const bounds = answerBounds(memoryBytes);
    const roomBytes = Math.max(bounds.bodyBytes, Math.min(bounds.totalBytes, sink.limitBytes));
    const room = new AnswerRoom(roomBytes, sink.unreadBytes);
    const resumeAnswers = (): void => room.resumeNext(monotonicNow());
    const roomTimer = setInterval(resumeAnswers, roomCheckInterval).unref();
    const readBudget = createReadBudget(() => setImmediate(readBudget.startTurn));
    const idleChannels = new Map<string, Channel[]>();
    const activeCalls = new Map<AttemptId, ActiveCall>();
    let openedCount = 0;
    let keptBytes = 0;

    /**
     * Updates what is kept of a call's answer; a call that has ended keeps nothing. Beyond the bound of the process, the
     * largest answer is given up.
     */
    const setKeptBytes = (call: ActiveCall, kept: number): void => {
        const bytes = activeCalls.get(call.attemptId) === call ? kept : 0;
        keptBytes += bytes - call.heldBytes;
        call.heldBytes = bytes;
        if (keptBytes > bounds.totalBytes) {
            const bySize = [...activeCalls.values()].sort((one, other) => other.heldBytes - one.heldBytes);
            bySize[0]?.overflow();
        }
    };

    const releaseAnswer = (call: ActiveCall): void => {
        call.collected.clear();
        setKeptBytes(call, 0);
        // By then the caller's side counts an answer that was passed on.
        setImmediate(() => {
            room.release(call);
            resumeAnswers();
        });
    };
    /** Reserves room for an answer of which more has arrived. */
    const reserveRoom = (call: ActiveCall, length: number | undefined): void => {
        const { byteLength } = call.collected;
        const isShort = Math.max(length ?? 0, byteLength) <= unreservedBytes;
        if (isShort && keptBytes <= unreservedShare * bounds.totalBytes) {
            return;
        }
        const grown = Math.max(firstReservationBytes, 2 ** Math.ceil(Math.log2(byteLength)));
        room.reserve(call, Math.min(bounds.bodyBytes, length ?? grown), monotonicNow());
    };

    const acquireChannel = ({ address, head }: BackendCall, maxIdle: Milliseconds): Channel => {
        const stack = idleChannels.get(address) ?? [];
        const isEligible = ({ refusedRequests }: Channel): boolean => !refusedRequests.has(head.callerAttemptId);
        for (let index = stack.findLastIndex(isEligible); index !== -1; index = stack.findLastIndex(isEligible)) {
            const [channel] = stack.splice(index, 1);
            if (isOpen(channel) && monotonicNow() - channel.idleSince <= maxIdle) {
                return channel;
            }
            void channel.client.destroy();
        }
        openedCount++;
        return openChannel(address, readBudget);
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

    const canConnect = (address: string): Promise<boolean> => {
        openedCount++;
        const { host, port } = parseAddress(address);
        return new Promise(resolve =>
            openSocket(host, port, (_, socket) => {
                socket?.destroy();
                resolve(socket !== undefined);
            })
        );
    };

    return {
        send: (call, body) => {
            const maxIdle = call.needsFreshChannel ? maxFreshIdleTime : maxIdleTime;
            const channel = acquireChannel(call, maxIdle);
            const current: ActiveCall = {
                attemptId: call.attemptId,
                channel,
                collected: new BodyCollector(),
                heldBytes: 0,
                keptBytes: () => current.heldBytes,
                pause: () => current.controller?.pause(),
                resume: () => {
                    if (activeCalls.get(call.attemptId) === current) {
                        current.controller?.resume();
                    }
                },
                overflow: () => undefined,
                controller: undefined,
                isCancelled: false,
            };
            channel.framing.readBytes = 0;
            channel.framing.bodyBytes = 0;
            activeCalls.set(call.attemptId, current);
            const finish = (report: () => void, isReusable: boolean): void => {
                if (activeCalls.get(call.attemptId) !== current) {
                    return;
                }
                activeCalls.delete(call.attemptId);
                releaseAnswer(current);
                if (isReusable) {
                    releaseChannel(channel);
                }
                else {
                    void channel.client.destroy();
                }
                report();
            };
            const isActive = (): boolean => activeCalls.get(call.attemptId) === current;
            const keep = (bytes: number): void => setKeptBytes(current, bytes);
            const reserve = (length: number | undefined): void => reserveRoom(current, length);
            dispatchCall(codec, handlers, call, body, current, { finish, isActive, keep, reserve, bounds });
        },
        cancel: attemptId => {
            const current = activeCalls.get(attemptId);
            if (current !== undefined) {
                activeCalls.delete(attemptId);
                releaseAnswer(current);
                current.isCancelled = true;
                // A reset: after an orderly close, what the server has not taken yet would still be delivered.
                current.channel.socketState?.socket.resetAndDestroy();
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
        canConnect,
        resumeAnswers,
        closeIdle: address => {
            idleChannels.get(address)?.forEach(channel => void channel.client.destroy());
            idleChannels.delete(address);
        },
        openedChannelCount: () => openedCount,
        close: () => {
            clearInterval(idleSweep);
            clearInterval(roomTimer);
            [...idleChannels.values()].flat().forEach(channel => void channel.client.destroy());
            activeCalls.forEach(({ channel }) => void channel.client.destroy());
        },
    };
}

interface CallContext {
    readonly finish: (report: () => void, isReusable: boolean) => void;
    /** Whether the call was neither finished nor cancelled. */
    readonly isActive: () => boolean;
    /** Sets how many bytes of the answer are kept until they are complete. */
    readonly keep: (bytes: number) => void;
    /** Reserves room for the rest of the answer, whose length may be known. */
    readonly reserve: (length: number | undefined) => void;
    readonly bounds: AnswerBounds;
}

function dispatchCall(
    codec: BackendCodec,
    handlers: BackendCallHandlers,
    call: BackendCall,
    body: Buffer,
    current: ActiveCall,
    { finish, isActive, keep, reserve, bounds }: CallContext,
): void {
    const { attemptId } = call;
    const { collected } = current;
    let wasSent = false;
    let head: ResponseHead | undefined;
    let framer: EventFramer | undefined;
    let length: number | undefined;
    const fail = (failure: AttemptFailure): void => finish(() => handlers.failed(attemptId, failure, wasSent), false);
    current.overflow = () => fail("body_too_large");
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
            if (status < firstFinalStatus) {
                return;
            }
            const rawHeaders = readRawHeaders(controller.rawHeaders);
            if (status === noContentStatus && announcesBody(rawHeaders)) {
                current.isCancelled = true;
                return fail("answer_malformed");
            }
            const decoded = codec.decodeBackendHead(status, rawHeaders);
            length = findContentLength(rawHeaders);
            head = { ...decoded, isFirstOnChannel: !current.channel.hasAnswered };
            current.channel.hasAnswered = true;
            if (head.isEventStream && status < 300) {
                framer = createEventFramer(bounds.eventBytes);
                handlers.opened(attemptId, head);
            }
        },
        onResponseData: (_, chunk) => {
            if (current.isCancelled) {
                return;
            }
            current.channel.framing.bodyBytes += chunk.length;
            if (framer !== undefined) {
                const events = framer.push(chunk);
                if (events.length > 0) {
                    handlers.events(attemptId, events);
                }
                keep(framer.heldBytes());
                return framer.hasOverflowed() ? fail("body_too_large") : undefined;
            }
            collected.append(chunk);
            keep(collected.heldBytes);
            if (collected.byteLength > bounds.bodyBytes) {
                return fail("body_too_large");
            }
            reserve(length);
        },
        onResponseEnd: () => {
            if (head === undefined || isTruncated(current.channel, head) || (framer?.incompleteBytes() ?? 0) > 0) {
                return fail("answer_truncated");
            }
            const answer: BackendAnswer = { ...head, body: collected.take() };
            const { refusedRequests, socketState } = current.channel;
            if (head.isNotRun) {
                refusedRequests.add(call.head.callerAttemptId);
            }
            const isInStep = socketState?.end.isReported() !== true && !mayBeOfEarlierCall(head, call);
            if (head.endsWithChannel && !head.isNotRun && framer === undefined) {
                return isActive() ? handlers.answered(attemptId, answer) : undefined;
            }
            finish(
                () => framer === undefined ? handlers.answered(attemptId, answer) : handlers.ended(attemptId),
                isInStep && refusedRequests.size < maximumRefusals,
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

/** Whether an answer may be of an earlier call on its channel. The call's own answer may then follow it. */
function mayBeOfEarlierCall({ callerAttemptId, isNotRun, isFirstOnChannel }: ResponseHead, call: BackendCall): boolean {
    return callerAttemptId === undefined
        ? isNotRun && !isFirstOnChannel
        : callerAttemptId !== call.head.callerAttemptId;
}

function isOpen({ client, socketState }: Channel): boolean {
    return !client.destroyed && socketState !== undefined && !socketState.end.isReported() && !socketState.hasFailed
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

/** The length of an answer's body, where its head states one. */
function findContentLength(rawHeaders: readonly string[]): number | undefined {
    const index = findHeader(rawHeaders, "content-length");
    const length = index === -1 ? NaN : Number(rawHeaders[index + 1]);
    return Number.isSafeInteger(length) ? length : undefined;
}

/** Whether a head says that a body follows. */
function announcesBody(rawHeaders: readonly string[]): boolean {
    return findHeader(rawHeaders, "transfer-encoding") !== -1 || (findContentLength(rawHeaders) ?? 0) > 0;
}

/** The index of the first header of a name in lower case, or -1. */
function findHeader(rawHeaders: readonly string[], name: string): number {
    return rawHeaders.findIndex((part, at) => at % 2 === 0 && part.toLowerCase() === name);
}

function openChannel(address: string, readBudget: ReadBudget): Channel {
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
                boundReads(socket, channel.framing, readBudget);
                checkStatusLines(socket);
                callback(null, socket);
            });
        },
    });
    const framing = { readBytes: 0, bodyBytes: 0 };
    const channel: Channel = {
        address,
        client,
        socketState: undefined,
        framing,
        idleSince: 0,
        hasAnswered: false,
        refusedRequests: new Set(),
    };
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
    const socketState: SocketState = { socket, end: checkConnectionEnd(socket), hasEnded: false, hasFailed: false };
    socket.on("end", () => socketState.hasEnded = true);
    socket.on("error", () => socketState.hasFailed = true);
    return socketState;
}

function classifyError(error: Error, hasHead: boolean): AttemptFailure {
    if (error instanceof AnswerOverflowError || error instanceof MalformedAnswerError) {
        return "answer_malformed";
    }
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
