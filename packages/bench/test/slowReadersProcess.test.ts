/**
 * Callers that read a large answer slowly while their gateway is stopped.
 */
import { createServer } from "node:http";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster, registerServer } from "./gatewayCluster.js";

const megabyte = 1024 * 1024;
/** More than the kernel keeps for the connections between gateway and caller. */
const answerBytes = 14 * megabyte;
const bytesPerSecond = 2.1 * megabyte;
const callers = 3;

/** Sends a request and reads its answer at a given rate. Returns the bytes of the body that arrived. */
function readSlowly(address: string, attemptId: string, begun: () => void): Promise<number> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.write(
        `POST /confirm/1 HTTP/1.1\r\nhost: platform.example\r\nattempt-id: ${attemptId}\r\n`
            + "deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n",
    );
    let received = 0;
    let startedAt = 0;
    return new Promise(resolve => {
        socket.on("data", chunk => {
            if (received === 0) {
                startedAt = performance.now();
                received -= chunk.indexOf("\r\n\r\n") + 4;
                begun();
            }
            received += chunk.length;
            if (received >= answerBytes) {
                socket.destroy();
                return resolve(received);
            }
            const dueAt = startedAt + 1_000 * received / bytesPerSecond;
            socket.pause();
            setTimeout(() => socket.resume(), Math.max(0, dueAt - performance.now()));
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
    });
}

// The process ended as soon as it had handed the answers to its sockets, which cut what the kernel had not taken.
test("a planned stop waits until callers have taken their answers, and ends within its time", async () => {
    const cluster = await GatewayCluster.start(1, { memoryMb: 512, maxFds: 4_096 });
    const server = createServer((request, response) => {
        request.resume();
        response.writeHead(200, {
            "attempt-id": request.headers["attempt-id"],
            "response-seal": "seal",
            "content-length": answerBytes,
        });
        response.end(Buffer.alloc(answerBytes, "x"));
    });
    try {
        await registerServer(cluster, server, 8);
        const [gateway] = cluster.gateways;
        let begun = 0;
        let stoppedAt = 0;
        const stopOnceBegun = (): void => {
            if (++begun === callers) {
                stoppedAt = performance.now();
                gateway.child.kill("SIGTERM");
            }
        };
        const reads = Array.from(
            { length: callers },
            (_, index) => readSlowly(gateway.callerAddress, `a${index}`, stopOnceBegun),
        );

        assert.equal(await Promise.all(reads), Array.from({ length: callers }, () => answerBytes));
        assert.is(await gateway.exited, 0);
        const elapsed = performance.now() - stoppedAt;
        assert.ok(elapsed < 8_000, `the process ended after ${Math.round(elapsed)} ms`);
    }
    finally {
        await cluster.stop();
        server.closeAllConnections();
        server.close();
    }
});

test.run();
