import type { BackendAnswer, BackendCall, RequestHead, StreamEvent } from "@verbenaspring/gateway";
import { type AttemptId, failure, identifier, type RequestId } from "@verbenaspring/model";
import {
    type BackendChannels,
    createBackendChannels,
    createEventFramer,
    createGatewayCallers,
    type GatewayCallers,
} from "@verbenaspring/runtime";
import { connect, createServer, type Server, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";

type Outcome =
    | { readonly kind: "answered"; readonly answer: BackendAnswer; }
    | { readonly kind: "ended"; readonly events: number; }
    | { readonly kind: "failed"; readonly failure: string; readonly wasSent: boolean; };

/** A server that does with each channel's first bytes what the test says. */
async function listenRaw(
    handle: (socket: Socket) => void,
): Promise<{ readonly address: string; readonly server: Server; }> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => handle(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { readonly port: number; };
    return { address: `127.0.0.1:${port}`, server };
}

function callTo(address: string, attemptId = "a"): BackendCall {
    const head: RequestHead = {
        callerAttemptId: identifier("c"),
        method: "POST",
        target: "/x/",
        host: "h",
        timeLimit: undefined,
        apiKey: undefined,
        lastEvent: undefined,
        promptTokens: 0,
        maximumTokens: 0,
        estimatedTokens: undefined,
        headers: ["host", "h"],
    };
    return {
        attemptId: identifier(attemptId),
        backendServer: identifier("s"),
        address,
        head,
        timeLeft: 1_000,
        organisation: undefined,
        priority: undefined,
        replicaAddress: undefined,
        lastEvent: undefined,
        continuesFrom: undefined,
        needsFreshChannel: false,
    };
}

/** Channels whose calls resolve to their outcome. */
class ChannelBench {
    readonly channels: BackendChannels;
    private readonly waiting = new Map<AttemptId, (outcome: Outcome) => void>();
    private events = 0;

    constructor() {
        const done = (attemptId: AttemptId, outcome: Outcome): void => this.waiting.get(attemptId)?.(outcome);
        this.channels = createBackendChannels({
            encodeBackendCall: call => [...call.head.headers],
            decodeBackendHead: (status, headers) => ({
                status,
                callerAttemptId: undefined,
                isSealed: true,
                isNotRun: false,
                isEncoded: false,
                isEventStream: headers.includes("text/event-stream"),
                endsWithChannel: !headers.some(name => /^(content-length|transfer-encoding)$/i.test(name)),
                headers,
            }),
        }, {
            answered: (attemptId, answer) => done(attemptId, { kind: "answered", answer }),
            opened: () => undefined,
            events: (_, events: readonly StreamEvent[]) => this.events += events.length,
            ended: attemptId => done(attemptId, { kind: "ended", events: this.events }),
            failed: (attemptId, reason, wasSent) => done(attemptId, { kind: "failed", failure: reason, wasSent }),
        });
    }

    call(call: BackendCall): Promise<Outcome> {
        return new Promise(resolve => {
            this.waiting.set(call.attemptId, resolve);
            this.channels.send(call, Buffer.from("body"));
        });
    }
}

/** What one call meets at a server that answers with the given bytes. */
async function meet(handle: (socket: Socket) => void): Promise<Outcome> {
    const { address, server } = await listenRaw(handle);
    const bench = new ChannelBench();
    const outcome = await bench.call(callTo(address));
    bench.channels.close();
    server.close();
    return outcome;
}

const ok = "HTTP/1.1 200 OK\r\n";

test("a whole answer is taken whole, and its channel is used again", async () => {
    const sockets = new Set<Socket>();
    const { address, server } = await listenRaw(socket => {
        sockets.add(socket);
        socket.write(`${ok}content-length: 2\r\n\r\nhi`);
    });
    const bench = new ChannelBench();
    for (const id of ["a", "b", "c"]) {
        const outcome = await bench.call(callTo(address, id));
        assert.is(outcome.kind === "answered" ? String(outcome.answer.body) : "", "hi");
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.is(sockets.size, 1);
    bench.channels.close();
    server.close();
});

test("a body without a length that ends with its channel is an answer without an end of its own", async () => {
    const outcome = await meet(socket => socket.end(`${ok}connection: close\r\n\r\npart`));
    assert.ok(outcome.kind === "answered" && outcome.answer.endsWithChannel);
});

test("a body without a length whose channel is reset is no answer", async () => {
    const outcome = await meet(socket => {
        socket.write(`${ok}connection: close\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 20);
    });
    assert.equal(outcome, { kind: "failed", failure: "answer_truncated", wasSent: true });
});

test("a chunked body that lacks its last chunk is no answer, also where the channel was to close", async () => {
    const outcome = await meet(socket =>
        socket.end(`${ok}connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n`)
    );
    assert.equal(outcome, { kind: "failed", failure: "answer_truncated", wasSent: true });
});

test("a body shorter than its length is no answer", async () => {
    const outcome = await meet(socket => socket.end(`${ok}connection: close\r\ncontent-length: 9\r\n\r\npart`));
    assert.equal(outcome, { kind: "failed", failure: "answer_truncated", wasSent: true });
});

test("bytes that are no answer fail the call", async () => {
    const outcome = await meet(socket => socket.end("\u0000\u0001 what is this\r\n\r\n"));
    assert.equal(outcome, { kind: "failed", failure: "answer_malformed", wasSent: true });
});

test("a channel on which more bytes come than the answer has is not used again", async () => {
    const sockets = new Set<Socket>();
    const { address, server } = await listenRaw(socket => {
        sockets.add(socket);
        socket.write(`${ok}content-length: 2\r\n\r\nhi${ok}content-length: 2\r\n\r\nno`);
    });
    const bench = new ChannelBench();
    for (const id of ["a", "b"]) {
        const outcome = await bench.call(callTo(address, id));
        assert.is(outcome.kind === "answered" ? String(outcome.answer.body) : "", "hi");
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.is(sockets.size, 2);
    bench.channels.close();
    server.close();
});

test("a call to a port where nobody listens was not sent", async () => {
    const { address, server } = await listenRaw(() => undefined);
    await new Promise(resolve => server.close(resolve));
    const bench = new ChannelBench();
    const outcome = await bench.call(callTo(address));
    assert.equal(outcome, { kind: "failed", failure: "connect_refused", wasSent: false });
    bench.channels.close();
});

test("a call whose kept channel is reset may have run", async () => {
    let requests = 0;
    const { address, server } = await listenRaw(socket => {
        requests++;
        if (requests === 1) {
            socket.write(`${ok}content-length: 2\r\n\r\nhi`);
        }
        else {
            socket.resetAndDestroy();
        }
    });
    const bench = new ChannelBench();
    await bench.call(callTo(address, "a"));
    await new Promise(resolve => setImmediate(resolve));
    const outcome = await bench.call(callTo(address, "b"));
    assert.equal(outcome, { kind: "failed", failure: "channel_lost", wasSent: true });
    assert.is(requests, 2, "the client sent the call once only");
    bench.channels.close();
    server.close();
});

test("a stream that stops in the middle of an event is no whole stream", async () => {
    const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
    const head = `${ok}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
    const whole = await meet(socket => socket.end(`${head}${chunk("id: 1\ndata: a\n\n")}0\r\n\r\n`));
    assert.equal(whole, { kind: "ended", events: 1 });
    const torn = await meet(socket => socket.end(`${head}${chunk("id: 1\ndata: a\n\nid: 2\nda")}0\r\n\r\n`));
    assert.equal(torn, { kind: "failed", failure: "answer_truncated", wasSent: true });
});

test("events are framed whole, wherever the bytes are cut", () => {
    const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid:3\ndata: c\n\n";
    for (let cut = 0; cut <= text.length; cut++) {
        const framer = createEventFramer();
        const events = [...framer.push(Buffer.from(text.slice(0, cut))), ...framer.push(Buffer.from(text.slice(cut)))];
        assert.equal(events.map(event => event.id), [1, 2, undefined, 3]);
        assert.is(Buffer.concat(events.map(event => event.bytes)).toString(), text);
        assert.not.ok(framer.hasRest());
    }
});

/** A caller server whose requests the test answers. */
class CallerBench {
    readonly received: { readonly requestId: RequestId; readonly body: Buffer; }[] = [];
    readonly left: RequestId[] = [];
    readonly callers: GatewayCallers;
    private count = 0;
    private onReceived: (requestId: RequestId) => void = () => undefined;

    constructor() {
        this.callers = createGatewayCallers(
            (method, target) => target === "/bad" ? { fault: "no" } : headOf(method, target),
            () => identifier(String(++this.count)),
            {
                received: (requestId, _, body) => {
                    this.received.push({ requestId, body });
                    this.onReceived(requestId);
                },
                left: requestId => this.left.push(requestId),
                refused: () => undefined,
                drained: () => undefined,
            },
        );
        this.callers.applyLimits({ headerBytes: 2_000, bodyBytes: 100, headerTimeout: 300, idleTimeout: 5_000 });
    }

    /** Sends bytes on a channel of their own, and gives all that comes until it closes or `until` is seen. */
    async talk(text: string, answer: (requestId: RequestId) => void, until = "\r\n\r\n"): Promise<string> {
        const address = "127.0.0.1";
        this.onReceived = answer;
        await this.callers.listen(`${address}:0`);
        const port = this.callers.port();
        return new Promise(resolve => {
            let heard = "";
            const socket = connect(port, address, () => socket.write(text));
            const finish = (): void => {
                socket.destroy();
                this.callers.close();
                resolve(heard);
            };
            socket.on("data", chunk => {
                heard += chunk.toString("latin1");
                if (heard.includes(until)) {
                    finish();
                }
            });
            socket.on("close", finish);
            socket.on("error", () => undefined);
        });
    }
}

function headOf(method: string, target: string): RequestHead {
    return { ...callTo("127.0.0.1:1").head, method, target };
}

const request = (extra: string, target = "/a"): string => `POST ${target} HTTP/1.1\r\nhost: h\r\n${extra}`;

test("a body in chunks and one with a length arrive whole", async () => {
    for (
        const text of [
            request("content-length: 5\r\n\r\nhello"),
            request("transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"),
        ]
    ) {
        const bench = new CallerBench();
        await bench.talk(text, requestId => bench.callers.end(requestId));
        assert.is(String(bench.received[0].body), "hello");
    }
});

test("malformed requests get the right status at once, and never reach the gateway", async () => {
    const cases: readonly (readonly [string, number])[] = [
        ["what is this\r\n\r\n", 400],
        [request("content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"), 400],
        [request("\r\n", "/bad"), 400],
        [request("content-length: 5000\r\n\r\n"), 413],
        [request(`transfer-encoding: chunked\r\n\r\n80\r\n${"x".repeat(128)}\r\n0\r\n\r\n`), 413],
        [request(`x: ${"y".repeat(3_000)}\r\n\r\n`), 431],
        [request("x: y"), 408],
    ];
    for (const [text, status] of cases) {
        const bench = new CallerBench();
        const heard = await bench.talk(text, () => undefined);
        assert.match(heard, new RegExp(`^HTTP/1.1 ${status} `), text.slice(0, 60));
        assert.match(heard, /connection: close/i);
        assert.is(bench.received.length, 0);
    }
});

test("a body without an end of its own is passed on without a length, and its channel closes", async () => {
    const bench = new CallerBench();
    const answer: BackendAnswer = {
        status: 200,
        callerAttemptId: undefined,
        isSealed: true,
        isNotRun: false,
        isEncoded: false,
        isEventStream: false,
        endsWithChannel: true,
        headers: ["Response-Seal", "s"],
        body: Buffer.from("part"),
    };
    const heard = await bench.talk(request("\r\n"), requestId => bench.callers.writeWhole(requestId, answer), "part");
    assert.not.match(heard, /content-length|transfer-encoding/i);
    assert.match(heard, /connection: close/i);
});

test("a status that promises that a request did not run is only given where that is known", async () => {
    const cases = [
        [failure("overloaded", "m", "not_run", 250), 503, /retry-after: 0\.25\r\n/i],
        [failure("overloaded", "m", "outcome_unknown"), 504, /504/],
        [failure("deadline_exceeded", "m", "not_run"), 503, /503/],
        [failure("deadline_exceeded", "m", "outcome_unknown"), 504, /504/],
        [failure("backend_server_failed", "m", "outcome_unknown"), 502, /502/],
    ] as const;
    for (const [reason, status, pattern] of cases) {
        const bench = new CallerBench();
        const heard = await bench.talk(request("\r\n"), requestId => bench.callers.writeFailure(requestId, reason));
        assert.match(heard, new RegExp(`^HTTP/1.1 ${status} `));
        assert.match(heard, pattern);
    }
});

test("a caller that closes its channel is reported", async () => {
    const bench = new CallerBench();
    const isDone = new Promise<void>(resolve => {
        void bench.talk(request("\r\n"), requestId => {
            bench.callers.writeHead(requestId, {
                status: 200,
                callerAttemptId: undefined,
                isSealed: true,
                isNotRun: false,
                isEncoded: false,
                isEventStream: true,
                endsWithChannel: false,
                headers: [],
            });
            bench.callers.writeEvents(requestId, [{ id: 1, bytes: Buffer.from("id: 1\n\n") }]);
        }, "id: 1").then(() => {
            const look = setInterval(() => {
                if (bench.left.length > 0) {
                    clearInterval(look);
                    resolve();
                }
            }, 5);
        });
    });
    await isDone;
    assert.is(bench.left.length, 1);
});

test.run();
