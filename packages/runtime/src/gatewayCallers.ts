/**
 * The server that callers reach. It reads whole requests within the limits, and writes the answers that it is told.
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
import { monotonicNow } from "./eventLoop.js";
import { listen } from "./listening.js";

/** What the server reports. */
export interface GatewayCallerHandlers {
    readonly received: (requestId: RequestId, head: RequestHead, body: Buffer, receivedAt: Milliseconds) => void;
    readonly left: (requestId: RequestId) => void;
    /** A request that was refused before it was taken. */
    readonly refused: (type: Failure["type"], detail: string) => void;
    /** The caller reads again after {@link GatewayCallers.writeEvents} returned false. */
    readonly drained: (requestId: RequestId) => void;
}

/** Decodes the head of a request, or names its fault. */
export type DecodeCallerHead = (
    method: string,
    target: string,
    headers: HeaderList,
) => RequestHead | { readonly fault: string; };

/** The server, and the answers in progress. */
export interface GatewayCallers {
    readonly listen: (address: string) => Promise<void>;
    /** The port that it listens on; useful where port 0 was asked for. */
    readonly port: () => number;
    readonly applyLimits: (limits: CallerLimits) => void;
    /** From now on each answer closes its channel. */
    readonly startDraining: () => void;
    readonly writeWhole: (requestId: RequestId, answer: BackendAnswer) => void;
    readonly writeHead: (requestId: RequestId, head: ResponseHead) => void;
    /** Returns false where the caller reads too slowly. */
    readonly writeEvents: (requestId: RequestId, events: readonly StreamEvent[]) => boolean;
    readonly end: (requestId: RequestId) => void;
    readonly cut: (requestId: RequestId) => void;
    readonly writeFailure: (requestId: RequestId, reason: Failure) => void;
    readonly close: () => void;
}

/** Limits until the configuration gives them. */
const initialLimits: CallerLimits = {
    headerBytes: 16 * 1024,
    bodyBytes: 4 * 1024 * 1024,
    headerTimeout: 3_000,
    idleTimeout: 15_000,
};
/** The most that the parser takes; the configured limit is checked afterwards. */
const parsedHeaderBytes = 64 * 1024;
/** How often channels are checked for headers that are overdue. */
const checkInterval: Milliseconds = 500;
/** Bytes of bodies that are held at once over all requests. */
const largestBodiesHeld = 48 * 1024 * 1024;
/** Bytes written to a caller that it may leave unread before its stream is held. */
const largestUnread = 256 * 1024;
/** How long a channel stays half open after a refusal, so that its answer can be read. */
const refusalLinger: Milliseconds = 500;
const refusedReturn: Milliseconds = 500;

/**
 * Creates the server.
 *
 * @example
 * const callers = createGatewayCallers(decodeCallerHead, newRequestId, handlers);
 * await callers.listen("127.0.0.1:8080");
 */
export function createGatewayCallers(
    decode: DecodeCallerHead,
    newRequestId: () => RequestId,
    handlers: GatewayCallerHandlers,
): GatewayCallers {
    const answers = new Map<RequestId, ServerResponse>();
    let limits = initialLimits;
    let isDraining = false;
    let bytesHeld = 0;

    const server = createServer({
        maxHeaderSize: parsedHeaderBytes,
        connectionsCheckingInterval: checkInterval,
        noDelay: true,
    });
    const applyLimits = (next: CallerLimits): void => {
        limits = next;
        server.headersTimeout = next.headerTimeout;
        server.keepAliveTimeout = next.idleTimeout;
        server.requestTimeout = 0;
    };
    applyLimits(initialLimits);

    const refuse = (request: IncomingMessage, response: ServerResponse, reason: Failure, detail: string): void => {
        handlers.refused(reason.type, detail);
        writeFailure(response, reason, true);
        request.resume();
        const linger = setTimeout(() => request.socket.destroy(), refusalLinger);
        request.socket.once("close", () => clearTimeout(linger));
    };

    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        const receivedAt = monotonicNow();
        response.sendDate = false;
        if (headerSize(request.rawHeaders) > limits.headerBytes) {
            return refuse(request, response, headersTooLarge, "headers");
        }
        if (Number(request.headers["content-length"] ?? 0) > limits.bodyBytes) {
            return refuse(request, response, bodyTooLarge, "length");
        }
        const head = decode(request.method ?? "", request.url ?? "", request.rawHeaders);
        if ("fault" in head) {
            return refuse(request, response, failure("malformed_request", head.fault, "not_run"), head.fault);
        }
        const requestId = newRequestId();
        const parts: Buffer[] = [];
        let size = 0;
        let isRefused = false;
        const idle = setTimeout(() => stopReading(requestTimeout, "body"), limits.idleTimeout);
        const stopReading = (reason: Failure, detail: string): void => {
            isRefused = true;
            clearTimeout(idle);
            parts.length = 0;
            refuse(request, response, reason, detail);
        };
        request.on("data", (chunk: Buffer) => {
            if (isRefused) {
                return;
            }
            idle.refresh();
            size += chunk.length;
            bytesHeld += chunk.length;
            parts.push(chunk);
            if (size > limits.bodyBytes) {
                return stopReading(bodyTooLarge, "body");
            }
            if (bytesHeld > largestBodiesHeld) {
                return stopReading(bodiesTooLarge, "all bodies");
            }
        });
        request.on("end", () => {
            clearTimeout(idle);
            if (!isRefused) {
                answers.set(requestId, response);
                handlers.received(requestId, head, Buffer.concat(parts), receivedAt);
            }
        });
        response.on("close", () => {
            clearTimeout(idle);
            bytesHeld -= size;
            if (answers.delete(requestId)) {
                handlers.left(requestId);
            }
        });
        response.on("drain", () => handlers.drained(requestId));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        handlers.refused(channelFailure(error), error.code ?? error.message);
        answerBrokenChannel(socket, channelFailure(error));
    });

    const take = (requestId: RequestId): ServerResponse | undefined => {
        const response = answers.get(requestId);
        answers.delete(requestId);
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
            const response = take(requestId);
            if (response !== undefined) {
                const { body } = answer;
                const hasLength = mayHaveBody(answer.status) && !answer.endsWithChannel;
                writeBackendHead(response, answer, hasLength ? body.length : undefined, isDraining);
                response.end(mayHaveBody(answer.status) ? body : undefined);
            }
        },
        writeHead: (requestId, head) => {
            const response = answers.get(requestId);
            if (response !== undefined) {
                writeBackendHead(response, head, undefined, isDraining);
            }
        },
        writeEvents: (requestId, events) => {
            const response = answers.get(requestId);
            events.forEach(event => response?.write(event.bytes));
            return (response?.writableLength ?? 0) < largestUnread;
        },
        end: requestId => {
            take(requestId)?.end();
        },
        cut: requestId => {
            // A reset, since a body without an end of its own would look whole after an ordinary close.
            take(requestId)?.socket?.resetAndDestroy();
        },
        writeFailure: (requestId, reason) => {
            const response = take(requestId);
            if (response !== undefined) {
                writeFailure(response, reason, isDraining);
            }
        },
        close: () => {
            server.close();
            server.closeIdleConnections();
        },
    };
}

const headersTooLarge = failure("headers_too_large", "the headers are too large", "not_run");
const bodyTooLarge = failure("body_too_large", "the body is too large", "not_run");
const requestTimeout = failure("request_timeout", "the body did not come in time", "not_run");
const bodiesTooLarge = failure("overloaded", "too many bodies are being read", "not_run", refusedReturn);

/** Writes the head of a backend server's answer. A body without an end of its own stays so: nobody knows its length. */
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
    response.writeHead(head.status, [...head.headers, ...lengthHeader, ...closing(closes)]);
}

function closing(isClosing: boolean): string[] {
    return isClosing ? ["connection", "close"] : [];
}

function mayHaveBody(status: number): boolean {
    return status !== 204 && status !== 304;
}

function headerSize(rawHeaders: readonly string[]): number {
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
        ["content-type", "application/json", "content-length", length, ...retry, ...closing(isClosing)],
    );
    response.end(body);
}

const notRunStatus = 503;
const unknownStatus = 504;

/** A status that promises that the request did not run is only given where that is so. */
function statusOf({ type, outcome }: Failure): number {
    const status = failureStatus[type];
    if (outcome === "not_run") {
        return status === unknownStatus ? notRunStatus : status;
    }
    return status === notRunStatus ? unknownStatus : status;
}

function channelFailure({ code }: NodeJS.ErrnoException): Failure["type"] {
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

/** Answers a channel whose bytes are no request, unless an answer is on its way there. */
function answerBrokenChannel(socket: Socket, type: Failure["type"]): void {
    const status = failureStatus[type];
    const isAnswering = ((socket as { _httpMessage?: object | null; })._httpMessage ?? undefined) !== undefined;
    if (socket.writable && !isAnswering && socket.bytesWritten === 0) {
        socket.end(`HTTP/1.1 ${status} ${statusTexts[status] ?? ""}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
        return;
    }
    socket.destroy();
}
