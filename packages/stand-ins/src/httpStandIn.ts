/**
 * Functions shared by the HTTP servers of the stand-ins.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** A listening stand-in. */
export interface StandIn {
    readonly address: string;
    readonly server: Server;
    readonly close: () => Promise<void>;
}

/** Answers a request. If it throws, the answer is status 400 with the error. */
export type Handler = (request: IncomingMessage, response: ServerResponse, url: URL) => void | Promise<void>;

/** Starts an HTTP server on loopback; port 0 selects a free one. */
export async function startStandIn(port: number, handler: Handler): Promise<StandIn> {
    const server = createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://127.0.0.1");
        Promise.resolve()
            .then(() => handler(request, response, url))
            .catch((error: unknown) => sendJson(response, 400, { error: String(error) }));
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    const bound = server.address() as { port: number; };
    const close = (): Promise<void> =>
        new Promise(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });
    return { address: `127.0.0.1:${bound.port}`, server, close };
}

/** Reads a body as text. */
export async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** Reads a JSON body. */
export async function readJson<Value>(request: IncomingMessage): Promise<Value> {
    return JSON.parse(await readText(request) || "null") as Value;
}

/** Sends a JSON body, unless headers were already sent or the connection is closed. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
}

/** Resolves after a time in milliseconds. */
export function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}
