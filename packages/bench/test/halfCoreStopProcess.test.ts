/**
 * A planned stop of a gateway that gets the processor for half of each tenth of a second.
 */
import { createServer } from "node:http";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster, registerServer } from "./gatewayCluster.js";

const answerBytes = 14 * 1024 * 1024;
const pause = 50;
/** When the platform kills the process. */
const grace = 8_000;
/** What the process has to spare when it ends by itself. */
const spareTime = 100;

/** Sends a request and leaves most of its answer unread. Resolves when the answer has begun. */
async function leaveUnread(address: string): Promise<void> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    socket.write(
        "POST /confirm/unread HTTP/1.1\r\nhost: platform.example\r\nattempt-id: unread\r\n"
            + "deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n",
    );
    await new Promise<void>(resolve => {
        socket.once("data", chunk => {
            socket.pause();
            assert.is(chunk.toString("latin1", 9, 12), "200");
            resolve();
        });
    });
}

// The process ended by itself only about when it was to be killed.
test("a gateway with half a core ends a stop before its time is over, and its last answers arrive", async () => {
    const cluster = await GatewayCluster.start(1, { memoryMb: 512, maxFds: 4_096 });
    const server = createServer((request, response) => {
        request.resume();
        const attemptId = String(request.headers["attempt-id"]);
        if (attemptId === "unread") {
            response.writeHead(200, {
                "attempt-id": attemptId,
                "response-seal": "seal",
                "content-length": answerBytes,
            });
            response.end(Buffer.alloc(answerBytes, "x"));
        }
    });
    let signals: NodeJS.Timeout | undefined;
    try {
        cluster.configure(2, [], cluster.store, 60_000);
        await registerServer(cluster, server, 8);
        const [gateway] = cluster.gateways;
        let isStopped = false;
        const answers = ["a", "b", "c", "d"].map(name => cluster.sendRequest(gateway, `/confirm/${name}`));
        await leaveUnread(gateway.callerAddress);
        await new Promise(resolve => setTimeout(resolve, 300));
        signals = setInterval(() => {
            isStopped = !isStopped;
            gateway.child.kill(isStopped ? "SIGSTOP" : "SIGCONT");
        }, pause);
        const stoppedAt = performance.now();
        gateway.child.kill("SIGTERM");
        const statuses = (await Promise.allSettled(answers)).map(answer =>
            answer.status === "fulfilled" ? answer.value.status : String(answer.reason)
        );
        assert.is(await gateway.exited, 0);
        const elapsed = performance.now() - stoppedAt;
        assert.equal(statuses, [504, 504, 504, 504]);
        assert.match(gateway.output(), /event=stopping .*unsentAnswers=1/);
        assert.ok(elapsed < grace - spareTime, `the process ended after ${Math.round(elapsed)} ms`);
    }
    finally {
        clearInterval(signals);
        cluster.gateways.forEach(({ child }) => child.kill("SIGCONT"));
        await cluster.stop();
        server.closeAllConnections();
        server.close();
    }
});

test.run();
