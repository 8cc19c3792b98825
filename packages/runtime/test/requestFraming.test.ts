/**
 * Guards against request smuggling: what hostile clients send to a gateway process at real sockets reaches its backend
 * server only as the requests that a strict parser reads, each once, with its method, target and body.
 * `node --import tsx packages/runtime/test/requestFraming.test.ts SEED CASES` runs more cases.
 */
import { findFreeGatewayAddresses } from "@verbenaspring/bench";
import { type Random, seededSource } from "@verbenaspring/coordination";
import { parseAddress } from "@verbenaspring/runtime";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { get } from "node:http";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayArguments } from "./lostAnswersGateway.js";
import { drawConnection, type DrawnConnection } from "./requestMutations.js";
import { fieldValues, type ParsedRequest, parseRequests } from "./requestParser.js";

const seed = Number(process.argv[2] ?? 1);
const caseCount = Number(process.argv[3] ?? 1_500);
const concurrentCases = 12;
/** How long the answers of a connection's valid requests may take, in milliseconds. */
const answerTimeout = 3_000;
/** How long a connection stays open after its last answer, so that a further request in it would arrive. */
const lingerTime = 60;

/** A backend server that records what arrives, and reads it strictly. */
class RecordingServer {
    readonly arrivals: ParsedRequest[] = [];
    readonly faults: string[] = [];
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    constructor() {
        this.server = createServer(socket => this.accept(socket));
    }

    async start(): Promise<string> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    close(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    private accept(socket: Socket): void {
        this.sockets.add(socket);
        let received = Buffer.alloc(0);
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            received = Buffer.concat([received, chunk]);
            const { requests, end } = parseRequests(received);
            if (end === "invalid" || requests.length > 1) {
                this.faults.push(`the gateway sent ${JSON.stringify(received.toString("latin1"))}`);
                socket.destroy();
            }
            else if (end === "complete" && requests.length === 1) {
                received = Buffer.alloc(0);
                this.answer(socket, requests[0]);
            }
        });
    }

    private answer(socket: Socket, arrival: ParsedRequest): void {
        this.arrivals.push(arrival);
        const ids = fieldValues(arrival, "attempt-id");
        if (ids.length !== 1 || fieldValues(arrival, "host").length !== 1) {
            this.faults.push(`fields of ${JSON.stringify(arrival.fields)}`);
        }
        socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${ids[0]}\r\nResponse-Seal: seal\r\ncontent-length: 0\r\n\r\n`);
    }
}

interface Gateway {
    readonly process: ChildProcess;
    readonly callerPort: number;
    readonly output: () => string;
}

async function startGateway(backendAddress: string): Promise<Gateway> {
    const { callerAddress, readinessAddress, peerAddress } = await findFreeGatewayAddresses();
    const gatewayArguments: GatewayArguments = {
        callers: callerAddress,
        readiness: readinessAddress,
        peers: peerAddress,
        services: [{ name: "plain", isEngine: false, addresses: [backendAddress] }],
    };
    const file = fileURLToPath(new URL("lostAnswersGateway.ts", import.meta.url));
    const child = fork(file, [JSON.stringify(gatewayArguments)], { execArgv: ["--import", "tsx"], silent: true });
    let output = "";
    child.stdout?.on("data", chunk => output += String(chunk));
    child.stderr?.on("data", chunk => output += String(chunk));
    while (!await isReady(parseAddress(readinessAddress).port)) {
        assert.is(child.exitCode, null, output);
        await pause(20);
    }
    return { process: child, callerPort: parseAddress(callerAddress).port, output: () => output };
}

/** Sends a connection's bytes in pieces, and resolves once nothing more can be expected. */
async function send(port: number, bytes: Buffer, expectedAnswers: number, random: Random): Promise<void> {
    const socket = connect({ port, host: "127.0.0.1", noDelay: true });
    let received = "";
    let isClosed = false;
    socket.on("error", () => undefined);
    socket.on("data", chunk => received += chunk.toString("latin1"));
    socket.on("close", () => isClosed = true);
    await Promise.race([once(socket, "connect"), once(socket, "close")]);
    for (let rest = bytes; rest.length > 0;) {
        const length = random() < 0.5 ? rest.length : 1 + Math.floor(random() * 40);
        socket.write(rest.subarray(0, length));
        rest = rest.subarray(length);
        await new Promise(setImmediate);
    }
    const deadline = performance.now() + answerTimeout;
    while (!isClosed && countAnswers(received) < expectedAnswers && performance.now() < deadline) {
        await pause(2);
    }
    await pause(lingerTime);
    socket.destroy();
}

function countAnswers(received: string): number {
    return received.split(/HTTP\/1\.1 [2-5]\d\d /).length - 1;
}

/** The requests of a connection that a gateway may send on. */
function forwardableRequests(bytes: Buffer): readonly ParsedRequest[] {
    return parseRequests(bytes, "asNode").requests.filter(request =>
        fieldValues(request, "attempt-id").length === 1 && request.target.startsWith("/")
    );
}

function isSameRequest(one: ParsedRequest, other: ParsedRequest): boolean {
    return one.method === other.method && one.target === other.target && one.body.equals(other.body);
}

function idOf(request: ParsedRequest): string {
    return fieldValues(request, "attempt-id")[0];
}

function describe(bytes: Buffer | undefined): string {
    return JSON.stringify(bytes?.toString("latin1"));
}

/** What the arrivals at the server violate. */
function findFaults(cases: readonly DrawnConnection[], arrivals: readonly ParsedRequest[]): string[] {
    const expected = new Map(
        cases.flatMap(drawn =>
            forwardableRequests(drawn.bytes).map(request => [idOf(request), { request, drawn }] as const)
        ),
    );
    const arrived = new Set<string>();
    const faults = arrivals.flatMap(arrival => {
        const id = idOf(arrival);
        const found = expected.get(id);
        const fault = found === undefined
            ? "arrived, which no reading contains"
            : !isSameRequest(found.request, arrival)
            ? `arrived as ${JSON.stringify(arrival)}`
            : arrived.has(id)
            ? "arrived twice"
            : undefined;
        arrived.add(id);
        const origin = found?.drawn ?? cases.find(({ bytes }) => bytes.includes(`Attempt-Id: ${id}`));
        return fault === undefined ? [] : [`${id} ${fault}: ${describe(origin?.bytes)}`];
    });
    const lost = [...expected].filter(([id, { drawn }]) => drawn.isOrdinary && !arrived.has(id));
    return [...faults, ...lost.map(([id, { drawn }]) => `${id} did not arrive: ${describe(drawn.bytes)}`)];
}

function isReady(port: number): Promise<boolean> {
    return new Promise(resolve => {
        get({ port, host: "127.0.0.1", path: "/readyz" }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        }).on("error", () => resolve(false));
    });
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

/** Starts a gateway before a recording server, calls `perform`, and ends both. */
async function withGateway(perform: (gateway: Gateway, server: RecordingServer) => Promise<void>): Promise<void> {
    const server = new RecordingServer();
    const gateway = await startGateway(await server.start());
    try {
        await perform(gateway, server);
        assert.is(gateway.process.exitCode, null, gateway.output());
    }
    finally {
        gateway.process.kill("SIGKILL");
        server.close();
    }
}

async function sendAll(port: number, cases: readonly DrawnConnection[]): Promise<void> {
    let next = 0;
    const runCases = async (): Promise<void> => {
        for (let index = next++; index < cases.length; index = next++) {
            const { bytes, isOrdinary } = cases[index];
            const answers = isOrdinary ? forwardableRequests(bytes).length : 1;
            await send(port, bytes, answers, seededSource(seed, index).random);
        }
    };
    await Promise.all(Array.from({ length: concurrentCases }, runCases));
    await pause(lingerTime);
}

test(`what the gateway reads as one request reaches a server as that request (seed ${seed})`, async () => {
    const { random, newIdentifier } = seededSource(seed);
    // Names differ in many characters, so that a mutation does not turn the id of one request into that of another.
    const cases = Array.from({ length: caseCount }, () => drawConnection(newIdentifier(), random));
    await withGateway(async ({ callerPort }, server) => {
        await sendAll(callerPort, cases);
        assert.equal([...server.faults, ...findFaults(cases, server.arrivals)].slice(0, 10), []);
        assert.ok(server.arrivals.length > caseCount / 4, `only ${server.arrivals.length} requests arrived`);
    });
});

// Where the framing of a request is in doubt, what follows may be a part of it.
const rejectedFramings = [
    ["an unknown transfer coding", "POST /plain/1 HTTP/1.1", "Transfer-Encoding: gzip, chunked", "0\r\n\r\n"],
    ["no version", "POST /plain/1", "Content-Length: 0", ""],
    ["another version", "POST /plain/1 HTTP/2.0", "Content-Length: 0", ""],
    ["two lengths", "POST /plain/1 HTTP/1.1", "Content-Length: 0\r\nContent-Length: 4", ""],
    ["a length and chunks", "POST /plain/1 HTTP/1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked", "0\r\n\r\n"],
] as const;

for (const [name, requestLine, framing, body] of rejectedFramings) {
    test(`neither a request with ${name} nor what follows it on its connection reaches a server`, async () => {
        await withGateway(async ({ callerPort }, server) => {
            const fields = "Host: clinic.example\r\nAttempt-Id";
            const ordinary = (id: string): string =>
                `POST /plain/1 HTTP/1.1\r\n${fields}: ${id}\r\nContent-Length: 0\r\n\r\n`;
            const rejected = `${requestLine}\r\n${fields}: rejected\r\n${framing}\r\n\r\n${body}`;
            const bytes = Buffer.from(ordinary("before") + rejected + ordinary("after"));
            await send(callerPort, bytes, 2, () => 0);
            await pause(lingerTime);
            assert.equal(server.arrivals.map(idOf).filter(id => id !== "before"), []);
        });
    });
}

test.run();
