/**
 * The gateway's HTTP server for callers. It reads each request whole, within the limits, before it reports it, and
 * writes the answers that the runner passes to it. A channel is one HTTP/1.1 connection.
 */
import type {
    BackendAnswer,
    CallerLimits,
    HeaderList,
    RequestHead,
    ResponseHead,
    StreamEvent,
} from "@verbenaspring/gateway";
import {
    type CallerAttemptId,
    type Failure,
    failure,
    failureStatus,
    type Milliseconds,
    type RequestId,
} from "@verbenaspring/model";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { BodyCollector } from "./bodyCollector.js";
import { type BoundedSocket, boundReading, TurnQueue } from "./boundedSocket.js";
import {
    answersShare,
    type BudgetHolder,
    type CallerBounds,
    callerBounds,
    CallerBudget,
    createHeldBytes,
    headBytes,
    type HeldKind,
} from "./callerBudget.js";
import { monotonicNow } from "./eventLoop.js";
import { afterNextPoll } from "./nextPoll.js";
import { findFramingFault, keepAllFields } from "./requestFraming.js";
import { listen } from "./socketAddress.js";

/** When a request arrived at the earliest, and how long it may have waited before it was read. */
export interface RequestArrival {
    readonly receivedAt: Milliseconds;
    readonly readDelay: Milliseconds;
}

/** Callbacks for what happens on the server's channels. */
export interface GatewayCallerHandlers {
    /** A request has been read completely, and its caller has not left. */
    readonly received: (requestId: RequestId, head: RequestHead, body: Buffer, arrival: RequestArrival) => void;
    /** A request has been read whose caller had left by then. It is not handled. */
    readonly leftEarly: (head: RequestHead, arrival: RequestArrival) => void;
    /** The caller closed its channel before the answer was complete. */
    readonly left: (requestId: RequestId) => void;
    /**
     * The server answered a request with a failure itself, because it was malformed or beyond a limit. The target is absent
     * if the head could not be parsed.
     */
    readonly refused: (type: Failure["type"], detail: string, target?: string) => void;
    /** The server closed a connection, or rejected its request, to stay within its bounds. */
    readonly cut?: (reason: CutReason, address: string) => void;
    /**
     * A request that was reported as received lost its channel, with its answer incomplete, by a decision of the server; or
     * the channel closed before the caller had taken the whole answer.
     */
    readonly answerCut?: (cut: CutAnswer) => void;
    /**
     * How many whole answers callers have not taken yet: some of their bytes are still in this process. Reported when the
     * server begins to drain, and with each change afterwards.
     */
    readonly unsentAnswers?: (count: number) => void;
    /** The caller has taken a whole answer, or its channel has closed before that. */
    readonly answerTaken?: (requestId: RequestId) => void;
    /** The caller has read its backlog, after {@link GatewayCallerServer.writeEvents} returned false. */
    readonly drained: (requestId: RequestId) => void;
    /** Callers have taken some of the answers that the budget counts. */
    readonly answersTaken?: () => void;
}

/** Why a server closed a connection to stay within its bounds. */
export type CutReason = "budget" | "connections" | "slow_reader";

/** An answer that the server cut off. */
export interface CutAnswer {
    readonly callerAttemptId: CallerAttemptId;
    /** `closed` where neither a bound nor the end of the server was the reason. */
    readonly reason: CutReason | "stopped" | "closed";
    /** Whether the whole answer had been written to the socket. */
    readonly isWritten: boolean;
    /** Bytes of the channel that are still in the process. */
    readonly unsentBytes: number;
}

/** Decodes the head of a request, or returns what is wrong with it. */
export type DecodeCallerHead = (
    method: string,
    target: string,
    headers: HeaderList,
) => RequestHead | { readonly fault: string; };

/** The server and its open responses. */
export interface GatewayCallerServer {
    readonly listen: (address: string) => Promise<void>;
    /** The port that the server listens on; needed after it listened on port 0. */
    readonly port: () => number;
    readonly applyLimits: (limits: CallerLimits) => void;
    /** What its clients make the process hold. */
    readonly budget: CallerBudget<BudgetHolder>;
    /** Makes each answer from now on close its channel. */
    readonly startDraining: () => void;
    readonly writeWhole: (requestId: RequestId, answer: BackendAnswer) => void;
    readonly writeHead: (requestId: RequestId, head: ResponseHead) => void;
    /** Returns false if the caller has left too many bytes unread; `drained` reports that it has read them. */
    readonly writeEvents: (requestId: RequestId, events: readonly StreamEvent[]) => boolean;
    readonly end: (requestId: RequestId) => void;
    /** Resets the caller's channel, so that the answer cannot be taken for complete. */
    readonly abort: (requestId: RequestId) => void;
    readonly writeFailure: (requestId: RequestId, reason: Failure) => void;
    readonly close: () => void;
}

/** A request whose head has been parsed. */
interface WaitingRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly arrival: RequestArrival;
    /** What the budget counts for it while it waits. */
    readonly heldBytes: number;
}

/** One request that is read or runs, or whose answer is unread. */
interface Exchange {
    readonly requestId: RequestId;
    readonly callerAttemptId: CallerAttemptId;
    readonly response: ServerResponse;
    /** What the budget counts for it, by kind. */
    readonly heldBytes: { heads: number; bodies: number; running: number; answers: number; };
    /** Rejects the request while its body is incomplete; undefined afterwards. */
    rejectBody: ((reason: Failure, detail: string) => void) | undefined;
    /** The rest of a large answer, which is written as the caller takes what was written before. */
    unwritten: Buffer[];
    /** Parts of a stream that were written and are not sent yet. */
    unsentWrites: number;
    /** Whether its whole answer was written. */
    isAnswered: boolean;
    /** Whether it was reported that its answer is cut. */
    isCutReported: boolean;
    /** Since when its caller has left so much of a stream unread that the stream is paused. */
    pausedSince: Milliseconds | undefined;
    /** Ends the exchange; without effect if it has ended. */
    readonly leave: () => void;
}

/** What is kept of one channel. */
interface CallerChannel extends BudgetHolder {
    readonly socket: BoundedSocket;
    readonly exchanges: Set<Exchange>;
    /** Requests beyond {@link maxRequestsPerChannel}: those of one piece. */
    readonly waiting: WaitingRequest[];
    /** The caller was told that its request did not run. What arrives on the channel later is not handled. */
    isRefused: boolean;
    isOverdue: boolean;
    hasServed: boolean;
    /** Bytes that the caller had taken when it last took a sufficient amount, and when that was. */
    progress: { readonly takenBytes: number; readonly at: Milliseconds; } | undefined;
}

/** Limits that apply until the configuration has been read. */
const initialLimits: CallerLimits = {
    headerBytes: 16 * 1024,
    bodyBytes: 4 * 1024 * 1024,
    headerTimeout: 3_000,
    idleTimeout: 15_000,
};
/** Limit of Node's parser, which is fixed at creation; the configured limit is checked afterwards. */
const maxParsedHeaderBytes = 64 * 1024;
/** How often Node checks the channels for headers that are overdue. */
const timeoutCheckInterval: Milliseconds = 500;
/** Headers that are overdue may have arrived while the process was suspended, and are read within this time. */
const overdueHeadersGrace: Milliseconds = 50;
/** Bodies and answers below this size are part of what the budget counts for a request's head. */
const minCountedBytes = 4 * 1024;
/** Names and values of a head beyond which it is decoded in turn with other such heads. */
const manyHeaderParts = 400;
/** Large bodies that are read at full speed at the same time; with more, their channels take turns. */
const maxUnhinderedBodies = 8;
/** What an unsent part of a stream takes beside its bytes: its chunk's framing, buffers and entries in the queues. */
const writeOverheadBytes = 1024;
/** How often callers are checked that leave their answers unread. */
const unreadCheckInterval: Milliseconds = 1_000;
/** A large answer is written in parts of this size: the memory of a part is free once the caller has taken it. */
const answerPartBytes = 256 * 1024;
/** What the kernel takes of an answer at once, by its smallest usual send buffer, and delivers also after the process has ended. */
const sendBufferBytes = 16 * 1024;
/**
 * A caller may take nothing of a whole answer for this long, also with a shorter idle timeout or beyond the budget. The
 * kernel takes bytes in steps of above a megabyte, between which a steady reader looks like one that has stopped.
 */
const minUnreadTime: Milliseconds = 3_000;
/** The same while answers have room in the budget: a whole answer takes memory, but keeps no run at a server. */
const minUnreadTimeWithRoom: Milliseconds = 15_000;
/** Answers have room while they take less than this share of the budget. */
const roomyShare = answersShare / 2;
/** What a caller with unread answers must take within its time. */
const minTakenBytes = 16 * 1024;
/**
 * Requests of one channel that are read or run at the same time, and answers that wait to be read. Further ones of the
 * same piece wait, and the channel is not read meanwhile. HTTP/1.1 answers a channel's requests in their order, so a
 * client that pipelines gains nothing from more, and with 16 a few such clients took most of the servers' queue.
 */
const maxRequestsPerChannel = 1;
const overloadRetryAfter: Milliseconds = 500;
const smallestBounds = callerBounds({ memoryBytes: 178 * 1024 * 1024, heapBytes: 0, maxFileDescriptors: undefined });

/**
 * Creates the server.
 *
 * @param readDelay how long what is read at the given time may have waited at its socket
 * @param bounds on what callers make the process hold; by default those of the smallest machine
 * @example
 * const callers = createGatewayCallerServer(decodeCallerHead, newRequestId, ticks.readDelay, handlers);
 * await callers.listen("127.0.0.1:8080");
 */
export function createGatewayCallerServer(
    decode: DecodeCallerHead,
    newRequestId: () => RequestId,
    readDelay: (now: Milliseconds) => Milliseconds,
    handlers: GatewayCallerHandlers,
    bounds: CallerBounds = smallestBounds,
): GatewayCallerServer {
    const openExchanges = new Map<RequestId, Exchange>();
    const budget = new CallerBudget<CallerChannel>(bounds.totalBytes);
    let limits = initialLimits;
    /** When a shorter idle timeout was last applied. It does not hold for the time before. */
    let idleTimeoutSince: Milliseconds = -Infinity;
    let isDraining = false;
    /** Exchanges whose whole answer was written, and not taken yet. */
    let unsentAnswers = 0;
    const changeUnsentAnswers = (change: number): void => {
        unsentAnswers += change;
        if (isDraining) {
            handlers.unsentAnswers?.(unsentAnswers);
        }
    };
    /** Bodies of more than {@link minCountedBytes} that are being read. */
    let largeBodies = 0;
    /** Requests that have been read and not been reported yet. */
    const unreported = new Set<Exchange>();
    const channels = new Map<Socket, CallerChannel>();
    const turns = new TurnQueue();

    const server = createServer({
        maxHeaderSize: maxParsedHeaderBytes,
        connectionsCheckingInterval: timeoutCheckInterval,
        noDelay: true,
    });
    keepAllFields(server);
    const applyLimits = (next: CallerLimits): void => {
        if (next.idleTimeout < limits.idleTimeout) {
            idleTimeoutSince = monotonicNow();
        }
        limits = next;
        server.headersTimeout = next.headerTimeout;
        server.keepAliveTimeout = next.idleTimeout;
        server.requestTimeout = 0;
    };
    applyLimits(initialLimits);

    /** Counts bytes for a channel. Beyond the budget, the largest channel is rejected or closed. */
    const hold = (channel: CallerChannel, kind: HeldKind, bytes: number): void => {
        if (!budget.change(channel, kind, bytes)) {
            setImmediate(cutLargest);
        }
    };
    const setHeld = (
        channel: CallerChannel,
        exchange: Exchange,
        kind: keyof Exchange["heldBytes"],
        bytes: number,
    ): void => {
        const difference = bytes - exchange.heldBytes[kind];
        if (difference !== 0 && channel.exchanges.has(exchange)) {
            exchange.heldBytes[kind] = bytes;
            hold(channel, kind, difference);
            if (kind === "answers" && difference < 0) {
                handlers.answersTaken?.();
            }
        }
    };
    const releaseAll = (channel: CallerChannel, { heldBytes }: Exchange): void => {
        budget.change(channel, "heads", -heldBytes.heads);
        for (const kind of ["bodies", "running", "answers"] as const) {
            if (heldBytes[kind] > 0) {
                budget.change(channel, kind, -heldBytes[kind]);
            }
        }
        if (heldBytes.answers > 0) {
            handlers.answersTaken?.();
        }
    };
    const handleAllSent = (channel: CallerChannel, exchange: Exchange): void => {
        if (exchange.unwritten.length > 0) {
            return;
        }
        exchange.pausedSince = undefined;
        setHeld(channel, exchange, "answers", 0);
        handlers.drained(exchange.requestId);
    };
    /** Counts a part of a stream that was sent. Few bytes in many parts pause a stream without any "drain" afterwards. */
    const handlePartSent = (channel: CallerChannel | undefined, exchange: Exchange): void => {
        exchange.unsentWrites--;
        if (channel !== undefined && exchange.unsentWrites === 0 && exchange.pausedSince !== undefined) {
            handleAllSent(channel, exchange);
        }
    };
    const reportCutAnswers = ({ socket, exchanges }: CallerChannel, reason: CutAnswer["reason"]): void => {
        for (const exchange of exchanges) {
            const { callerAttemptId, rejectBody, isAnswered, unwritten } = exchange;
            if (rejectBody === undefined) {
                exchange.isCutReported = true;
                const unsentBytes = socket.unsentBytes + countBytes(unwritten);
                handlers.answerCut?.({ callerAttemptId, reason, isWritten: isAnswered, unsentBytes });
            }
        }
    };
    /** Reports a whole answer whose channel closed before the socket had sent it. */
    const reportUntaken = ({ callerAttemptId, response, isAnswered, isCutReported, unwritten }: Exchange): void => {
        if (isAnswered && !response.writableFinished && !isCutReported) {
            const unsentBytes = response.writableLength + countBytes(unwritten);
            handlers.answerCut?.({ callerAttemptId, reason: "closed", isWritten: true, unsentBytes });
        }
    };
    const cutLargest = (): void => {
        const isCut = (channel: CallerChannel): boolean =>
            channel.socket.destroyed || channel.isRefused && channel.exchanges.size === 0;
        const now = monotonicNow();
        const isTaking = ({ progress }: CallerChannel): boolean =>
            progress === undefined || now - progress.at < minUnreadTime;
        const findLargest = (): CallerChannel | undefined => budget.largest(isCut, isTaking);
        for (let largest = findLargest(); largest !== undefined; largest = findLargest()) {
            handlers.cut?.("budget", largest.address);
            const unread = [...largest.exchanges].find(({ rejectBody }) => rejectBody !== undefined);
            if (unread?.rejectBody === undefined || largest.exchanges.size > 1) {
                reportCutAnswers(largest, "budget");
                // A reset: after an orderly close, an answer without a length would look complete.
                largest.socket.resetAndDestroy();
                // The event of the close comes later; until then more connections would be cut for the same bytes.
                budget.close(largest);
                handlers.answersTaken?.();
            }
            else {
                unread.rejectBody(tooManyBufferedBodies, "all bodies");
            }
        }
    };
    const rejectRequest = (channel: CallerChannel, response: ServerResponse, reason: Failure, detail: string): void => {
        handlers.refused(reason.type, detail, `${response.req.method ?? ""} ${response.req.url ?? ""}`);
        channel.isRefused = true;
        channel.waiting.length = 0;
        channel.socket.reject(channel.exchanges.size === 0);
        writeFailure(response, reason, true);
    };

    /** Checks the head of a request and reads its body. */
    const beginExchange = (channel: CallerChannel, { request, response, arrival }: WaitingRequest): void => {
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        const headerBytes = countHeaderBytes(request.rawHeaders);
        if (headerBytes > limits.headerBytes) {
            return rejectRequest(channel, response, headersTooLarge, "headers");
        }
        if (declaredBytes > limits.bodyBytes) {
            return rejectRequest(channel, response, bodyTooLarge, "length");
        }
        const framingFault = findFramingFault(request);
        const head = framingFault === undefined
            ? decode(request.method ?? "", request.url ?? "", request.rawHeaders)
            : { fault: framingFault };
        if ("fault" in head) {
            const reason = failure("malformed_request", head.fault, "not_run");
            return rejectRequest(channel, response, reason, head.fault);
        }
        const { socket, exchanges } = channel;
        const requestId = newRequestId();
        const body = new BodyCollector();
        const idleTimer = setTimeout(() => exchange.rejectBody?.(requestTimeout, "body"), limits.idleTimeout);
        const exchange: Exchange = {
            requestId,
            callerAttemptId: head.callerAttemptId,
            response,
            heldBytes: { heads: headBytes(request.rawHeaders.length, headerBytes), bodies: 0, running: 0, answers: 0 },
            rejectBody: (reason, detail) => {
                endExchange(exchange);
                rejectRequest(channel, response, reason, detail);
            },
            unwritten: [],
            unsentWrites: 0,
            isAnswered: false,
            isCutReported: false,
            pausedSince: undefined,
            leave: () => {
                if (!endExchange(exchange)) {
                    return;
                }
                if (channel.isRefused) {
                    socket.destroySoon();
                }
                beginWaiting(channel);
            },
        };
        const endExchange = (ended: Exchange): boolean => {
            clearTimeout(idleTimer);
            ended.rejectBody = undefined;
            body.clear();
            if (!exchanges.delete(ended)) {
                return false;
            }
            largeBodies -= ended.heldBytes.bodies > 0 ? 1 : 0;
            releaseAll(channel, ended);
            reportUntaken(ended);
            if (ended.isAnswered) {
                changeUnsentAnswers(-1);
                handlers.answerTaken?.(requestId);
            }
            if (openExchanges.delete(requestId)) {
                handlers.left(requestId);
            }
            return true;
        };
        exchanges.add(exchange);
        hold(channel, "heads", exchange.heldBytes.heads);
        socket.remainingBodyBytes = declaredBytes;
        request.on("data", (chunk: Buffer) => {
            if (exchange.rejectBody === undefined) {
                return;
            }
            socket.addWork(1);
            idleTimer.refresh();
            body.append(chunk);
            socket.remainingBodyBytes = declaredBytes - body.byteLength;
            if (body.byteLength > limits.bodyBytes) {
                return exchange.rejectBody(bodyTooLarge, "body");
            }
            if (body.heldBytes > minCountedBytes && body.heldBytes !== exchange.heldBytes.bodies) {
                largeBodies += exchange.heldBytes.bodies === 0 ? 1 : 0;
                setHeld(channel, exchange, "bodies", body.heldBytes);
                if (largeBodies > maxUnhinderedBodies) {
                    socket.restAfterPiece();
                }
            }
        });
        request.on("end", () => {
            clearTimeout(idleTimer);
            if (exchange.rejectBody === undefined) {
                return;
            }
            unreported.add(exchange);
            // The end of the channel may have arrived together with the request, and is read after it.
            afterNextPoll(() => {
                if (!unreported.delete(exchange)) {
                    return;
                }
                if (socket.readableEnded || socket.destroyed) {
                    return handlers.leftEarly(head, arrival);
                }
                if (exchange.rejectBody === undefined) {
                    return;
                }
                exchange.rejectBody = undefined;
                channel.hasServed = true;
                if (exchange.heldBytes.bodies > 0) {
                    largeBodies--;
                    setHeld(channel, exchange, "running", body.byteLength);
                    setHeld(channel, exchange, "bodies", 0);
                }
                openExchanges.set(requestId, exchange);
                const wholeBody = body.take();
                handlers.received(requestId, head, wholeBody, arrival);
            });
        });
        response.on("close", exchange.leave);
        response.on("drain", () => handleAllSent(channel, exchange));
    };
    const beginWaiting = (channel: CallerChannel): void => {
        const { socket, waiting, exchanges } = channel;
        // After an answer that closes the channel, the answers to further requests could not be sent.
        const isOpen = !socket.destroyed && !socket.writableEnded && !channel.isRefused;
        while (isOpen && waiting.length > 0 && exchanges.size < maxRequestsPerChannel) {
            const next = waiting.shift()!;
            budget.change(channel, "heads", -next.heldBytes);
            beginExchange(channel, next);
        }
        if (waiting.length === 0) {
            socket.release("requests");
        }
    };

    /** Refuses the requests whose bodies are not complete. */
    const refuseIncomplete = (): void => {
        const incomplete = [...channels.values()].flatMap(({ exchanges }) => [...exchanges])
            .filter(exchange => exchange.rejectBody !== undefined && !unreported.has(exchange));
        incomplete.forEach(({ rejectBody }) => rejectBody?.(closing, "exit"));
    };

    /** Refuses the first of the waiting requests if no answer is due before. The answer closes the channel. */
    const refuseWaiting = (channel: CallerChannel): void => {
        const [first] = channel.waiting.splice(0);
        if (first !== undefined && channel.exchanges.size === 0) {
            channel.isRefused = true;
            writeFailure(first.response, closing, true);
        }
    };

    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        const readAt = monotonicNow();
        const delay = readDelay(readAt);
        const arrival = { receivedAt: readAt - delay, readDelay: delay };
        const channel = channels.get(request.socket);
        if (channel === undefined || channel.isRefused) {
            return;
        }
        const { socket, waiting, exchanges } = channel;
        socket.addWork(1);
        channel.isOverdue = false;
        response.sendDate = false;
        if (waiting.length > 0 || exchanges.size >= maxRequestsPerChannel) {
            const heads = headBytes(request.rawHeaders.length, countHeaderBytes(request.rawHeaders));
            waiting.push({ request, response, arrival, heldBytes: heads });
            hold(channel, "heads", heads);
            return socket.hold("requests");
        }
        if (request.rawHeaders.length > manyHeaderParts) {
            waiting.push({ request, response, arrival, heldBytes: 0 });
            socket.hold("requests");
            return turns.add(() => beginWaiting(channel), 0);
        }
        beginExchange(channel, { request, response, arrival, heldBytes: 0 });
    });
    boundReading(server, socket => {
        const channel: CallerChannel = {
            socket,
            address: socket.remoteAddress ?? "",
            openedAt: monotonicNow(),
            heldBytes: createHeldBytes(),
            exchanges: new Set(),
            waiting: [],
            isRefused: false,
            isOverdue: false,
            hasServed: false,
            progress: undefined,
        };
        channels.set(socket, channel);
        budget.open(channel);
        socket.once("close", () => {
            channels.delete(socket);
            channel.waiting.length = 0;
            channel.exchanges.forEach(({ leave }) => leave());
            budget.close(channel);
        });
        if (channels.size > bounds.connections) {
            const surplus = chooseSurplusChannel(channels.values()) ?? channel;
            handlers.cut?.("connections", surplus.address);
            reportCutAnswers(surplus, "connections");
            channels.delete(surplus.socket);
            surplus.socket.destroy();
        }
    }, turns);
    // The loop runs its timers before it reads, so a request may have arrived long before the timeout of a delayed loop.
    server.on("timeout", (socket: Socket) => {
        const { bytesRead } = socket;
        afterNextPoll(() => {
            if (socket.bytesRead !== bytesRead) {
                // Node has ended the idle time, and would not clear a timer that is set here.
                return;
            }
            if (channels.get(socket)?.socket.isHeld === true) {
                socket.setTimeout(limits.idleTimeout);
            }
            else {
                socket.destroy();
            }
        });
    });
    const refuseChannel = (channel: CallerChannel, error: NodeJS.ErrnoException): void => {
        const type = classifyClientError(error);
        handlers.refused(type, error.code ?? error.message);
        channel.isRefused = true;
        channel.waiting.length = 0;
        const isOwed = isAnswerOwed(channel);
        channel.socket.reject(!isOwed);
        if (isOwed) {
            // The channel closes after that answer.
            return;
        }
        answerClientError(channel.socket, type);
    };
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        const channel = channels.get(socket);
        if (channel === undefined) {
            socket.destroy();
            return;
        }
        if (classifyClientError(error) !== "request_timeout") {
            return refuseChannel(channel, error);
        }
        channel.isOverdue = true;
        // The rest of a head may be unread because the channel is held. A head is due after the channel's requests.
        const grace = channel.socket.isHeld ? limits.headerTimeout : overdueHeadersGrace;
        const checkOverdue = (): void => {
            if (!channel.isOverdue || socket.destroyed) {
                return;
            }
            if (channel.socket.isHeld || isAnswerOwed(channel)) {
                setTimeout(checkOverdue, limits.headerTimeout);
                return;
            }
            refuseChannel(channel, error);
        };
        setTimeout(checkOverdue, grace);
    });

    const cutSlowReaders = (): void => {
        const now = monotonicNow();
        const haveRoom = budget.heldOf("answers") < roomyShare * budget.limitBytes;
        const wholeTime = Math.max(limits.idleTimeout, haveRoom ? minUnreadTimeWithRoom : minUnreadTime);
        for (const channel of channels.values()) {
            const exchanges = [...channel.exchanges];
            const isSlow = ({ pausedSince }: Exchange): boolean =>
                pausedSince !== undefined && now - Math.max(pausedSince, idleTimeoutSince) > limits.idleTimeout;
            const isWhole = exchanges.every(({ isAnswered }) => isAnswered);
            const unreadTime = isWhole ? wholeTime : limits.idleTimeout;
            if (isStuck(channel, now, unreadTime, idleTimeoutSince) || exchanges.some(isSlow)) {
                handlers.cut?.("slow_reader", channel.address);
                reportCutAnswers(channel, "slow_reader");
                channel.socket.resetAndDestroy();
            }
        }
    };
    const unreadTimer = setInterval(cutSlowReaders, unreadCheckInterval).unref();

    const removeResponse = (requestId: RequestId): ServerResponse | undefined => {
        const response = openExchanges.get(requestId)?.response;
        openExchanges.delete(requestId);
        return response;
    };
    /** Returns the response for the last part of its answer. */
    const endResponse = (requestId: RequestId): ServerResponse | undefined => {
        const exchange = openExchanges.get(requestId);
        if (exchange !== undefined) {
            exchange.isAnswered = true;
            changeUnsentAnswers(1);
        }
        return removeResponse(requestId);
    };
    const channelOf = ({ response }: Exchange): CallerChannel | undefined => channels.get(response.req.socket);
    /** Whether the channel of a response closes after it. */
    const isLastOfChannel = ({ req }: ServerResponse): boolean =>
        isDraining || channels.get(req.socket)?.isRefused === true;
    const writeNextPart = (exchange: Exchange): void => {
        const { response, unwritten } = exchange;
        const part = unwritten.shift();
        const channel = channelOf(exchange);
        if (part === undefined || channel === undefined) {
            return;
        }
        setHeld(channel, exchange, "answers", part.length + countBytes(unwritten));
        if (unwritten.length === 0) {
            response.end(part);
        }
        else {
            response.write(part, error => error ? undefined : writeNextPart(exchange));
        }
    };
    return {
        listen: address => listen(server, address),
        port: () => (server.address() as AddressInfo).port,
        applyLimits,
        budget: budget as unknown as CallerBudget<BudgetHolder>,
        startDraining: () => {
            isDraining = true;
            changeUnsentAnswers(0);
        },
        writeWhole: (requestId, answer) => {
            const exchange = openExchanges.get(requestId);
            const response = endResponse(requestId);
            if (exchange !== undefined && response !== undefined) {
                const { body } = answer;
                const hasLength = mayHaveBody(answer.status) && !answer.endsWithChannel;
                // A length or chunks would say that the body is whole, which the server's own answer leaves open. A larger body goes
                // out in chunks all the same: if this process ends, the kernel closes the channel in order after a part of it.
                const isUnframed = answer.endsWithChannel && body.length <= sendBufferBytes;
                response.useChunkedEncodingByDefault &&= !isUnframed;
                const isClosing = isUnframed || isLastOfChannel(response);
                writeBackendHead(response, answer, hasLength ? body.length : undefined, isClosing);
                if (mayHaveBody(answer.status) && body.length > answerPartBytes) {
                    exchange.unwritten = splitBody(body);
                    return writeNextPart(exchange);
                }
                response.end(mayHaveBody(answer.status) ? body : undefined);
                const channel = body.length > minCountedBytes ? channelOf(exchange) : undefined;
                if (channel !== undefined) {
                    setHeld(channel, exchange, "answers", body.length);
                }
            }
        },
        writeHead: (requestId, head) => {
            const response = openExchanges.get(requestId)?.response;
            if (response !== undefined) {
                writeBackendHead(response, head, undefined, isLastOfChannel(response));
            }
        },
        writeEvents: (requestId, events) => {
            const exchange = openExchanges.get(requestId);
            if (exchange === undefined) {
                return true;
            }
            exchange.unsentWrites++;
            const channel = channelOf(exchange);
            exchange.response.write(joinEvents(events), () => handlePartSent(channel, exchange));
            const unreadBytes = exchange.response.writableLength + exchange.unsentWrites * writeOverheadBytes;
            if (channel !== undefined && unreadBytes > minCountedBytes) {
                setHeld(channel, exchange, "answers", unreadBytes);
            }
            if (unreadBytes < bounds.streamBytes) {
                return true;
            }
            exchange.pausedSince ??= monotonicNow();
            return false;
        },
        end: requestId => {
            endResponse(requestId)?.end();
        },
        abort: requestId => {
            // A reset: to a caller of HTTP/1.0, which knows no chunks, a body would look complete after an ordinary close.
            removeResponse(requestId)?.socket?.resetAndDestroy();
        },
        writeFailure: (requestId, reason) => {
            const response = endResponse(requestId);
            if (response !== undefined) {
                writeFailure(response, reason, isLastOfChannel(response));
            }
        },
        close: () => {
            channels.forEach(channel => reportCutAnswers(channel, "stopped"));
            refuseIncomplete();
            unreported.forEach(({ response }) => writeFailure(response, closing, true));
            unreported.clear();
            channels.forEach(refuseWaiting);
            clearInterval(unreadTimer);
            server.close();
            // The end of a process may take a while, in which a caller would wait on a channel that nobody reads.
            for (const { socket, exchanges } of channels.values()) {
                if (exchanges.size === 0 && socket.unsentBytes === 0) {
                    socket.destroy();
                }
            }
        },
    };
}

/** Orders channels by how much their callers lose by a close; undefined if a request runs on the channel. */
function closeRank({ isRefused, exchanges, hasServed }: CallerChannel): number | undefined {
    for (const { rejectBody } of exchanges) {
        return rejectBody === undefined ? undefined : expendableRank + 2;
    }
    return hasServed && !isRefused ? expendableRank + 1 : expendableRank;
}

/** Whether a request of the channel was passed on, and its caller can still take the answer. */
function isAnswerOwed({ socket, exchanges }: CallerChannel): boolean {
    const isOpen = !socket.destroyed && !socket.readableEnded;
    return isOpen && [...exchanges].some(({ rejectBody }) => rejectBody === undefined);
}

/** The rank of channels that may be closed without looking for a better one. */
const expendableRank = 0;

/**
 * The channel to close for a new one: one of a rejected request or without a complete request head, then an idle one,
 * then one with an incomplete body; the oldest of them. Undefined if requests run on all.
 */
function chooseSurplusChannel(channels: Iterable<CallerChannel>): CallerChannel | undefined {
    let chosen: CallerChannel | undefined;
    let chosenRank = Infinity;
    for (const channel of channels) {
        const rank = closeRank(channel) ?? Infinity;
        if (rank === expendableRank) {
            return channel;
        }
        if (rank < chosenRank) {
            chosen = channel;
            chosenRank = rank;
        }
    }
    return chosen;
}

/** Whether a caller with unread answers has taken too little of them for the given time, which counts from `since` at the earliest. */
function isStuck(channel: CallerChannel, now: Milliseconds, limit: Milliseconds, since: Milliseconds): boolean {
    const { socket, progress } = channel;
    if (socket.unsentBytes === 0) {
        channel.progress = undefined;
        return false;
    }
    const { takenBytes } = socket;
    if (progress === undefined || takenBytes - progress.takenBytes >= minTakenBytes) {
        channel.progress = { takenBytes, at: now };
        return false;
    }
    return now - Math.max(progress.at, since) > limit;
}

const headersTooLarge = failure("headers_too_large", "the headers are too large", "not_run");
const bodyTooLarge = failure("body_too_large", "the body is too large", "not_run");
const requestTimeout = failure("request_timeout", "the body did not come in time", "not_run");
const closing = failure("leaving", "the instance is stopping", "not_run", overloadRetryAfter);
const tooManyBufferedBodies = failure("overloaded", "too many bodies are being read", "not_run", overloadRetryAfter);

/**
 * Writes the head of a backend server's answer. A stream has chunks, also if the server's own has none: while events are
 * under way, the end of its channel would look the same after the last one and after the process was killed.
 */
function writeBackendHead(
    response: ServerResponse,
    head: ResponseHead,
    length: number | undefined,
    isClosing: boolean,
): void {
    const lengthHeader = length === undefined ? [] : ["content-length", String(length)];
    response.writeHead(head.status, [...head.headers, ...lengthHeader, ...connectionCloseHeader(isClosing)]);
}

function connectionCloseHeader(isClosing: boolean): string[] {
    return isClosing ? ["connection", "close"] : [];
}

/** One buffer for all events: each write takes memory and time of its own, however few bytes it has. */
function joinEvents(events: readonly StreamEvent[]): Uint8Array {
    return events.length === 1 ? events[0].bytes : Buffer.concat(events.map(({ bytes }) => bytes));
}

/** Copies of a body's parts, since a view on the body would keep the whole of it. */
function splitBody(body: Uint8Array): Buffer[] {
    const parts: Buffer[] = [];
    for (let start = 0; start < body.length; start += answerPartBytes) {
        const part = Buffer.allocUnsafeSlow(Math.min(answerPartBytes, body.length - start));
        part.set(body.subarray(start, start + answerPartBytes));
        parts.push(part);
    }
    return parts;
}

function countBytes(parts: readonly Buffer[]): number {
    return parts.reduce((sum, { length }) => sum + length, 0);
}

function mayHaveBody(status: number): boolean {
    return status !== 204 && status !== 304;
}

function countHeaderBytes(rawHeaders: readonly string[]): number {
    const separators = 2;
    return rawHeaders.reduce((sum, part) => sum + part.length + separators, 0);
}

const millisecondsPerSecond = 1_000;

function writeFailure(response: ServerResponse, reason: Failure, isClosing: boolean): void {
    const { type, message, outcome, retryAfter } = reason;
    const body = JSON.stringify({ error: { type, message, outcome } });
    const retry = retryAfter === undefined ? [] : ["retry-after", String(retryAfter / millisecondsPerSecond)];
    const length = String(Buffer.byteLength(body));
    response.writeHead(
        statusOf(reason),
        ["content-type", "application/json", "content-length", length, ...retry, ...connectionCloseHeader(isClosing)],
    );
    response.end(body);
}

const notRunStatus = 503;
const unknownOutcomeStatus = 504;

/** 503 promises that the request did not run, so it is only given for that outcome; 504 leaves the outcome open. */
function statusOf({ type, outcome }: Failure): number {
    const status = failureStatus[type];
    if (outcome === "not_run") {
        return status === unknownOutcomeStatus ? notRunStatus : status;
    }
    return status === notRunStatus ? unknownOutcomeStatus : status;
}

function classifyClientError({ code }: NodeJS.ErrnoException): Failure["type"] {
    switch (code) {
        case "HPE_HEADER_OVERFLOW":
            return "headers_too_large";
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return "request_timeout";
        default:
            return "malformed_request";
    }
}

const statusTexts: Readonly<Record<number, string>> = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
};

/** Answers a request that Node's parser rejected and closes the channel; after any earlier write it only closes it. */
function answerClientError(socket: Socket, type: Failure["type"]): void {
    const status = failureStatus[type];
    const isAnswering = ((socket as { _httpMessage?: object | null; })._httpMessage ?? undefined) !== undefined;
    if (socket.writable && !isAnswering && socket.bytesWritten === 0) {
        socket.end(`HTTP/1.1 ${status} ${statusTexts[status] ?? ""}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
        return;
    }
    socket.destroy();
}
