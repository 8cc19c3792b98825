/**
 * Answers with an invalid status line that the sidecar's backend server or the instance list sends.
 */
import { identifier } from "@verbenaspring/model";
import { createBackendClient, readInstances } from "@verbenaspring/runtime";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";

const lines = [
    "1.1 000",
    "1.1 099",
    "1.1 100",
    "1.1 101",
    "1.1 20",
    "1.1 2000",
    "1.1 600",
    "1.1 999",
    "0.9 200",
    "2.0 200",
];
const tokens =
    "data: {\"from\": 0, \"texts\": [\"a\"]}\n\nevent: end\ndata: {\"count\": 1, \"finish_reason\": \"stop\"}\n\n";

type Work = Parameters<ReturnType<typeof createBackendClient>["start"]>[2];

/** Calls a server that answers with a status line; returns the events that end a plain call and a generation. */
async function endsOfCalls(line: string): Promise<string[]> {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            socket.write(`HTTP/${line} Text\r\ncontent-length: ${tokens.length}\r\n\r\n${tokens}`);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const events: string[] = [];
    let resolveEnd = (): void => undefined;
    const backend = createBackendClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, event => {
        events.push(event.kind === "serviceResponded" ? `${event.kind} ${event.status}` : event.kind);
        if (event.kind !== "generationTokens") {
            resolveEnd();
        }
    }, () => undefined);
    const work = { contentType: "", organisation: "o", body: "{}", path: "/", method: "POST" } as unknown as Work;
    await new Promise<void>(resolve => {
        resolveEnd = resolve;
        backend.callService(identifier("c"), identifier("a"), work, 2_000, "t");
    });
    await new Promise<void>(resolve => {
        resolveEnd = resolve;
        backend.start(identifier("g"), identifier("b"), work, 0, "t");
    });
    server.close();
    sockets.forEach(socket => socket.destroy());
    return events;
}

// Callers of services got such a status, and those of generations the tokens.
test("answers of a backend server with an invalid status line fail, and neither status nor tokens are passed on", async () => {
    const faults: string[] = [];
    for (const line of lines) {
        const events = (await endsOfCalls(line)).join();
        if (events !== "serviceFailed,generationBroken") {
            faults.push(`${line}: ${events}`);
        }
    }
    assert.equal(faults, [], `${faults.length} of ${lines.length}`);
    assert.equal(await endsOfCalls("1.0 200"), ["serviceResponded 200", "generationTokens", "generationEnded"]);
});

// A supervisor that keeps the listener accepts connections without a server.
test("a part of a service's answer without a length is not passed on if the service answers nothing after it", async () => {
    for (const answersLater of [true, false]) {
        const sockets: Socket[] = [];
        const server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            const isFirst = sockets.length === 1;
            socket.on("data", () => {
                if (isFirst) {
                    socket.end("HTTP/1.1 200 OK\r\n\r\npart");
                }
                else if (answersLater) {
                    socket.end("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
                }
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const work = { contentType: "", organisation: "o", body: "{}", path: "/", method: "POST" } as unknown as Work;
        const end = await new Promise<string>(resolve => {
            const backend = createBackendClient(address, ({ kind }) => resolve(kind), () => undefined);
            backend.callService(identifier("c"), identifier("a"), work, 500, "t");
        });
        server.close();
        sockets.forEach(socket => socket.destroy());
        assert.is(end, answersLater ? "serviceResponded" : "serviceFailed");
    }
});

test("an instance list in an answer with an invalid status line is not read", async () => {
    const body = "{\"instances\": []}";
    const readFrom = async (line: string): Promise<string> => {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => socket.end(`HTTP/${line} Text\r\ncontent-length: ${body.length}\r\n\r\n${body}`));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const result = await readInstances(address, 2_000).then(() => "read", () => "failed");
        server.close();
        return result;
    };
    const results = await Promise.all(lines.map(readFrom));
    assert.equal(results, lines.map(() => "failed"));
    assert.is(await readFrom("1.1 200"), "read");
});

test.run();
