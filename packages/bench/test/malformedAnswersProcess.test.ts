/**
 * The gateway as it is deployed, and backend servers whose answers are no HTTP. What its HTTP client throws must not stop
 * it: an assertion in the bundle made Node.js parse one line of 290 KB for its message, for 4 to 8 s.
 */
import { type GatewayProcess, isGatewayProcessReady, waitUntil } from "@verbenaspring/bench";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { buildDeployedGateway, GatewayCluster } from "./gatewayCluster.js";

const malformedAnswers: readonly string[] = [
    "HTTP/1.1 000 \r\n\r\n",
    "HTTP/1.1 099 OK\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 999999999999 OK\r\n\r\n",
    "HTTP/9.9 200 OK\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n".repeat(20),
    "\0".repeat(2_000),
    "SSH-2.0-OpenSSH\r\n",
];

/** The load balancer asks once a second, and takes a gateway out that doesn't answer. */
const readinessInterval = 1_000;

async function worstReadiness(gateway: GatewayProcess, run: () => Promise<void>): Promise<number> {
    let worst = 0;
    const finished = run();
    let isFinished = false;
    void finished.finally(() => isFinished = true);
    while (!isFinished) {
        const askedAt = performance.now();
        assert.ok(await isGatewayProcessReady(gateway));
        worst = Math.max(worst, performance.now() - askedAt);
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    await finished;
    return worst;
}

test("answers that are no HTTP don't stop the deployed gateway", async () => {
    const machine = { memoryMb: 178, maxFds: 4_096 };
    const cluster = await GatewayCluster.start(1, machine, buildDeployedGateway());
    const [gateway] = cluster.gateways;
    try {
        for (const [index, malformed] of malformedAnswers.entries()) {
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.on("data", () => socket.write(malformed));
            }).listen(0, "127.0.0.1");
            await once(server, "listening");
            const id = `w${index}`;
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const record = { service: "plain", address, zone: "near", slots: 8, state: "ready" };
            cluster.store.put("keyed.servers", id, record);
            await cluster.waitUntilKnown(gateway, id);
            const worst = await worstReadiness(gateway, async () => {
                const { status } = await cluster.sendRequest(gateway, "/lookup/1");
                assert.ok(status >= 500 && status < 600, `${status} for ${JSON.stringify(malformed)}`);
            });
            assert.ok(worst < readinessInterval, `${Math.round(worst)} ms for ${JSON.stringify(malformed)}`);
            cluster.store.put("keyed.servers", id, undefined);
            await waitUntil(`${id} is gone`, () => gateway.output().includes(`server=${id} change=removed`));
            server.close();
        }
    }
    finally {
        await cluster.stop();
    }
});

const sealedHead = "Attempt-Id: ATTEMPT\r\nResponse-Seal: s\r\n";
const invalidStatusLines = [
    "HTTP/1.1 000 Text",
    "HTTP/1.1 099 Text",
    "HTTP/1.1 600 Text",
    "HTTP/1.1 999 Text",
    "HTTP/2.0 200 Text",
];
const wholeAnswers = [
    `${sealedHead}content-length: 2\r\n\r\nhi`,
    `${sealedHead}connection: close\r\n\r\nhi`,
    `${sealedHead}Not-Executed: 1\r\ncontent-length: 0\r\n\r\n`,
    `${sealedHead}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n`,
];
const invalidAnswers = invalidStatusLines.flatMap(line => wholeAnswers.map(rest => `${line}\r\n${rest}`));

// Callers got such answers with their seals, and 503, which promises that a request did not run, for one that may have.
test("callers get no answer with an invalid status line, though it is sealed, and no promise for it", async () => {
    const cluster = await GatewayCluster.start(1);
    const [gateway] = cluster.gateways;
    const faults: string[] = [];
    try {
        for (const [index, answer] of invalidAnswers.entries()) {
            let runs = 0;
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.on("data", data => {
                    const [, attempt] = /attempt-id: (\S+)/i.exec(data.toString("latin1")) ?? [];
                    if (attempt !== undefined) {
                        runs++;
                        socket.write(answer.replace("ATTEMPT", attempt));
                        if (answer.includes("connection: close")) {
                            socket.end();
                        }
                    }
                });
            }).listen(0, "127.0.0.1");
            await once(server, "listening");
            const id = `x${index}`;
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const record = { service: "plain", address, zone: "near", slots: 8, state: "ready" };
            cluster.store.put("keyed.servers", id, record);
            await cluster.waitUntilKnown(gateway, id);
            const { status, headers } = await cluster.sendRequest(gateway, "/confirm/1");
            if (status !== 502 || headers["response-seal"] !== undefined || runs !== 1) {
                faults.push(`${status} after ${runs} runs for ${JSON.stringify(answer)}`);
            }
            cluster.store.put("keyed.servers", id, undefined);
            await waitUntil(`${id} is gone`, () => gateway.output().includes(`server=${id} change=removed`));
            server.close();
        }
        assert.equal(faults, []);
    }
    finally {
        await cluster.stop();
    }
});

const malformedFields = ["a b: v", "a\tb: v", "a\0b: v", "a\x01b: v", "a\x1fb: v", "a\x7fb: v", "a : v", ": v"];

test("callers get no answer with a blank or a control byte in the name of a field", async () => {
    const cluster = await GatewayCluster.start(1);
    const [gateway] = cluster.gateways;
    const answers = malformedFields.flatMap(field =>
        wholeAnswers.flatMap(rest => [`${field}\r\n${rest}`, rest.replace("\r\n\r\n", `\r\n${field}\r\n\r\n`)])
    );
    const sent: string[] = [];
    const faults: string[] = [];
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const [, attempt] = /attempt-id: (\S+)/i.exec(data.toString("latin1")) ?? [];
            const answer = attempt === undefined ? undefined : answers[sent.length];
            if (answer !== undefined) {
                sent.push(answer);
                socket.end(`HTTP/1.1 200 OK\r\n${answer.replace("ATTEMPT", attempt!)}`, "latin1");
            }
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    try {
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        cluster.store.put("keyed.servers", "x", { service: "plain", address, zone: "near", slots: 8, state: "ready" });
        await cluster.waitUntilKnown(gateway, "x");
        for (const answer of answers) {
            const { status, headers } = await cluster.sendRequest(gateway, "/confirm/1");
            if (status !== 502 || headers["response-seal"] !== undefined || sent.at(-1) !== answer) {
                faults.push(`${status} for ${JSON.stringify(answer)}`);
            }
        }
        assert.equal(faults, []);
        assert.equal(sent, answers);
    }
    finally {
        await cluster.stop();
        server.close();
    }
});

test.run();
