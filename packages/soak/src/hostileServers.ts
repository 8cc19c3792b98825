/**
 * The backend servers of the load tool, in a worker thread so that their work does not delay the measurements: they
 * answer ordinary requests after some milliseconds, and serve large answers and streams without an end.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

/** What the load tool passes to the worker thread of the servers. */
export interface ServerThreadData {
    /** For each server, whether it fails. */
    readonly failing: readonly boolean[];
}

/** How long an ordinary request takes, in milliseconds. */
const workTime = 5;
const largeAnswer = Buffer.alloc(1024 * 1024, "x");
const eventBytes = 16 * 1024;
/** In milliseconds. A hundred streams have the rate of the largest machine's link, 140 Mbit/s. */
const feedInterval = 100;
const feedEvent = (id: number): string => `id: ${id}\ndata: ${"x".repeat(eventBytes)}\n\n`;

function identityHeaders(request: IncomingMessage): Record<string, string> {
    return { "Attempt-Id": String(request.headers["attempt-id"] ?? ""), "Response-Seal": "seal" };
}

function answerWhole(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    request.resume().on("end", () =>
        setTimeout(() => {
            response.writeHead(200, { ...identityHeaders(request), "content-length": body.length });
            response.end(body);
        }, workTime));
}

function answerFeed(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    response.writeHead(200, { ...identityHeaders(request), "content-type": "text/event-stream" });
    let id = 0;
    const timer = setInterval(() => {
        if (!response.writableNeedDrain) {
            response.write(feedEvent(++id));
        }
    }, feedInterval);
    response.once("close", () => clearInterval(timer));
}

/** Fails in one of the ways that the caller notices at once. */
function fail(request: IncomingMessage, response: ServerResponse, turn: number): void {
    request.resume();
    switch (turn % 3) {
        case 0:
            response.writeHead(500, { ...identityHeaders(request), "content-length": 0 });
            return void response.end();
        case 1:
            response.writeHead(503, { ...identityHeaders(request), "Not-Executed": "1", "content-length": 0 });
            return void response.end();
        default:
            request.socket.resetAndDestroy();
    }
}

async function startServer(isFailing: boolean): Promise<string> {
    let requests = 0;
    const server = createServer((request, response) => {
        const path = request.url ?? "";
        if (path === "/report") {
            response.end(JSON.stringify({ state: "ready", runs: [] }));
        }
        else if (isFailing) {
            fail(request, response, requests++);
        }
        else if (path.startsWith("/feed/")) {
            answerFeed(request, response);
        }
        else {
            answerWhole(request, response, path.endsWith("/large") ? largeAnswer : Buffer.from("answer"));
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const { failing } = workerData as ServerThreadData;
parentPort!.postMessage(await Promise.all(failing.map(startServer)));
