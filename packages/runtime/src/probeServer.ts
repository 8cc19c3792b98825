/**
 * HTTP servers for checks: the readiness path and the metrics. They answer one request per connection, read nothing
 * after it, and keep few connections open, so that they stay available while clients overload them.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type BoundedSocket, boundReading } from "./boundedSocket.js";

/** A check is a single short request. */
const maxHeaderBytes = 8 * 1024;
const headerTimeout: Milliseconds = 3_000;
const timeoutCheckInterval: Milliseconds = 500;
/** More connections than load balancers and scrapers need. */
const defaultMaxConnections = 64;

/** What a check returns. */
export interface ProbeAnswer {
    readonly status: number;
    readonly contentType?: string;
    readonly body: string;
}

/**
 * Creates a server that answers each connection's first request. Beyond `maxConnections` the oldest connection is
 * closed, so that a new check is always accepted.
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
    const connections = new Set<BoundedSocket>();
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
        connections.add(socket);
        socket.once("close", () => connections.delete(socket));
        if (connections.size > maxConnections) {
            const [oldest] = connections;
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
