/**
 * Requests that were read when a planned stop ends the process.
 */
import { waitUntil } from "@verbenaspring/bench";
import { identifier, type RequestId } from "@verbenaspring/model";
import { createGatewayCallerServer, type GatewayCallerHandlers } from "@verbenaspring/runtime";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, createResponseHead } from "./backendBuilders.js";

const answerTime = 1_000;

function handlersFor(received: (requestId: RequestId) => void): GatewayCallerHandlers {
    return {
        received,
        leftEarly: () => undefined,
        left: () => undefined,
        refused: () => undefined,
        drained: () => undefined,
    };
}

/** Sends a request, closes the server in the turn in which it has read the request, and returns the answer's first line. */
async function answerAtExit(extraFields: number): Promise<string> {
    let isPassedOn = false;
    const callers = createGatewayCallerServer(
        (method, target) => ({ ...createCall("127.0.0.1:1").head, method, target }),
        () => identifier<RequestId>("1"),
        () => {
            setImmediate(() => callers.close());
            return 0;
        },
        handlersFor(() => isPassedOn = true),
    );
    await callers.listen("127.0.0.1:0");
    const socket = connect(callers.port(), "127.0.0.1");
    const fields = Array.from({ length: extraFields }, (_, index) => `f${index}: x\r\n`).join("");
    socket.write(`POST /a/1 HTTP/1.1\r\nhost: clinic.example\r\n${fields}content-length: 0\r\n\r\n`);
    const answer = await new Promise<string>(resolve => {
        socket.once("data", chunk => resolve(chunk.toString("latin1").split("\r\n")[0]));
        socket.once("close", () => resolve("closed"));
        setTimeout(() => resolve("no answer"), answerTime);
    });
    socket.destroy();
    callers.close();
    return isPassedOn ? `${answer}, passed on` : answer;
}

test("a request that was read in the turn of the exit is refused", async () => {
    assert.is(await answerAtExit(0), "HTTP/1.1 503 Service Unavailable");
});

// Heads with many fields wait for their turn, and were dropped with their connections.
test("a request with many fields that waits for its turn at the exit is refused", async () => {
    assert.is(await answerAtExit(250), "HTTP/1.1 503 Service Unavailable");
});

// Its channel was reset when the process was gone, and its caller could not know that it had not run.
test("a request whose body is not complete at the exit is refused", async () => {
    const callers = createGatewayCallerServer(
        () => createCall("127.0.0.1:1").head,
        () => identifier<RequestId>("1"),
        () => 0,
        handlersFor(() => undefined),
    );
    await callers.listen("127.0.0.1:0");
    const socket = connect(callers.port(), "127.0.0.1");
    socket.write("POST /a/1 HTTP/1.1\r\nhost: clinic.example\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n");
    await new Promise(resolve => setTimeout(resolve, 100));
    const answer = new Promise<string>(resolve => {
        socket.once("data", chunk => resolve(chunk.toString("latin1").split("\r\n")[0]));
        socket.once("close", () => resolve("closed"));
        setTimeout(() => resolve("no answer"), answerTime);
    });
    callers.close();
    const firstLine = await answer;
    socket.destroy();
    assert.is(firstLine, "HTTP/1.1 503 Service Unavailable");
});

// A caller that used such a channel waited until the process was gone.
test("channels on which no request runs close at once when the server closes", async () => {
    const open: RequestId[] = [];
    const callers = createGatewayCallerServer(
        () => createCall("127.0.0.1:1").head,
        () => identifier<RequestId>(String(open.length)),
        () => 0,
        handlersFor(requestId => open.push(requestId)),
    );
    await callers.listen("127.0.0.1:0");
    const [unused, used] = [1, 2].map(() => connect(callers.port(), "127.0.0.1"));
    const answered = new Promise(resolve => used.once("data", resolve));
    used.write("POST /a/1 HTTP/1.1\r\nhost: clinic.example\r\ncontent-length: 0\r\n\r\n");
    await waitUntil("the request is read", () => open.length === 1);
    callers.writeWhole(open[0], { ...createResponseHead(200), endsWithChannel: false, body: Buffer.from("x") });
    await answered;
    await new Promise(resolve => setTimeout(resolve, 50));
    const closes = [unused, used].map(socket => new Promise(resolve => socket.once("close", () => resolve("closed"))));
    callers.close();
    const timeout = new Promise(resolve => setTimeout(() => resolve("open"), 500));
    const ends = await Promise.all(closes.map(close => Promise.race([close, timeout])));
    [unused, used].forEach(socket => socket.destroy());
    assert.equal(ends, ["closed", "closed"]);
});

test.run();
