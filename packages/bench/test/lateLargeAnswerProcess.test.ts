/**
 * Large answers that are asked for during a planned stop, by callers whose earlier answers took long to read.
 */
import { createServer } from "node:http";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { buildDeployedGateway, GatewayCluster, registerServer } from "./gatewayCluster.js";

const megabyte = 1024 * 1024;
const answerBytes = 7 * megabyte;
const bytesPerSecond = 1.3 * megabyte;
const deployedCommand = buildDeployedGateway();

/** Sends a request and reads its answer at a given rate. Returns the status and the bytes of the body that arrived. */
function readSlowly(address: string, attemptId: string): Promise<string> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.write(
        `POST /confirm/1 HTTP/1.1\r\nhost: platform.example\r\nattempt-id: ${attemptId}\r\n`
            + "deadline-ms: 60000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
    );
    let status = "";
    let received = 0;
    let startedAt = 0;
    return new Promise(resolve => {
        socket.on("data", chunk => {
            if (status === "") {
                startedAt = performance.now();
                status = chunk.toString("latin1", 9, 12);
                received -= chunk.indexOf("\r\n\r\n") + 4;
            }
            received += chunk.length;
            socket.pause();
            const dueAt = startedAt + 1_000 * received / bytesPerSecond;
            setTimeout(() => socket.resume(), Math.max(0, dueAt - performance.now()));
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(`${status} ${received}`));
    });
}

// The time that a caller needs to read an answer was not considered when its request was accepted.
test("a request late in a planned stop is refused if its answer could not be read in time", async () => {
    const cluster = await GatewayCluster.start(1, { memoryMb: 350, maxFds: 4_096 }, deployedCommand);
    const ran = new Set<string>();
    const server = createServer((request, response) => {
        const attemptId = String(request.headers["attempt-id"]);
        ran.add(attemptId);
        request.resume();
        response.writeHead(200, {
            "attempt-id": attemptId,
            "response-seal": "seal",
            "content-length": attemptId === "kept" ? 0 : answerBytes,
        });
        if (attemptId === "kept") {
            // Keeps the process running while the late request arrives.
            setTimeout(() => response.end(), 6_500);
        }
        else {
            response.end(Buffer.alloc(answerBytes, "x"));
        }
    });
    try {
        cluster.configure(2, [], cluster.store, 60_000);
        await registerServer(cluster, server, 8);
        const [gateway] = cluster.gateways;
        assert.is(await readSlowly(gateway.callerAddress, "earlier"), `200 ${answerBytes}`);
        gateway.child.kill("SIGTERM");
        const isKept = readSlowly(gateway.callerAddress, "kept");
        await new Promise(resolve => setTimeout(resolve, 6_000));
        const late = await readSlowly(gateway.callerAddress, "late");
        assert.is(await isKept, "200 0");
        assert.ok(late === `200 ${answerBytes}` || late.startsWith("503") && !ran.has("late"), late);
    }
    finally {
        await cluster.stop();
        server.closeAllConnections();
        server.close();
    }
});

test.run();
