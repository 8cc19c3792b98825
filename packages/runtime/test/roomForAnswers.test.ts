/**
 * Room for large answers: what callers that don't read leave in the process must not keep others from their answers.
 */
import type { BackendAnswer, DecodedHead, HeaderList } from "@verbenaspring/gateway";
import { identifier, type RequestId } from "@verbenaspring/model";
import { answersShare, createBackendChannels, createGatewayCallerServer } from "@verbenaspring/runtime";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, createResponseHead } from "./backendBuilders.js";

const megabyte = 1024 * 1024;
const totalBytes = 12.5 * megabyte;
const memoryBytes = 200 * megabyte;
const pause = (duration: number): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

/** A server that answers each request with as many bytes as the target says. */
async function startBackend() {
    const backend = createServer((request, response) => response.end(Buffer.alloc(Number(request.url!.slice(1)))));
    await new Promise<void>(resolve => backend.listen(0, "127.0.0.1", resolve));
    const close = (): void => {
        backend.close();
        backend.closeAllConnections();
    };
    return { address: `127.0.0.1:${(backend.address() as AddressInfo).port}`, close };
}

function decodeHead(status: number, headers: HeaderList): DecodedHead {
    const hasLength = headers.some(part => part.toLowerCase() === "content-length");
    return {
        ...createResponseHead(status),
        endsWithChannel: !hasLength,
        callerAttemptId: createCall("").head.callerAttemptId,
    };
}

/** A gateway's caller server and channels, joined as its runner joins them, without a reducer. */
async function startGateway(address: string) {
    let count = 0;
    const callers = createGatewayCallerServer(
        (method, target) => ({ ...createCall(address).head, method, target }),
        () => identifier<RequestId>(String(++count)),
        () => 0,
        {
            received: (requestId, { target }) => {
                const call = createCall(address, requestId);
                channels.send({ ...call, head: { ...call.head, method: "GET", target } }, Buffer.alloc(0));
            },
            leftEarly: () => undefined,
            left: () => undefined,
            refused: () => undefined,
            drained: () => undefined,
            answersTaken: () => channels.resumeAnswers(),
        },
        { totalBytes, streamBytes: 64 * 1024, connections: 100 },
    );
    const channels = createBackendChannels(
        { encodeBackendCall: () => ["host", "h"], decodeBackendHead: decodeHead },
        {
            answered: (attemptId, answer: BackendAnswer) => callers.writeWhole(identifier(attemptId), answer),
            opened: () => undefined,
            events: () => undefined,
            ended: () => undefined,
            failed: attemptId => callers.abort(identifier(attemptId)),
        },
        memoryBytes,
        { unreadBytes: () => callers.budget.heldOf("answers"), limitBytes: answersShare * totalBytes },
    );
    await callers.listen("127.0.0.1:0");
    return { callers, channels };
}

// Answers that nobody read filled the room without exceeding the budget, so nothing was cut and nothing else was read.
test("an ordinary caller gets its answer beside callers that don't read theirs", async () => {
    const backend = await startBackend();
    const { callers, channels } = await startGateway(backend.address);
    const open = (bytes: number): Socket => {
        const socket = connect(callers.port(), "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(`GET /${bytes} HTTP/1.1\r\nhost: h\r\n\r\n`);
        return socket;
    };
    const ask = async (limit: number): Promise<number> => {
        const size = megabyte;
        const socket = open(size);
        let received = 0;
        socket.on("data", data => received += data.length);
        const startedAt = performance.now();
        while (received < size && performance.now() - startedAt < limit) {
            await pause(20);
        }
        socket.destroy();
        return received < size ? Infinity : performance.now() - startedAt;
    };
    const alone = await ask(2_000);
    const silent = Array.from({ length: 12 }, () => open(6 * megabyte).pause());
    await pause(1_000);
    const held = Math.round(callers.budget.heldOf("answers") / megabyte);
    const beside = await ask(5_000);
    silent.forEach(socket => socket.destroy());
    callers.close();
    channels.close();
    backend.close();
    assert.ok(alone < 2_000, "alone");
    assert.ok(beside < 5_000, `no answer within 5 s, while callers left ${held} MB unread`);
});

test.run();
