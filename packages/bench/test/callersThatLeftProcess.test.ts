/**
 * Callers that leave while their gateway or entry cannot read.
 */
import type { ClusterProcess } from "@verbenaspring/bench";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { countRuns, key, startSmallCluster } from "./clusterBuilders.js";
import { GatewayCluster } from "./gatewayCluster.js";

const callers = 50;

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

function openChannels(address: string): Promise<Socket[]> {
    const [host, port] = address.split(":");
    return Promise.all(Array.from({ length: callers }, async () => {
        const socket = connect({ host, port: Number(port) });
        socket.on("error", () => undefined);
        await once(socket, "connect");
        return socket;
    }));
}

function writeRequest(socket: Socket, path: string, headers: readonly string[], body: string): Promise<void> {
    const head = [`POST ${path} HTTP/1.1`, ...headers, `content-length: ${body.length}`];
    return new Promise(resolve => socket.write([...head, "", body].join("\r\n"), () => resolve()));
}

interface SuspendedProcess extends Pick<ClusterProcess, "child"> {
    readonly callerAddress: string;
}

/**
 * Suspends a process, lets callers send requests and leave, and resumes it.
 *
 * @param opensBefore whether the callers open their channels before the process is suspended
 */
async function leaveWhileSuspended(
    { child, callerAddress }: SuspendedProcess,
    opensBefore: boolean,
    send: (socket: Socket, caller: number) => Promise<void>,
): Promise<void> {
    const early = opensBefore ? await openChannels(callerAddress) : undefined;
    await pause(200);
    child.kill("SIGSTOP");
    await pause(100);
    const sockets = early ?? await openChannels(callerAddress);
    await Promise.all(sockets.map(send));
    sockets.forEach(socket => socket.destroy());
    await pause(700);
    child.kill("SIGCONT");
    await pause(1_500);
}

async function countRunsAtGateway(opensBefore: boolean): Promise<number> {
    const cluster = await GatewayCluster.start(1);
    try {
        const server = await cluster.addServer("w1", "plain", 5);
        await leaveWhileSuspended(cluster.gateways[0], opensBefore, (socket, caller) => {
            const headers = ["host: platform.example", `attempt-id: left-${caller}`, "deadline-ms: 5000"];
            return writeRequest(socket, "/lookup/1", headers, "body");
        });
        return server.runs().length;
    }
    finally {
        await cluster.stop();
    }
}

// Requests were read and sent on before the end of their channel was read (GONE).
test("requests of callers that left before they were read are not sent to servers, on new channels", async () =>
    assert.is(await countRunsAtGateway(false), 0));

test("requests of callers that left before they were read are not sent to servers, on open channels", async () =>
    assert.is(await countRunsAtGateway(true), 0));

// After a delay of the loop timers run before sockets are read (GONE).
test("an unanswered request is not repeated for a caller that left while the gateway could not read", async () => {
    const cluster = await GatewayCluster.start(1);
    try {
        const servers = [await cluster.addServer("w1", "plain", 5), await cluster.addServer("w2", "plain", 5)];
        servers.forEach(server => server.setBehaviour("silent"));
        const [{ child, callerAddress }] = cluster.gateways;
        const [socket] = await openChannels(callerAddress);
        await writeRequest(
            socket,
            "/lookup/1",
            ["host: platform.example", "attempt-id: left", "deadline-ms: 5000"],
            "body",
        );
        await pause(300);
        child.kill("SIGSTOP");
        await pause(100);
        socket.destroy();
        // An idempotent request is repeated after three seconds of silence.
        await pause(3_200);
        child.kill("SIGCONT");
        await pause(1_000);
        assert.is(servers.reduce((sum, server) => sum + server.runs().length, 0), 1);
    }
    finally {
        await cluster.stop();
    }
});

test("requests of callers that left before they were read are not sent to servers by an entry", async () => {
    const cluster = await startSmallCluster();
    try {
        await leaveWhileSuspended(cluster.entries[0], false, (socket, caller) => {
            const headers = ["host: h", `authorization: Bearer ${key}`, "content-type: application/json"];
            return writeRequest(socket, "/services/booking/slots/confirm", headers, `{"booking":"left-${caller}"}`);
        });
        let runs = 0;
        for (let caller = 0; caller < callers; caller++) {
            runs += await countRuns(cluster, `left-${caller}`);
        }
        assert.is(runs, 0);
    }
    finally {
        await cluster.stop();
    }
});

test.run();
