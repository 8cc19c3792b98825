/**
 * A gateway that reads requests late.
 */
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

const timeLimit = 1_500;
/** What an answer may take beyond the time limit: ticks of 50 ms, and the machine's delays. */
const tolerance = 250;

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

// The time limit of a request began when the gateway read it, so its answer came as late as the read (seed 415 of the soak).
test("a caller gets a final answer within its time limit although its request was read late", async () => {
    const cluster = await GatewayCluster.start(1);
    try {
        const server = await cluster.addServer("w1", "plain", 5);
        server.setBehaviour("silent");
        const [{ child, callerAddress }] = cluster.gateways;
        const [host, port] = callerAddress.split(":");
        const socket = connect({ host, port: Number(port) });
        await once(socket, "connect");
        await pause(200);
        child.kill("SIGSTOP");
        const head = [
            "POST /confirm/1 HTTP/1.1",
            "host: platform.example",
            "attempt-id: late",
            `deadline-ms: ${timeLimit}`,
        ];
        socket.write([...head, "content-length: 4", "", "body"].join("\r\n"));
        const sentAt = performance.now();
        await pause(700);
        child.kill("SIGCONT");
        const [answer] = await once(socket, "data") as [Buffer];
        const took = performance.now() - sentAt;
        socket.destroy();
        assert.match(answer.toString("latin1"), /^HTTP\/1\.1 504 /);
        assert.ok(took <= timeLimit + tolerance, `the answer took ${took} ms`);
    }
    finally {
        await cluster.stop();
    }
});

test.run();
