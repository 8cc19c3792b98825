/**
 * Callers that read large answers at a steady pace, more of them than the process has room for at the same time.
 */
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { buildDeployedGateway, GatewayCluster, registerServer } from "./gatewayCluster.js";

const megabyte = 1024 * 1024;
const bytesPerSecond = 1.3 * megabyte;
const callers = 12;
const requestsPerCaller = 2;
const deployedCommand = buildDeployedGateway();

/** Reads one answer of a kept connection at a given rate. Returns its status and the bytes of its body that arrived. */
function readAnswer(socket: Socket): Promise<string> {
    let head = "";
    let received = 0;
    let expected = Infinity;
    const startedAt = performance.now();
    return new Promise(resolve => {
        const finish = (): void => {
            socket.off("data", receive);
            socket.off("close", finish);
            resolve(`${head.slice(9, 12)} ${received}`);
        };
        const receive = (chunk: Buffer): void => {
            received += chunk.length;
            if (expected === Infinity) {
                head += chunk.toString("latin1");
                const end = head.indexOf("\r\n\r\n");
                if (end !== -1) {
                    received = head.length - end - 4;
                    expected = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
                }
            }
            if (received >= expected) {
                return finish();
            }
            socket.pause();
            const dueAt = startedAt + 1_000 * received / bytesPerSecond;
            setTimeout(() => socket.resume(), Math.max(0, dueAt - performance.now()));
        };
        socket.on("data", receive);
        socket.on("close", finish);
    });
}

/** Sends requests one after the other on one connection. */
async function callInSeries(address: string, caller: number): Promise<string[]> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    const answers: string[] = [];
    for (let index = 0; index < requestsPerCaller && !socket.destroyed; index++) {
        const answer = readAnswer(socket);
        socket.write(
            `POST /confirm/1 HTTP/1.1\r\nhost: platform.example\r\nattempt-id: a${caller}-${index}\r\n`
                + "deadline-ms: 60000\r\ncontent-length: 0\r\n\r\n",
        );
        answers.push(await answer);
    }
    socket.destroy();
    return answers;
}

/** The largest resident memory that a process has had. */
function peakMemoryMb(pid: number): number {
    const peakKilobytes = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return Math.round(Number(peakKilobytes) / 1_024);
}

const trials = [
    { memoryMb: 350, answerBytes: 7 * megabyte, isChunked: false },
    { memoryMb: 350, answerBytes: 7 * megabyte, isChunked: true },
    { memoryMb: 200, answerBytes: 5 * megabyte, isChunked: false },
];

for (const { memoryMb, answerBytes, isChunked } of trials) {
    const size = `${answerBytes / megabyte} MB${isChunked ? " in chunks" : ""}`;
    // The bound on unread answers closed the connections of callers that were reading theirs.
    test(`${callers} callers of a gateway with ${memoryMb} MB read answers of ${size} whole`, async () => {
        const cluster = await GatewayCluster.start(1, { memoryMb, maxFds: 4_096 }, deployedCommand);
        let runs = 0;
        const server = createServer((request, response) => {
            runs++;
            request.resume();
            const framingHeaders = isChunked ? {} : { "content-length": answerBytes };
            response.writeHead(200, {
                "attempt-id": request.headers["attempt-id"],
                "response-seal": "seal",
                ...framingHeaders,
            });
            response.end(Buffer.alloc(answerBytes, "x"));
        });
        try {
            cluster.configure(2, [], cluster.store, 60_000);
            await registerServer(cluster, server, 32);
            const [gateway] = cluster.gateways;
            const reads = Array.from({ length: callers }, (_, index) => callInSeries(gateway.callerAddress, index));
            const answers = (await Promise.all(reads)).flat();
            const expected = Array.from({ length: callers * requestsPerCaller }, () => `200 ${answerBytes}`);
            const closed = gateway.output().split("\n").filter(line =>
                /answer_cut|caller_rejected|attempt_failed/.test(line)
            );
            assert.equal(answers, expected, closed.join("\n"));
            assert.is(runs, expected.length);
            const peakMb = peakMemoryMb(gateway.child.pid!);
            assert.ok(peakMb < memoryMb, `${peakMb} MB at most`);
        }
        finally {
            await cluster.stop();
            server.closeAllConnections();
            server.close();
        }
    });
}

test.run();
