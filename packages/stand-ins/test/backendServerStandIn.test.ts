import { type BackendServerStandIns, createBackendServerStandIns, startPlatformStore } from "@verbenaspring/stand-ins";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";

const engine = {
    kind: "engine",
    id: "e1",
    service: "engine",
    slots: 4,
    memoryTokens: 1_000,
    tokensPerEvent: 4,
    stepTime: 5,
    stepTimePerRun: 0,
    prefillRate: 10,
    transferRate: 10,
} as const;

async function withServers(run: (servers: BackendServerStandIns) => Promise<void>): Promise<void> {
    const store = await startPlatformStore();
    const servers = createBackendServerStandIns(store);
    try {
        await run(servers);
    }
    finally {
        await servers.close();
        await store.close();
    }
}

/** Sends a call for a stream, and resolves to its connection and to what arrives on it until `isEnough` or the end. */
async function openStream(
    address: string,
    length: number,
    isEnough: (text: string) => boolean = () => false,
): Promise<{ readonly socket: Socket; readonly text: () => string; }> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    let received = "";
    const lines = [`POST /plan/1?length=${length} HTTP/1.1`, "Host: engine", "Attempt-Id: a", "Deadline-Ms: 9000"];
    socket.write([...lines, "Token-Usage: 10,1000", "content-length: 0", "", ""].join("\r\n"));
    await new Promise<void>((resolve, reject) => {
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            if (isEnough(received)) {
                resolve();
            }
        });
        socket.on("end", resolve);
        socket.on("error", reject);
    });
    return { socket, text: () => received };
}

test("an unframed stream has neither a length nor chunks, and ends with its connection", async () => {
    await withServers(async servers => {
        const { address } = await servers.start({ ...engine, isUnframed: true });
        const { text } = await openStream(address, 8);
        assert.not(/^(content-length|transfer-encoding):/im.test(text()));
        assert.equal(text().match(/^id: \d+$/gm), ["id: 1", "id: 2"]);
    });
});

test("a crash closes the connection of an unframed stream in order", async () => {
    await withServers(async servers => {
        const server = await servers.start({ ...engine, isUnframed: true });
        const { socket, text } = await openStream(server.address, 800, received => received.includes("id: 3\n"));
        const ended = once(socket, "end");
        await server.crash();
        await ended;
        assert.match(text(), /^id: 3$/m);
        assert.not.match(text(), /^id: 200$/m);
    });
});

test("the report of an engine says when it started, as its record does", async () => {
    await withServers(async servers => {
        const server = await servers.start(engine);
        const readStart = async (): Promise<unknown> => {
            const response = await fetch(`http://${server.address}/report`);
            return (await response.json() as { readonly born: unknown; }).born;
        };
        const first = await readStart();
        assert.is(first, servers.fleet.findStart(server.address));
        await server.restart();
        assert.is.not(await readStart(), first);
    });
});

test.run();
