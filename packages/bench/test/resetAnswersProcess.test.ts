/**
 * Backend servers that answer a long upload at once, without a length, and end the channel while it is still written.
 */
import { type GatewayProcess, waitUntil } from "@verbenaspring/bench";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

const uploadBytes = 400_000;
const event = "id: 1\ndata: a\n\n";
const routes = [
    { path: "/lookup/1", service: "plain", headers: "", part: "part" },
    { path: "/confirm/1", service: "plain", headers: "", part: "part" },
    { path: "/plan/1", service: "engine", headers: "content-type: text/event-stream\r\n", part: event },
];
const framings = ["length", "chunks"] as const;

/** An answer as a caller that follows its framing reads it. */
interface ReadAnswer {
    readonly status: string;
    readonly body: string;
    readonly isComplete: boolean;
}

/** Uploads a body to a gateway, and reads the answer until it is complete or its connection has ended. */
async function upload(gateway: GatewayProcess, path: string, framing: typeof framings[number]): Promise<ReadAnswer> {
    const [host, port] = gateway.callerAddress.split(":");
    const socket = connect(Number(port), host);
    const body = "x".repeat(uploadBytes);
    const [header, content] = framing === "length"
        ? [`content-length: ${uploadBytes}`, body]
        : ["transfer-encoding: chunked", `${uploadBytes.toString(16)}\r\n${body}\r\n0\r\n\r\n`];
    socket.write(
        `POST ${path} HTTP/1.1\r\nhost: platform.example\r\nattempt-id: ${Math.random()}\r\ndeadline-ms: 3000\r\n`
            + `token-usage: 10,300\r\n${header}\r\n\r\n${content}`,
    );
    let text = "";
    let hasEnded = false;
    const answer = await new Promise<ReadAnswer>(resolve => {
        const parse = (): void => {
            const parsed = parseAnswer(text, hasEnded);
            if (parsed.isComplete || hasEnded || socket.destroyed) {
                resolve(parsed);
            }
        };
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            parse();
        });
        socket.on("end", () => {
            hasEnded = true;
            parse();
        });
        socket.on("error", () => undefined);
        socket.on("close", parse);
    });
    socket.destroy();
    return answer;
}

function parseAnswer(text: string, hasEnded: boolean): ReadAnswer {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd === -1) {
        return { status: "none", body: "", isComplete: false };
    }
    const head = text.slice(0, headEnd).toLowerCase();
    const body = text.slice(headEnd + 4);
    const status = text.slice(9, 12);
    const length = /^content-length: (\d+)$/m.exec(head)?.[1];
    if (length !== undefined) {
        return { status, body, isComplete: body.length === Number(length) };
    }
    const isChunked = /^transfer-encoding: chunked$/m.test(head);
    return { status, body, isComplete: isChunked ? body.endsWith("0\r\n\r\n") : hasEnded };
}

/** Answers as soon as the head of a request has come, and calls `end` after the answer was written. */
function answerEarly(socket: Socket, headers: string, part: string, end: () => void): void {
    socket.on("error", () => undefined);
    socket.once("data", data => {
        const [, attempt] = /attempt-id: (\S+)/i.exec(data.toString("latin1")) ?? [];
        if (attempt === undefined) {
            socket.end("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
            return;
        }
        socket.pause();
        socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nResponse-Seal: s\r\n${headers}\r\n${part}`, end);
    });
}

interface UploadResults {
    readonly answers: readonly ReadAnswer[];
    readonly runs: number;
}

/** Uploads to each route in each framing, while the only server of the route ends the channel of each answer with `end`. */
async function uploadToAll(tries: number, end: (socket: Socket) => void): Promise<UploadResults> {
    const cluster = await GatewayCluster.start(1);
    const answers: ReadAnswer[] = [];
    let runs = 0;
    try {
        const [gateway] = cluster.gateways;
        cluster.configure(2, [], cluster.store, 5_000, 1_000_000);
        await waitUntil("the limit is in force", () => gateway.output().includes("version=2"));
        for (const [index, { path, service, headers, part }] of routes.entries()) {
            const server = createServer(socket =>
                answerEarly(socket, headers, part, () => {
                    runs++;
                    end(socket);
                })
            ).listen(0, "127.0.0.1");
            await once(server, "listening");
            const id = `x${index}`;
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            cluster.store.put("keyed.servers", id, { service, address, zone: "near", slots: 8, state: "ready" });
            await cluster.waitUntilKnown(gateway, id);
            for (let count = 0; count < tries * framings.length; count++) {
                answers.push(await upload(gateway, path, framings[count % framings.length]));
            }
            cluster.store.put("keyed.servers", id, undefined);
            await waitUntil(`${id} is gone`, () => gateway.output().includes(`server=${id} change=removed`));
            server.close();
        }
        return { answers, runs };
    }
    finally {
        await cluster.stop();
    }
}

// Callers got the part as a complete answer with status 200.
test("callers get no complete answer if its channel is reset while a long upload is written", async () => {
    const { answers, runs } = await uploadToAll(8, socket => void socket.resetAndDestroy());
    const whole = answers.filter(({ status, isComplete }) => status === "200" && isComplete);
    assert.ok(runs >= answers.length / 2, `${runs} runs of ${answers.length} requests`);
    assert.is(whole.length, 0, `${whole.length} of ${answers.length}: ${whole.map(({ body }) => body).join()}`);
});

// The platform's pages allow it: such an answer ends with its channel.
test("callers get the whole answer if its channel ends in order while a long upload is written", async () => {
    const { answers } = await uploadToAll(2, socket => void socket.resume().end());
    const faults = answers.filter(({ status, isComplete }) => status !== "200" || !isComplete);
    assert.equal(faults, []);
});

/** Large answers of which a part arrives; together they take the room that a gateway has for answers. */
const largeAnswers = 12;
const largeBytes = 5_000_000;
const partBytes = 70_000;

/** Sends a part of a large answer, or a part of an answer without a length and then a reset. */
function answerInPart(socket: Socket, attempt: string): void {
    const isLarge = attempt.startsWith("large");
    const length = isLarge ? `content-length: ${largeBytes}\r\n` : "";
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nResponse-Seal: s\r\n${length}\r\n`);
    socket.write("x".repeat(partBytes));
    if (!isLarge) {
        setTimeout(() => socket.resetAndDestroy(), 200);
    }
}

// The process ended with an assertion of its HTTP client, and with it the requests of all callers.
test("a gateway goes on if a channel is reset while its answer waits for room", async () => {
    const cluster = await GatewayCluster.start(1, { memoryMb: 178, maxFds: 4_096 });
    const [gateway] = cluster.gateways;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const [, attempt] = /attempt-id: (\S+)/i.exec(data.toString("latin1")) ?? [];
            if (attempt !== undefined) {
                answerInPart(socket, attempt);
            }
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    try {
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        cluster.store.put("keyed.servers", "x", { service: "plain", address, zone: "near", slots: 64, state: "ready" });
        await cluster.waitUntilKnown(gateway, "x");
        const send = (attemptId: string): Promise<number> =>
            cluster.sendRequest(gateway, "/confirm/1", { attemptId }).then(({ status }) => status, () => 0);
        const large = Array.from({ length: largeAnswers }, (_, index) => send(`large-${index}`));
        await new Promise(resolve => setTimeout(resolve, 300));
        const statuses = await Promise.all(Array.from({ length: 4 }, (_, index) => send(`reset-${index}`)));
        assert.is(gateway.child.exitCode, null, gateway.output().slice(-600));
        assert.equal(statuses, Array(4).fill(502));
        gateway.child.kill("SIGKILL");
        await Promise.all(large);
    }
    finally {
        await cluster.stop();
        server.close();
    }
});

test.run();
