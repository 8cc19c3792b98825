/**
 * The entry's HTTP server for callers. It also serves `/live`, `/ready` and `/metrics`.
 */
import type { Call } from "@verbenaspring/entry";
import { type Failure, failure, identifier, type Milliseconds, type RequestId } from "@verbenaspring/model";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { BodyCollector } from "./bodyCollector.js";
import { type BoundedSocket, boundReading } from "./boundedSocket.js";
import { CallerAnswer, formatFailure } from "./callerAnswer.js";
import { parseCall } from "./callParser.js";
import { afterNextPoll } from "./nextPoll.js";
import { keepAllFields } from "./requestFraming.js";
import { listen } from "./socketAddress.js";

/** Callbacks for what happens to requests. */
export interface CallerServerHandlers {
    readonly requested: (requestId: RequestId, call: Call) => void;
    /** A request has been read whose caller had left by then. It is not handled. */
    readonly leftEarly: (requestId: RequestId) => void;
    /** The caller closed its connection before its answer was complete. */
    readonly left: (requestId: RequestId) => void;
    /** The caller reads more slowly than its answer is written. */
    readonly blocked: (requestId: RequestId) => void;
    /** The caller has read its backlog. */
    readonly drained: (requestId: RequestId) => void;
}

/** Limits and dependencies of the server. */
export interface CallerServerOptions {
    readonly maximumBodyBytes: number;
    readonly maximumHeaderBytes: number;
    readonly newIdentifier: () => string;
    readonly isReady: () => boolean;
    readonly formatMetrics: () => string;
}

/** The caller server of one entry. */
export interface CallerServer {
    readonly listen: (address: string) => Promise<void>;
    /** The answer to a request; undefined after its caller has left. */
    readonly answer: (requestId: RequestId) => CallerAnswer | undefined;
    /** Removes an answer that has been ended. */
    readonly removeAnswer: (requestId: RequestId) => void;
    /** Stops accepting connections; resolves when the last answer has been sent. */
    readonly close: () => Promise<void>;
}

/** A request whose head has been parsed. */
interface WaitingRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}

/** The memory of all bodies that are being read. */
interface BodyBytes {
    heldBytes: number;
}

const headerTimeout: Milliseconds = 3_000;
/** A whole request arrives within this time. */
const bodyTimeout: Milliseconds = 60_000;
const timeoutCheckInterval: Milliseconds = 500;
/** Beyond it, the oldest connection without a request is closed. */
const maxConnections = 4_096;
const maxAllBodyBytes = 48 * 1024 * 1024;
const overloadRetryAfter: Milliseconds = 500;

/**
 * Creates the server.
 *
 * @example
 * const server = createCallerServer(options, handlers);
 * await server.listen("127.0.0.1:8080");
 */
export function createCallerServer(options: CallerServerOptions, handlers: CallerServerHandlers): CallerServer {
    const answers = new Map<RequestId, CallerAnswer>();
    const bodies: BodyBytes = { heldBytes: 0 };

    async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (answerProbe(request, response, options)) {
            return;
        }
        const requestId: RequestId = identifier(options.newIdentifier());
        const body = await readBody(request, options.maximumBodyBytes, bodies);
        if (typeof body !== "string") {
            // The remaining bytes of the body are not read, so the connection cannot be used again.
            refusedChannels.add(request.socket);
            (request.socket as unknown as BoundedSocket).reject(true);
            response.setHeader("connection", "close");
            return rejectRequest(requestId, response, body);
        }
        // The end of the channel may have arrived together with the request, and is read after it.
        await new Promise<void>(afterNextPoll);
        if (request.socket.readableEnded || request.socket.destroyed) {
            return handlers.leftEarly(requestId);
        }
        const parsed = parseCall(request, body);
        if ("type" in parsed) {
            return rejectRequest(requestId, response, parsed);
        }
        const answer = new CallerAnswer(requestId, response, parsed, {
            blocked: () => handlers.blocked(requestId),
            drained: () => handlers.drained(requestId),
        });
        answers.set(requestId, answer);
        response.on("close", () => {
            if (answers.delete(requestId)) {
                handlers.left(requestId);
            }
        });
        handlers.requested(requestId, parsed.call);
    }

    /** Channels that were told that no request of theirs ran. What arrives on them later is not handled. */
    const refusedChannels = new WeakSet<Duplex>();
    /** Requests that arrived on a connection while an earlier one of it was in progress. */
    const waitingRequests = new WeakMap<BoundedSocket, WaitingRequest[]>();
    const connections = new Set<BoundedSocket>();
    const beginRequest = (socket: BoundedSocket, { request, response }: WaitingRequest): void => {
        response.once("close", () => beginNext(socket));
        handleRequest(request, response).catch(() => response.destroy());
    };
    const beginNext = (socket: BoundedSocket): void => {
        const waiting = waitingRequests.get(socket);
        const next = waiting?.shift();
        if (next !== undefined && !refusedChannels.has(socket) && !socket.destroyed) {
            return beginRequest(socket, next);
        }
        waitingRequests.delete(socket);
        socket.release("requests");
    };
    const server = createServer({
        maxHeaderSize: options.maximumHeaderBytes,
        headersTimeout: headerTimeout,
        requestTimeout: bodyTimeout,
        connectionsCheckingInterval: timeoutCheckInterval,
        noDelay: true,
    }, (request, response) => {
        const socket = request.socket as unknown as BoundedSocket;
        if (refusedChannels.has(socket)) {
            socket.destroy();
            return;
        }
        socket.addWork(1);
        const waiting = waitingRequests.get(socket);
        if (waiting !== undefined) {
            waiting.push({ request, response });
            return socket.hold("requests");
        }
        waitingRequests.set(socket, []);
        beginRequest(socket, { request, response });
    });
    keepAllFields(server);
    boundReading(server, socket => {
        connections.add(socket);
        socket.once("close", () => connections.delete(socket));
        if (connections.size > maxConnections) {
            const surplus = [...connections].find(connection => !waitingRequests.has(connection)) ?? socket;
            connections.delete(surplus);
            surplus.destroy();
        }
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        refusedChannels.add(socket);
        (socket as unknown as BoundedSocket).reject(true);
        handleClientError(error, socket);
    });
    return {
        listen: address => listen(server, address),
        answer: requestId => answers.get(requestId),
        removeAnswer: requestId => answers.delete(requestId),
        close: () => closeServer(server),
    };
}

function answerProbe(request: IncomingMessage, response: ServerResponse, options: CallerServerOptions): boolean {
    switch (request.url) {
        case "/live":
            response.end("live\n");
            return true;
        case "/ready":
            response.writeHead(options.isReady() ? 200 : 503);
            response.end(options.isReady() ? "ready\n" : "not ready\n");
            return true;
        case "/metrics":
            response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
            response.end(options.formatMetrics());
            return true;
        default:
            return false;
    }
}

const headersTooLarge = {
    status: "431 Request Header Fields Too Large",
    message: "the head of the request is too large",
};
const notHttpRequest = { status: "400 Bad Request", message: "this is not an HTTP request" };

/** Answers a request that Node's parser rejected, and closes the connection. */
function handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const { status, message } = error.code === "HPE_HEADER_OVERFLOW" ? headersTooLarge : notHttpRequest;
    const body = formatFailure(identifier(""), failure("malformed_request", message, "not_run"));
    const head = ["content-type: application/json", `content-length: ${Buffer.byteLength(body)}`, "connection: close"];
    socket.end(`HTTP/1.1 ${status}\r\n${head.join("\r\n")}\r\n\r\n${body}`);
}

function rejectRequest(requestId: RequestId, response: ServerResponse, reason: Failure): void {
    const parsed = { call: undefined as never, isChat: false, model: "" };
    if (response.destroyed) {
        return;
    }
    new CallerAnswer(requestId, response, parsed, { blocked: () => {}, drained: () => {} }).endFailure(reason);
}

/** Reads a body. Rejects it beyond its own limit, and beyond that of all bodies that are being read. */
async function readBody(request: IncomingMessage, maxBytes: number, all: BodyBytes): Promise<string | Failure> {
    const body = new BodyCollector();
    let heldBytes = 0;
    const socket = request.socket as unknown as BoundedSocket;
    try {
        for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            socket.addWork(1);
            body.append(chunk);
            all.heldBytes += body.heldBytes - heldBytes;
            heldBytes = body.heldBytes;
            if (body.byteLength > maxBytes) {
                return failure("body_too_large", `a body holds at most ${maxBytes} bytes`, "not_run");
            }
            if (all.heldBytes > maxAllBodyBytes) {
                return failure("overloaded", "too many bodies are being read", "not_run", overloadRetryAfter);
            }
        }
        return body.take().toString("utf8");
    }
    finally {
        all.heldBytes -= heldBytes;
    }
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}
