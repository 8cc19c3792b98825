/**
 * Answers that the server closes to stay within its bounds.
 */
import type { BackendAnswer } from "@verbenaspring/gateway";
import { identifier, type RequestId } from "@verbenaspring/model";
import { createGatewayCallerServer, type CutAnswer } from "@verbenaspring/runtime";
import { connect, type Socket } from "node:net";
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

const megabyte = 1024 * 1024;
const emptyRequest = "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n";

/** A server whose callers may make it hold 12.5 MB, and that keeps requests until the test answers them. */
async function startServer() {
    const open: RequestId[] = [];
    const cutAnswers: CutAnswer[] = [];
    const sockets: Socket[] = [];
    let count = 0;
    const callers = createGatewayCallerServer(
        (method, target) => ({ ...createCall("127.0.0.1:1").head, method, target }),
        () => identifier(String(++count)),
        () => 0,
        {
            received: requestId => open.push(requestId),
            leftEarly: () => undefined,
            left: () => undefined,
            refused: () => undefined,
            drained: () => undefined,
            answerCut: cut => cutAnswers.push(cut),
        },
        { totalBytes: 12.5 * megabyte, streamBytes: 64 * 1024, connections: 100 },
    );
    await callers.listen("127.0.0.1:0");
    const openClient = (bytes: string | Buffer): Socket => {
        const socket = connect(callers.port(), "127.0.0.1");
        socket.write(bytes);
        sockets.push(socket);
        return socket;
    };
    const close = (): void => {
        sockets.forEach(socket => socket.destroy());
        callers.close();
    };
    return { callers, open, cutAnswers, openClient, close };
}

/** What a client has of an answer: whether it has ended for a client of HTTP/1.1, and how. */
interface TakenAnswer {
    bytes: number;
    start: string;
    tail: string;
    end: string | undefined;
}

function looksComplete({ start, tail, end }: TakenAnswer): boolean {
    const isChunked = /^transfer-encoding: chunked/im.test(start);
    return isChunked ? tail.endsWith("0\r\n\r\n") : end === "end";
}

// Its connection was closed in order, which is how such an answer ends when it is complete. A reset may look like that, too.
test("an answer without a length that is cut by the budget does not look complete", async () => {
    const { callers, open, cutAnswers, openClient, close } = await startServer();
    const clients = Array.from({ length: 6 }, () => {
        const socket = openClient(emptyRequest).pause();
        const taken: TakenAnswer = { bytes: 0, start: "", tail: "", end: undefined };
        socket.on("error", error => taken.end = (error as NodeJS.ErrnoException).code ?? error.message);
        socket.on("end", () => taken.end ??= "end");
        socket.on("data", chunk => {
            taken.bytes += chunk.length;
            taken.start = taken.start.length < 1_000 ? taken.start + chunk.toString("latin1", 0, 1_000) : taken.start;
            taken.tail = (taken.tail + chunk.toString("latin1", Math.max(0, chunk.length - 8))).slice(-8);
        });
        return { socket, taken };
    });
    await waitUntil(() => open.length === clients.length);
    const answer: BackendAnswer = {
        ...createResponseHead(200),
        endsWithChannel: true,
        body: Buffer.alloc(12 * megabyte, "a"),
    };
    open.forEach(requestId => callers.writeWhole(requestId, answer));
    await waitUntil(() => cutAnswers.length > 0);
    clients.forEach(({ socket }) => socket.resume());
    await waitUntil(() => clients.every(({ taken }) => taken.end !== undefined || looksComplete(taken)));
    const states = clients.map(({ taken }) => `${taken.bytes} bytes, end: ${taken.end ?? "none"}`).join("; ");
    const incomplete = clients.filter(({ taken }) => taken.bytes < answer.body.length);
    close();
    assert.ok(incomplete.length > 0, "some were cut");
    assert.is(incomplete.filter(({ taken }) => looksComplete(taken)).length, 0, states);
    assert.ok(clients.every(({ taken }) => taken.bytes < answer.body.length || looksComplete(taken)), states);
});

// The largest connection was closed, whatever it held: an answer that can't be given again, rather than a body that can.
test("beyond the budget incomplete bodies are rejected before an answer is cut", async () => {
    const { callers, open, cutAnswers, openClient, close } = await startServer();
    openClient(emptyRequest).pause();
    await waitUntil(() => open.length === 1);
    const body = Buffer.alloc(3.9 * megabyte);
    callers.writeWhole(open[0], { ...createResponseHead(200), endsWithChannel: false, body });
    const bodySize = 3 * megabyte;
    const rejected = Array.from({ length: 5 }, () => {
        const socket = openClient(`POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: ${bodySize}\r\n\r\n`);
        socket.write(Buffer.alloc(bodySize - 1));
        return new Promise<boolean>(resolve => {
            socket.on("error", () => undefined);
            socket.once("data", data => resolve(data.toString("latin1").startsWith("HTTP/1.1 503")));
            setTimeout(resolve, 2_000, false);
        });
    });
    const rejections = (await Promise.all(rejected)).filter(Boolean).length;
    close();
    assert.ok(rejections > 0 || cutAnswers.length > 0, "the budget was exceeded");
    assert.is(cutAnswers.filter(({ reason }) => reason === "budget").length, 0, `${rejections} bodies were rejected`);
});

// Its answer counted as given, and no line named the request.
test("a whole answer whose channel closes before the caller has taken it is reported", async () => {
    const { callers, open, cutAnswers, openClient, close } = await startServer();
    const client = openClient(emptyRequest).pause();
    await waitUntil(() => open.length === 1);
    callers.writeWhole(open[0], { ...createResponseHead(200), body: Buffer.alloc(8 * megabyte) });
    await pause(50);
    client.resetAndDestroy();
    await waitUntil(() => cutAnswers.length > 0);
    close();
    assert.equal(cutAnswers.map(({ reason, isWritten }) => ({ reason, isWritten })), [
        { reason: "closed", isWritten: true },
    ]);
    assert.ok(cutAnswers[0].unsentBytes > 0);
});

test("an answer that its caller has taken is not reported as cut", async () => {
    const { callers, open, cutAnswers, openClient, close } = await startServer();
    const client = openClient(emptyRequest);
    client.on("data", () => undefined);
    await waitUntil(() => open.length === 1);
    callers.writeWhole(open[0], { ...createResponseHead(200), body: Buffer.alloc(1_000) });
    await pause(50);
    client.destroy();
    await pause(50);
    close();
    assert.equal(cutAnswers, []);
});

test.run();
