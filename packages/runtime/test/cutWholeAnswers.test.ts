/**
 * Whole answers that are cut, at the clients of the sidecar's backend server, of the instance list, of the log, of the
 * platform's store, and of the reports and migrations of backend servers.
 */
import { identifier } from "@verbenaspring/model";
import { requestMigration } from "@verbenaspring/platform";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { answerReaders, endOfCall, work } from "./answerReaders.js";

type End = (socket: Socket) => void;

const reset: End = socket => void socket.resetAndDestroy();
const end: End = socket => void socket.resume().end();

/** Calls a server that sends an answer and ends the connection a while later. */
async function callServer<Result>(
    answer: string,
    endSocket: End,
    delay: number,
    call: (address: string) => Promise<Result>,
): Promise<Result> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.pause();
            socket.write(
                answer,
                "latin1",
                () => delay === 0 ? endSocket(socket) : setTimeout(endSocket, delay, socket),
            );
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const result = await call(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    server.close();
    return result;
}

const okHead = "HTTP/1.1 200 OK\r\n";
const delays = [0, 0, 20];

// Callers of services got the part as the answer with its status, and the other clients read what had arrived: the HTTP
// client takes a reset for the end of a body without a length.
for (const [name, { body, accepts }] of Object.entries(answerReaders)) {
    test(`the answer to ${name} without a length is complete at the orderly end of its connection only`, async () => {
        for (const delay of delays) {
            const answer = `${okHead}\r\n${body}`;
            assert.not(await callServer(answer, reset, delay, accepts), `reset after ${delay} ms`);
            assert.ok(await callServer(answer, end, delay, accepts), `ended after ${delay} ms`);
        }
    });

    test(`the answer to ${name} is not complete if its connection ends before its length or its last chunk`, async () => {
        const framings = [
            `content-length: ${body.length + 1}\r\n\r\n${body}`,
            `transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n`,
        ];
        for (const framing of framings.flatMap(text => [text, `connection: close\r\n${text}`])) {
            for (const delay of delays) {
                for (const endSocket of [reset, end]) {
                    assert.not(await callServer(okHead + framing, endSocket, delay, accepts), framing);
                }
            }
        }
    });
}

// It counted as a refusal that keeps no memory, although the name of the memory may be in the part that is lacking.
test("the refusal of a migration that is cut is not a refusal", async () => {
    const answer = "HTTP/1.1 503 Service Unavailable\r\n\r\n{\"handle\":";
    for (const delay of delays) {
        const move = await callServer(
            answer,
            reset,
            delay,
            address => requestMigration(address, identifier("r"), "127.0.0.2:80", true, 1_000),
        );
        assert.is(move.kind, "failed");
    }
});

test("a generation whose stream is cut before its last event is broken", async () => {
    const answer = `${okHead}\r\ndata: {"from": 0, "texts": ["a"]}\n\n`;
    for (const delay of delays) {
        for (const endSocket of [reset, end]) {
            const kind = await callServer(
                answer,
                endSocket,
                delay,
                address => endOfCall(address, backend => backend.start(identifier("g"), identifier("b"), work, 0, "t")),
            );
            assert.is(kind, "generationBroken");
        }
    }
});

test.run();
