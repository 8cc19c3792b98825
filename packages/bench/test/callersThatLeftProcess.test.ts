/**
 * Callers that leave while their gateway cannot read.
 */
import type { GatewayProcess } from "@verbenaspring/bench";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

const callers = 50;

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

function openChannels({ callerAddress }: GatewayProcess): Promise<Socket[]> {
    const [host, port] = callerAddress.split(":");
    return Promise.all(Array.from({ length: callers }, async () => {
        const socket = connect({ host, port: Number(port) });
        socket.on("error", () => undefined);
        await once(socket, "connect");
        return socket;
    }));
}

function writeRequest(socket: Socket, caller: number): Promise<void> {
    const head = ["POST /lookup/1 HTTP/1.1", "host: platform.example", `attempt-id: left-${caller}`];
    const text = [...head, "deadline-ms: 5000", "content-length: 4", "", "body"].join("\r\n");
    return new Promise(resolve => socket.write(text, () => resolve()));
}

/**
 * Suspends a gateway, lets callers send requests and leave, and resumes it.
 *
 * @param opensBefore whether the callers open their channels before the gateway is suspended
 * @returns the number of requests that a server ran
 */
async function countRunsForCallersThatLeft(opensBefore: boolean): Promise<number> {
    const cluster = await GatewayCluster.start(1);
    try {
        const server = await cluster.addServer("w1", "plain", 5);
        const [gateway] = cluster.gateways;
        const early = opensBefore ? await openChannels(gateway) : undefined;
        await pause(200);
        gateway.child.kill("SIGSTOP");
        await pause(100);
        const sockets = early ?? await openChannels(gateway);
        await Promise.all(sockets.map(writeRequest));
        sockets.forEach(socket => socket.destroy());
        await pause(700);
        gateway.child.kill("SIGCONT");
        await pause(1_500);
        return server.runs().length;
    }
    finally {
        await cluster.stop();
    }
}

// Requests were read and sent on before the end of their channel was read (GONE).
test("requests of callers that left before they were read are not sent to servers, on new channels", async () =>
    assert.is(await countRunsForCallersThatLeft(false), 0));

test("requests of callers that left before they were read are not sent to servers, on open channels", async () =>
    assert.is(await countRunsForCallersThatLeft(true), 0));

test.run();
