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
import { type Failure, failure, failureStatus, type Milliseconds, type RequestId } from "@verbenaspring/model";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { BodyCollector } from "./bodyCollector.js";
import { type BoundedSocket, boundReading } from "./boundedSocket.js";
import { monotonicNow } from "./eventLoop.js";
import { afterNextPoll } from "./nextPoll.js";
import { findFramingFault } from "./requestFraming.js";
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
    /** The server answered a request with a failure itself, because it was malformed or beyond a limit. */
    readonly refused: (type: Failure["type"], detail: string) => void;
    /** The caller has read its backlog, after {@link GatewayCallerServer.writeEvents} returned false. */
    readonly drained: (requestId: RequestId) => void;
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
}

/** What is kept of one channel. */
interface CallerChannel {
    readonly socket: BoundedSocket;
    /** Requests that are read or run, or whose answers are unread; each is represented by what its end calls. */
    readonly exchanges: Set<() => void>;
    /** Requests beyond {@link maxRequestsPerChannel}, at most those of one piece. */
    readonly waiting: WaitingRequest[];
    /** The caller was told that its request did not run. What arrives on the channel later is not handled. */
    isRefused: boolean;
    isOverdue: boolean;
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
/** Limit on the bodies that are held at once, over all requests. */
const maxBufferedBodyBytes = 48 * 1024 * 1024;
/** Bytes that a caller may leave unread before its stream is paused. */
const maxUnreadBytes = 256 * 1024;
/**
 * Requests of one channel that are read or run at the same time, and answers that wait to be read. Further ones wait,
 * and the channel is not read meanwhile. Clients that pipeline send a few.
 */
const maxRequestsPerChannel = 16;
const overloadRetryAfter: Milliseconds = 500;

/**
 * Creates the server.
 *
 * @param readDelay how long what is read at the given time may have waited at its socket
 * @example
 * const callers = createGatewayCallerServer(decodeCallerHead, newRequestId, ticks.readDelay, handlers);
 * await callers.listen("127.0.0.1:8080");
 */
export function createGatewayCallerServer(
    decode: DecodeCallerHead,
    newRequestId: () => RequestId,
    readDelay: (now: Milliseconds) => Milliseconds,
    handlers: GatewayCallerHandlers,
): GatewayCallerServer {
    const openResponses = new Map<RequestId, ServerResponse>();
    let limits = initialLimits;
    let isDraining = false;
    let bufferedBodyBytes = 0;
    /** Requests that have been read and not been reported yet. */
    const unreported = new Set<ServerResponse>();
    const channels = new Map<Socket, CallerChannel>();

    const server = createServer({
        maxHeaderSize: maxParsedHeaderBytes,
        connectionsCheckingInterval: timeoutCheckInterval,
        noDelay: true,
    });
    const applyLimits = (next: CallerLimits): void => {
        limits = next;
        server.headersTimeout = next.headerTimeout;
        server.keepAliveTimeout = next.idleTimeout;
        server.requestTimeout = 0;
    };
    applyLimits(initialLimits);

    const rejectRequest = (channel: CallerChannel, response: ServerResponse, reason: Failure, detail: string): void => {
        handlers.refused(reason.type, detail);
        channel.isRefused = true;
        channel.waiting.length = 0;
        channel.socket.reject(channel.exchanges.size === 0);
        writeFailure(response, reason, true);
    };

    /** Checks the head of a request and reads its body. */
    const beginExchange = (channel: CallerChannel, { request, response, arrival }: WaitingRequest): void => {
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        if (countHeaderBytes(request.rawHeaders) > limits.headerBytes) {
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
        let isRejected = false;
        const idleTimer = setTimeout(() => rejectBody(requestTimeout, "body"), limits.idleTimeout);
        const rejectBody = (reason: Failure, detail: string): void => {
            isRejected = true;
            clearTimeout(idleTimer);
            bufferedBodyBytes -= body.heldBytes;
            body.clear();
            exchanges.delete(leave);
            rejectRequest(channel, response, reason, detail);
        };
        const leave = (): void => {
            if (!exchanges.delete(leave)) {
                return;
            }
            clearTimeout(idleTimer);
            bufferedBodyBytes -= body.heldBytes;
            body.clear();
            if (openResponses.delete(requestId)) {
                handlers.left(requestId);
            }
            beginWaiting(channel);
        };
        exchanges.add(leave);
        socket.remainingBodyBytes = declaredBytes;
        request.on("data", (chunk: Buffer) => {
            if (isRejected) {
                return;
            }
            socket.addWork(1);
            idleTimer.refresh();
            const heldBefore = body.heldBytes;
            body.append(chunk);
            bufferedBodyBytes += body.heldBytes - heldBefore;
            socket.remainingBodyBytes = declaredBytes - body.byteLength;
            if (body.byteLength > limits.bodyBytes) {
                return rejectBody(bodyTooLarge, "body");
            }
            if (bufferedBodyBytes > maxBufferedBodyBytes) {
                return rejectBody(tooManyBufferedBodies, "all bodies");
            }
        });
        request.on("end", () => {
            clearTimeout(idleTimer);
            if (isRejected) {
                return;
            }
            unreported.add(response);
            // The end of the channel may have arrived together with the request, and is read after it.
            afterNextPoll(() => {
                if (!unreported.delete(response)) {
                    return;
                }
                if (socket.readableEnded || socket.destroyed) {
                    return handlers.leftEarly(head, arrival);
                }
                openResponses.set(requestId, response);
                handlers.received(requestId, head, body.take(), arrival);
            });
        });
        response.on("close", leave);
        response.on("drain", () => handlers.drained(requestId));
    };
    const beginWaiting = (channel: CallerChannel): void => {
        const { socket, waiting, exchanges } = channel;
        while (waiting.length > 0 && exchanges.size < maxRequestsPerChannel && !socket.destroyed) {
            beginExchange(channel, waiting.shift()!);
        }
        if (waiting.length === 0) {
            socket.release("requests");
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
            waiting.push({ request, response, arrival });
            return socket.hold("requests");
        }
        beginExchange(channel, { request, response, arrival });
    });
    boundReading(server, socket => {
        const channel: CallerChannel = {
            socket,
            exchanges: new Set(),
            waiting: [],
            isRefused: false,
            isOverdue: false,
        };
        channels.set(socket, channel);
        socket.once("close", () => {
            channels.delete(socket);
            channel.waiting.length = 0;
            channel.exchanges.forEach(leave => leave());
        });
    });
    const refuseChannel = (channel: CallerChannel, error: NodeJS.ErrnoException): void => {
        const type = classifyClientError(error);
        handlers.refused(type, error.code ?? error.message);
        channel.isRefused = true;
        channel.waiting.length = 0;
        channel.socket.reject(true);
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
        // The rest of a head may be unread because the channel is held. It is then due after the channel's requests.
        const grace = channel.socket.isHeld ? limits.headerTimeout : overdueHeadersGrace;
        const checkOverdue = (): void => {
            if (!channel.isOverdue || socket.destroyed) {
                return;
            }
            if (channel.socket.isHeld) {
                setTimeout(checkOverdue, limits.headerTimeout);
                return;
            }
            refuseChannel(channel, error);
        };
        setTimeout(checkOverdue, grace);
    });

    const removeResponse = (requestId: RequestId): ServerResponse | undefined => {
        const response = openResponses.get(requestId);
        openResponses.delete(requestId);
        return response;
    };
    return {
        listen: address => listen(server, address),
        port: () => (server.address() as AddressInfo).port,
        applyLimits,
        startDraining: () => {
            isDraining = true;
        },
        writeWhole: (requestId, answer) => {
            const response = removeResponse(requestId);
            if (response !== undefined) {
                const { body } = answer;
                const hasLength = mayHaveBody(answer.status) && !answer.endsWithChannel;
                writeBackendHead(response, answer, hasLength ? body.length : undefined, isDraining);
                response.end(mayHaveBody(answer.status) ? body : undefined);
            }
        },
        writeHead: (requestId, head) => {
            const response = openResponses.get(requestId);
            if (response !== undefined) {
                writeBackendHead(response, head, undefined, isDraining);
            }
        },
        writeEvents: (requestId, events) => {
            const response = openResponses.get(requestId);
            events.forEach(event => response?.write(event.bytes));
            return (response?.writableLength ?? 0) < maxUnreadBytes;
        },
        end: requestId => {
            removeResponse(requestId)?.end();
        },
        abort: requestId => {
            // A reset: a body without a length or chunks would look complete after an ordinary close.
            removeResponse(requestId)?.socket?.resetAndDestroy();
        },
        writeFailure: (requestId, reason) => {
            const response = removeResponse(requestId);
            if (response !== undefined) {
                writeFailure(response, reason, isDraining);
            }
        },
        close: () => {
            unreported.forEach(response => writeFailure(response, closing, true));
            unreported.clear();
            server.close();
            server.closeIdleConnections();
        },
    };
}

const headersTooLarge = failure("headers_too_large", "the headers are too large", "not_run");
const bodyTooLarge = failure("body_too_large", "the body is too large", "not_run");
const requestTimeout = failure("request_timeout", "the body did not come in time", "not_run");
const closing = failure("leaving", "the instance is stopping", "not_run", overloadRetryAfter);
const tooManyBufferedBodies = failure("overloaded", "too many bodies are being read", "not_run", overloadRetryAfter);

/**
 * Writes the head of a backend server's answer. A body that only the channel's close ends is passed on in the same way,
 * since its length is unknown.
 */
function writeBackendHead(
    response: ServerResponse,
    head: ResponseHead,
    length: number | undefined,
    isClosing: boolean,
): void {
    const lengthHeader = length === undefined ? [] : ["content-length", String(length)];
    if (head.endsWithChannel) {
        response.useChunkedEncodingByDefault = false;
    }
    const closes = isClosing || head.endsWithChannel;
    response.writeHead(head.status, [...head.headers, ...lengthHeader, ...connectionCloseHeader(closes)]);
}

function connectionCloseHeader(isClosing: boolean): string[] {
    return isClosing ? ["connection", "close"] : [];
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
