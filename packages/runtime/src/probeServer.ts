/**
 * HTTP servers for checks: the readiness path and the metrics. They answer one request per connection, read nothing
 * after it, and keep few connections open, so that they stay available while clients overload them.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type BoundedSocket, boundReading } from "./boundedSocket.js";
import { monotonicNow } from "./eventLoop.js";

/** A check is a single short request. */
const maxHeaderBytes = 8 * 1024;
const headerTimeout: Milliseconds = 3_000;
const timeoutCheckInterval: Milliseconds = 500;
/** More connections than load balancers and scrapers need. */
const defaultMaxConnections = 64;
/** A new connection is not closed for another one before its request could be read, while there are not very many. */
const minAge: Milliseconds = 200;
const newConnectionsFactor = 4;

/** What a check returns. */
export interface ProbeAnswer {
    readonly status: number;
    readonly contentType?: string;
    readonly body: string;
}

/**
 * Creates a server that answers each connection's first request. Beyond `maxConnections` the oldest connection is
 * closed once it had time to send its request, and at four times as many in any case, so that a new check is accepted.
 *
 * @example
 * const readiness = createProbeServer(() => ({ status: 200, body: "" }));
 * await listen(readiness, "127.0.0.1:8081");
 */
export function createProbeServer(
    answer: () => ProbeAnswer,
    cut: (reason: "connections", address: string) => void = () => undefined,
    maxConnections = defaultMaxConnections,
): Server {
    const connections = new Map<BoundedSocket, Milliseconds>();
    const server = createServer({
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headerTimeout,
        requestTimeout: headerTimeout,
        connectionsCheckingInterval: timeoutCheckInterval,
        noDelay: true,
    }, (request: IncomingMessage, response: ServerResponse) => {
        const socket = request.socket as BoundedSocket;
        if (socket.isHeld) {
            return;
        }
        socket.hold("requests");
        writeProbeAnswer(response, answer());
    });
    server.on("clientError", (_, socket) => socket.destroy());
    boundReading(server, socket => {
        const now = monotonicNow();
        connections.set(socket, now);
        socket.once("close", () => connections.delete(socket));
        for (const [oldest, openedAt] of connections) {
            const isSurplus = connections.size > maxConnections && now - openedAt >= minAge;
            if (!isSurplus && connections.size <= newConnectionsFactor * maxConnections) {
                break;
            }
            connections.delete(oldest);
            cut("connections", oldest.remoteAddress ?? "");
            oldest.destroy();
        }
    });
    return server;
}

function writeProbeAnswer(response: ServerResponse, { status, contentType, body }: ProbeAnswer): void {
    const type = contentType === undefined ? [] : ["content-type", contentType];
    const length = String(Buffer.byteLength(body));
    response.writeHead(status, [...type, "content-length", length, "connection", "close"]);
    response.end(body);
}
