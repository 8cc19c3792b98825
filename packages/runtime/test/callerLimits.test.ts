/**
 * Clients that press on a listener: pipelined requests, chunks of one byte, bodies after a rejection. Each test bounds
 * what one connection makes the process do or hold.
 */
import type { BackendAnswer, HeaderList } from "@verbenaspring/gateway";
import { type EventId, identifier, type RequestId } from "@verbenaspring/model";
import {
    BodyCollector,
    type CallerBounds,
    createGatewayCallerServer,
    createProbeServer,
    type CutAnswer,
    type GatewayCallerServer,
    listen,
} from "@verbenaspring/runtime";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, createResponseHead } from "./backendBuilders.js";

const pause = (duration: number): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

/** Waits until a condition holds, at most 5 s. */
async function waitUntil(isMet: () => boolean): Promise<void> {
    for (let count = 0; count < 500 && !isMet(); count++) {
        await pause(10);
    }
}

/** A client's connection that collects what it receives. */
class Client {
    received = "";
    isClosed = false;
    readonly socket: Socket;

    constructor(port: number) {
        this.socket = connect(port, "127.0.0.1");
        this.socket.on("data", chunk => this.received += chunk.toString("latin1"));
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => this.isClosed = true);
    }

    count(text: string): number {
        return this.received.split(text).length - 1;
    }
}

const okAnswer: BackendAnswer = { ...createResponseHead(200), endsWithChannel: false, body: Buffer.from("done") };

const harnesses: Harness[] = [];

/** A gateway's caller server that keeps requests until the test answers them. */
class Harness {
    readonly bodies: Buffer[] = [];
    readonly headers: HeaderList[] = [];
    readonly open: RequestId[] = [];
    readonly left: RequestId[] = [];
    readonly refused: string[] = [];
    readonly drained: RequestId[] = [];
    readonly cutAnswers: CutAnswer[] = [];
    readonly clients: Client[] = [];
    readonly callers: GatewayCallerServer;
    private count = 0;

    constructor(isAnswering = false, answer = okAnswer, bounds?: CallerBounds) {
        harnesses.push(this);
        this.callers = createGatewayCallerServer(
            (method, target, headers) => {
                this.headers.push(headers);
                return { ...createCall("127.0.0.1:1").head, method, target };
            },
            () => identifier(String(++this.count)),
            () => 0,
            {
                received: (requestId, _, body) => {
                    this.bodies.push(body);
                    this.open.push(requestId);
                    if (isAnswering) {
                        this.callers.writeWhole(requestId, answer);
                    }
                },
                leftEarly: () => undefined,
                left: requestId => this.left.push(requestId),
                refused: type => this.refused.push(type),
                drained: requestId => this.drained.push(requestId),
                answerCut: cut => this.cutAnswers.push(cut),
            },
            bounds,
        );
    }

    async connect(): Promise<Client> {
        if (this.clients.length === 0) {
            await this.callers.listen("127.0.0.1:0");
        }
        const client = new Client(this.callers.port());
        this.clients.push(client);
        return client;
    }

    close(): void {
        this.clients.forEach(({ socket }) => socket.destroy());
        this.callers.close();
    }
}

const emptyRequest = "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n";

// Beyond about 1,000 fields, Node.js dropped the rest: servers ran requests without the model that the caller named.
test("all fields of a head are read, however many, and their size is bounded as a whole", async () => {
    const harness = new Harness(true);
    const client = await harness.connect();
    const fields = Array.from({ length: 1_500 }, (_, index) => `a${index}: b`);
    const requestWith = (lines: readonly string[]): string =>
        ["POST /a HTTP/1.1", "host: h", "content-length: 0", ...lines, "", ""].join("\r\n");
    client.socket.write(requestWith([...fields, "model: m"]));
    await waitUntil(() => client.count("done") === 1);
    assert.equal(harness.headers[0].slice(-4), ["a1499", "b", "model", "m"]);
    assert.is(harness.headers[0].length, 2 * (fields.length + 3));
    client.socket.write(requestWith([...fields, ...fields]));
    await waitUntil(() => harness.refused.length === 1);
    assert.equal(harness.refused, ["headers_too_large"]);
    assert.is(harness.headers.length, 1);
});

// 30 connections with pipelined requests made the process keep each of them, until it ran out of memory.
test("pipelined requests beyond the limit wait unread, and are served in turn", async () => {
    const harness = new Harness();
    const client = await harness.connect();
    const total = 300;
    client.socket.write(emptyRequest.repeat(total));
    await waitUntil(() => harness.open.length > 0);
    await pause(100);
    assert.is(harness.open.length, 1);
    let answered = 0;
    while (answered < total) {
        await waitUntil(() => harness.open.length > answered);
        assert.ok(harness.open.length > answered, `the request after ${answered} was not passed on`);
        assert.is(harness.open.length - answered, 1, "one at a time");
        harness.callers.writeWhole(harness.open[answered++], okAnswer);
    }
    await waitUntil(() => client.count("done") === total);
    assert.is(client.count("done"), total);
});

test("requests that wait in a connection are not passed on after it has closed", async () => {
    const harness = new Harness();
    const client = await harness.connect();
    client.socket.write(emptyRequest.repeat(50));
    await waitUntil(() => harness.open.length === 1);
    client.socket.destroy();
    for (let count = 0; count < 20; count++) {
        harness.callers.writeWhole(harness.open[harness.open.length - 1], okAnswer);
        await pause(10);
    }
    assert.ok(harness.open.length < 10, `${harness.open.length} requests were passed on`);
    assert.is(harness.callers.budget.totalBytes, 0, "nothing is held for it");
});

// A client repeats requests that follow an answer with "connection: close", so they must not have run.
test("no request is passed on after an answer that closes its connection", async () => {
    const harness = new Harness(true);
    const client = await harness.connect();
    harness.callers.startDraining();
    client.socket.write(emptyRequest.repeat(5));
    await waitUntil(() => client.isClosed);
    await pause(50);
    assert.is(client.count("done"), 1);
    assert.is(harness.open.length, 1);
});

// Bodies that stop just before their end were kept up to 48 MB, and each further one was rejected, whoever sent it.
test("beyond the budget the largest body is rejected, and a small request is served", async () => {
    const harness = new Harness(true);
    const clients: Client[] = [];
    for (let megabytes = 2; megabytes <= 4; megabytes += 0.5) {
        const client = await harness.connect();
        const size = megabytes * 2 ** 20;
        client.socket.write(`POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: ${size}\r\n\r\n`);
        client.socket.write(Buffer.alloc(size - 1));
        clients.push(client);
    }
    for (let count = 0; count < 8; count++) {
        clients.push(await harness.connect());
        clients[clients.length - 1].socket.write("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3145728\r\n\r\n");
        clients[clients.length - 1].socket.write(Buffer.alloc(3145727));
    }
    const rejected = (): Client[] => clients.filter(client => /^HTTP\/1.1 503 [^]*retry-after/i.test(client.received));
    await waitUntil(() => rejected().length >= 4);
    assert.ok(rejected().length >= 4, `${rejected().length} were rejected`);
    assert.not.ok(rejected().includes(clients[0]), "the smallest is kept");
    assert.ok(harness.callers.budget.totalBytes <= harness.callers.budget.limitBytes);
    const small = await harness.connect();
    small.socket.write(emptyRequest);
    await waitUntil(() => small.count("done") === 1);
    assert.is(small.count("done"), 1);
});

// Until the first connection had closed, the total was still beyond the budget, and all with large answers were closed.
test("beyond the budget no more answers are cut than needed", async () => {
    const bounds = { totalBytes: 12.5 * 1024 * 1024, streamBytes: 64 * 1024, connections: 100 };
    const harness = new Harness(false, okAnswer, bounds);
    const clients = await Promise.all([harness.connect(), harness.connect(), harness.connect(), harness.connect()]);
    clients.forEach(({ socket }) => {
        socket.pause();
        socket.write(emptyRequest);
    });
    await waitUntil(() => harness.open.length === clients.length);
    const bytes = Buffer.alloc(4 * 1024 * 1024);
    for (const requestId of harness.open) {
        harness.callers.writeHead(requestId, okAnswer);
        harness.callers.writeEvents(requestId, [{ id: undefined, bytes }]);
    }
    await waitUntil(() => harness.cutAnswers.length > 0);
    await pause(100);
    assert.equal(harness.cutAnswers.map(({ reason }) => reason), ["budget"]);
    assert.ok(harness.callers.budget.totalBytes <= bounds.totalBytes, `${harness.callers.budget.totalBytes} bytes`);
});

test("beyond the limit of connections an idle one that never sent a request is closed for a new one", async () => {
    const harness = new Harness(true, okAnswer, { totalBytes: 2 ** 24, streamBytes: 2 ** 16, connections: 5 });
    const served = await harness.connect();
    served.socket.write(emptyRequest);
    await waitUntil(() => served.count("done") === 1);
    for (let count = 0; count < 20; count++) {
        (await harness.connect()).socket.write("POST /a HTTP/1.1\r\nhost");
    }
    const late = await harness.connect();
    late.socket.write(emptyRequest);
    served.socket.write(emptyRequest);
    await waitUntil(() => late.count("done") === 1 && served.count("done") === 2);
    assert.is(late.count("done") + served.count("done"), 3);
    assert.ok(harness.clients.filter(({ isClosed }) => isClosed).length >= 16);
});

// A caller that did not read kept its engine's run for as long as it liked.
test("a caller that leaves its stream unread loses it, and is reported as left", async () => {
    const harness = new Harness(false, okAnswer, { totalBytes: 2 ** 24, streamBytes: 2 ** 16, connections: 5 });
    harness.callers.applyLimits({ headerBytes: 2_000, bodyBytes: 100, headerTimeout: 300, idleTimeout: 500 });
    const client = await harness.connect();
    client.socket.pause();
    client.socket.write(emptyRequest);
    await waitUntil(() => harness.open.length === 1);
    harness.callers.writeHead(harness.open[0], { ...createResponseHead(200), endsWithChannel: false });
    const event = { id: identifier<EventId>("1"), bytes: Buffer.alloc(64 * 1024) };
    // The kernel takes some megabytes before the caller's backlog grows.
    const writing = setInterval(() => {
        let count = 0;
        while (count++ < 20 && harness.callers.writeEvents(harness.open[0], [event])) {
            assert.ok(harness.callers.budget.heldOf("answers") < 2 ** 20);
        }
    }, 5);
    await waitUntil(() => harness.left.length === 1);
    clearInterval(writing);
    assert.equal(harness.left, harness.open);
    assert.equal(harness.cutAnswers.map(({ reason, isWritten }) => [reason, isWritten]), [["slow_reader", false]]);
});

// The new timeout held for the time before it, so that a configuration cut streams that were within the old one.
test("a caller that leaves its stream unread has the whole of a shorter timeout from when it is applied", async () => {
    const harness = new Harness(false, okAnswer, { totalBytes: 2 ** 24, streamBytes: 2 ** 16, connections: 5 });
    const limits = { headerBytes: 2_000, bodyBytes: 100, headerTimeout: 300, idleTimeout: 15_000 };
    harness.callers.applyLimits(limits);
    const client = await harness.connect();
    client.socket.pause();
    client.socket.write(emptyRequest);
    await waitUntil(() => harness.open.length === 1);
    harness.callers.writeHead(harness.open[0], { ...createResponseHead(200), endsWithChannel: false });
    const event = { id: identifier<EventId>("1"), bytes: Buffer.alloc(64 * 1024) };
    // The kernel takes some megabytes before the stream is paused.
    await waitUntil(() => {
        harness.callers.writeEvents(harness.open[0], [event]);
        return harness.callers.budget.heldOf("answers") > 2 ** 18;
    });
    await pause(2_500);
    harness.callers.applyLimits({ ...limits, idleTimeout: 1_500 });
    await pause(1_300);
    assert.equal([harness.cutAnswers, harness.left], [[], []]);
    await waitUntil(() => harness.left.length === 1);
    assert.equal(harness.cutAnswers.map(({ reason }) => reason), ["slow_reader"]);
});

// The kernel takes bytes from the process in large steps, between which a steady reader looks like one that has stopped.
test("a caller that reads its answer steadily keeps it, also with a short idle timeout", async () => {
    const body = Buffer.alloc(8 * 1024 * 1024);
    const harness = new Harness(true, { ...okAnswer, body }, {
        totalBytes: 2 ** 26,
        streamBytes: 2 ** 16,
        connections: 5,
    });
    harness.callers.applyLimits({ headerBytes: 8_192, bodyBytes: 8_192, headerTimeout: 3_000, idleTimeout: 1_000 });
    const { socket } = await harness.connect();
    const bytesPerMillisecond = 400;
    const startedAt = performance.now();
    let received = 0;
    socket.on("data", chunk => {
        received += chunk.length;
        socket.pause();
        setTimeout(() => socket.resume(), startedAt + received / bytesPerMillisecond - performance.now());
    });
    socket.write(emptyRequest);
    await pause(4_500);
    assert.equal(harness.cutAnswers, [], `${received} bytes were read`);
});

test("an answer that its caller leaves unread is cut after 3 s once answers take much of the budget, and not before", async () => {
    const idleTimeout = 500;
    const harnessWith = async (totalBytes: number): Promise<Harness> => {
        const answer = { ...okAnswer, body: Buffer.alloc(14 * 1024 * 1024) };
        const harness = new Harness(true, answer, { totalBytes, streamBytes: 2 ** 16, connections: 5 });
        harness.callers.applyLimits({ headerBytes: 8_192, bodyBytes: 8_192, headerTimeout: 3_000, idleTimeout });
        const { socket } = await harness.connect();
        socket.pause();
        socket.write(emptyRequest);
        return harness;
    };
    const scarce = await harnessWith(2 ** 24);
    const roomy = await harnessWith(2 ** 26);
    await pause(2_500);
    assert.equal(scarce.cutAnswers, []);
    await waitUntil(() => scarce.cutAnswers.length > 0);
    assert.equal(scarce.cutAnswers.map(({ reason }) => reason), ["slow_reader"]);
    assert.equal(roomy.cutAnswers, []);
});

// A backlog that was bounded in bytes only held tens of thousands of short events, and exhausted the heap.
test("a stream of short parts is paused after a bounded number of unsent ones, and goes on once they are sent", async () => {
    const harness = new Harness(false, okAnswer, { totalBytes: 2 ** 24, streamBytes: 2 ** 16, connections: 5 });
    const client = await harness.connect();
    client.socket.write(emptyRequest);
    await waitUntil(() => harness.open.length === 1);
    const [requestId] = harness.open;
    harness.callers.writeHead(requestId, { ...createResponseHead(200), endsWithChannel: false });
    const event = { id: undefined, bytes: Buffer.from(":\n\n") };
    // Nothing is sent before the event loop turns.
    let parts = 1;
    while (harness.callers.writeEvents(requestId, [event]) && parts < 10_000) {
        parts++;
    }
    assert.ok(parts < 100, `${parts} parts of ${event.bytes.length} bytes were kept`);
    await waitUntil(() => harness.drained.length > 0);
    assert.equal(harness.drained, [requestId]);
    assert.ok(harness.callers.writeEvents(requestId, [event]));
    harness.callers.end(requestId);
    await waitUntil(() => client.received.includes("0\r\n\r\n"));
    assert.is(client.count(":\n\n"), parts + 1);
});

test("a client that does not read its answers is not read beyond a bound", async () => {
    const harness = new Harness(true, { ...okAnswer, body: Buffer.alloc(64 * 1024) });
    const client = await harness.connect();
    client.socket.pause();
    const flood = setInterval(
        () => client.socket.writableLength < 100_000 && client.socket.write(emptyRequest.repeat(2_000)),
        1,
    );
    let served = -1;
    await waitUntil(() => {
        const isStill = served === harness.open.length && served > 0 && client.socket.writableLength >= 100_000;
        served = harness.open.length;
        return isStill;
    });
    clearInterval(flood);
    const before = harness.open.length;
    await pause(200);
    assert.ok(harness.open.length - before <= 1, `${harness.open.length - before} more requests were read`);
});

test("a body in chunks of one byte is held in few pieces, and is whole", () => {
    const collector = new BodyCollector();
    const total = 300_000;
    for (let index = 0; index < total; index++) {
        collector.append(Buffer.from([index % 251]));
    }
    assert.ok(collector.heldBytes < 1.5 * total, `${collector.heldBytes} bytes are held`);
    const body = collector.take();
    assert.is(body.length, total);
    assert.ok(body.every((byte, index) => byte === index % 251));
});

test("a body of large and small chunks by turns takes little more memory than its bytes", () => {
    const collector = new BodyCollector();
    const chunks = Array.from({ length: 400 }, (_, index) => Buffer.alloc(index % 2 === 0 ? 4_096 : 100, index));
    chunks.forEach(chunk => collector.append(chunk));
    assert.ok(collector.heldBytes < 1.2 * collector.byteLength, `${collector.heldBytes} bytes are held`);
    assert.equal(collector.take(), Buffer.concat(chunks));
});

test("a large body arrives whole in one piece, in small writes and in chunks", async () => {
    const body = Buffer.alloc(1_000_000, "abcdefghij");
    const head = "POST /a HTTP/1.1\r\nhost: h\r\n";
    const chunks = (size: number): string => {
        const pieces = Array.from(
            { length: body.length / size },
            () => `${size.toString(16)}\r\n${body.subarray(0, size)}\r\n`,
        );
        return `${head}transfer-encoding: chunked\r\n\r\n${pieces.join("")}0\r\n\r\n`;
    };
    const whole = `${head}content-length: ${body.length}\r\n\r\n${body}`;
    for (const text of [whole, chunks(10), chunks(50_000)]) {
        const harness = new Harness(true);
        const client = await harness.connect();
        client.socket.write(text + emptyRequest);
        await waitUntil(() => client.count("done") === 2);
        assert.is(client.count("done"), 2, "the body and the request after it are answered");
        assert.ok(harness.bodies[0].equals(body));
    }
});

// The rest of a rejected body was read for 500 ms, at full speed.
test("nothing is read or reported after a rejection, and the answer arrives", async () => {
    const harness = new Harness(true);
    const client = await harness.connect();
    client.socket.write("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 99999999\r\n\r\n");
    const flood = setInterval(() => client.socket.writable && client.socket.write(emptyRequest.repeat(10_000)), 1);
    await waitUntil(() => client.isClosed);
    clearInterval(flood);
    assert.match(client.received, /^HTTP\/1.1 413 [^]*connection: close/i);
    assert.equal(harness.refused, ["body_too_large"]);
    assert.is(harness.open.length, 0);
});

test("a connection is reused after a pause", async () => {
    const harness = new Harness(true);
    harness.callers.applyLimits({ headerBytes: 2_000, bodyBytes: 100, headerTimeout: 300, idleTimeout: 1_000 });
    const client = await harness.connect();
    for (let count = 1; count <= 3; count++) {
        client.socket.write(emptyRequest);
        await waitUntil(() => client.count("done") === count);
        await pause(800);
    }
    assert.is(client.count("done"), 3);
});

// A delayed loop runs its timers before it reads: connections were reset whose next request had arrived long before.
test("a request that arrived before the idle timeout is served, also when the loop is delayed until after it", async () => {
    const harness = new Harness(true);
    const idleTimeout = 300;
    harness.callers.applyLimits({ headerBytes: 8_192, bodyBytes: 8_192, headerTimeout: 3_000, idleTimeout });
    const client = await harness.connect();
    client.socket.write(emptyRequest);
    await waitUntil(() => client.count("done") === 1);
    await pause(idleTimeout / 2);
    client.socket.write(emptyRequest);
    const resumeAt = performance.now() + idleTimeout + 1_500;
    while (performance.now() < resumeAt) {
        // Delays the loop.
    }
    await waitUntil(() => client.isClosed || client.count("done") === 2);
    assert.is(client.count("done"), 2);
    await waitUntil(() => client.isClosed);
    assert.ok(client.isClosed, "an idle connection is closed");
});

// A channel that was held when a delayed loop ran its idle timer got a new timer, which closed it under the request.
const longHead = emptyRequest.replace("host: h", ["host: h", ...Array(700).fill("a: bcdef")].join("\r\n"));
for (
    const [name, bytes, waitingRequests] of [
        ["behind another", emptyRequest.repeat(2), 1],
        ["after a long head", longHead, 0],
    ] as const
) {
    test(`a request ${name} that arrived at the idle timeout runs longer than that, and keeps its channel`, async () => {
        const harness = new Harness();
        const idleTimeout = 300;
        harness.callers.applyLimits({ headerBytes: 16_384, bodyBytes: 8_192, headerTimeout: 3_000, idleTimeout });
        const client = await harness.connect();
        client.socket.write(emptyRequest);
        await waitUntil(() => harness.open.length === 1);
        harness.callers.writeWhole(harness.open[0], okAnswer);
        await waitUntil(() => client.count("done") === 1);
        await pause(idleTimeout / 2);
        client.socket.write(bytes);
        const resumeAt = performance.now() + idleTimeout + 1_500;
        while (performance.now() < resumeAt) {
            // Delays the loop.
        }
        await waitUntil(() => harness.open.length === 2);
        if (waitingRequests > 0) {
            harness.callers.writeWhole(harness.open[1], okAnswer);
            await waitUntil(() => harness.open.length === 3);
        }
        await pause(4 * idleTimeout);
        assert.equal(harness.left, [], "no request lost its channel");
        harness.callers.writeWhole(harness.open[1 + waitingRequests], okAnswer);
        await waitUntil(() => client.count("done") === 2 + waitingRequests);
        assert.is(client.count("done"), 2 + waitingRequests);
    });
}

const shortHeaderTimeout = 300;

/** Sends a request that stays open, on a channel whose next head is soon overdue. */
async function startRequest(): Promise<{ readonly harness: Harness; readonly client: Client; }> {
    const harness = new Harness();
    const limits = { headerBytes: 8_192, bodyBytes: 8_192, headerTimeout: shortHeaderTimeout, idleTimeout: 15_000 };
    harness.callers.applyLimits(limits);
    const client = await harness.connect();
    client.socket.write(emptyRequest);
    await waitUntil(() => harness.open.length === 1);
    return { harness, client };
}

// What followed a request on its channel, incomplete or malformed, closed the channel under the request.
for (
    const [name, next, refusal] of [
        ["stalls", "POST /a HTTP/1.1\r\nhost", "request_timeout"],
        ["is malformed", "\0\r\n\r\n", "malformed_request"],
    ] as const
) {
    for (const isStream of [false, true]) {
        test(`a ${isStream ? "stream" : "request"} keeps its channel while the head behind it ${name}`, async () => {
            const { harness, client } = await startRequest();
            const [requestId] = harness.open;
            if (isStream) {
                harness.callers.writeHead(requestId, okAnswer);
                await waitUntil(() => client.count("HTTP/1.1 200") === 1);
            }
            client.socket.write(next);
            await pause(5 * shortHeaderTimeout);
            assert.equal(harness.left, [], "the request did not lose its channel");
            if (isStream) {
                harness.callers.writeEvents(requestId, [{ id: undefined, bytes: Buffer.from("done") }]);
                harness.callers.end(requestId);
            }
            else {
                harness.callers.writeWhole(requestId, okAnswer);
            }
            await waitUntil(() => client.isClosed);
            assert.ok(client.isClosed, "the channel is closed afterwards");
            assert.is(client.count("done"), 1);
            assert.is(client.count("HTTP/1.1"), 1);
            assert.ok(!isStream || client.received.endsWith("0\r\n\r\n"), client.received);
            assert.equal(harness.refused, [refusal]);
        });
    }
}

test("a head that stalls behind a request is served if it comes whole while the request runs", async () => {
    const { harness, client } = await startRequest();
    client.socket.write(emptyRequest.slice(0, 20));
    await pause(5 * shortHeaderTimeout);
    client.socket.write(emptyRequest.slice(20));
    await pause(2 * shortHeaderTimeout);
    harness.callers.writeWhole(harness.open[0], okAnswer);
    await waitUntil(() => harness.open.length === 2);
    harness.callers.writeWhole(harness.open[1], okAnswer);
    await waitUntil(() => client.count("done") === 2);
    assert.is(client.count("done"), 2);
    assert.equal(harness.refused, []);
});

test("a caller that leaves while the head behind its request stalls is reported", async () => {
    const { harness, client } = await startRequest();
    client.socket.write(emptyRequest.slice(0, 20));
    await pause(4 * shortHeaderTimeout);
    client.socket.end();
    await waitUntil(() => harness.left.length === 1);
    assert.equal(harness.left, harness.open);
});

// Pipelined requests at the readiness path kept the event loop busy without an end.
test("a probe server answers one request per connection, and new ones beside a flood", async () => {
    const server = createProbeServer(() => ({ status: 200, body: "ready" }), undefined, 4);
    await listen(server, "127.0.0.1:0");
    const { port } = server.address() as AddressInfo;
    const probe = "GET /readyz HTTP/1.1\r\nhost: h\r\n\r\n";
    const idle = Array.from({ length: 8 }, () => new Client(port));
    await pause(250);
    const flooding = new Client(port);
    flooding.socket.write(probe.repeat(20_000));
    await waitUntil(() => flooding.isClosed);
    assert.ok(flooding.count("HTTP/1.1") <= 1, flooding.received);
    for (let count = 0; count < 10; count++) {
        const client = new Client(port);
        client.socket.write(probe);
        await waitUntil(() => client.isClosed);
        assert.match(client.received, /^HTTP\/1.1 200 [^]*ready$/);
    }
    assert.is(idle.filter(({ isClosed }) => isClosed).length >= 4, true);
    idle.forEach(({ socket }) => socket.destroy());
    server.close();
});

test.after.each(() => {
    harnesses.forEach(harness => harness.close());
    harnesses.length = 0;
});

test.run();
