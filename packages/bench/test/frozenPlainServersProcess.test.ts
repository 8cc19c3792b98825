/**
 * A plain server that is frozen while it writes a stream: the kernel goes on to accept connections for it.
 */
import { waitUntil } from "@verbenaspring/bench";
import type { ChildProcess } from "node:child_process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";
import { firstStart, spawnEngine } from "./unframedEngines.js";

const events = 200;

/** Starts a server with a listener of its own, and waits until the gateway knows it. */
async function startServer(cluster: GatewayCluster, id: string, service: string): Promise<ChildProcess> {
    const { child, port } = await spawnEngine(id, firstStart);
    const address = `127.0.0.1:${port}`;
    cluster.store.put("keyed.servers", id, { service, address, zone: "near", slots: 64, state: "ready" });
    await cluster.waitUntilKnown(cluster.gateways[0], id);
    return child;
}

/** Sends a stream that may be resumed, freezes its server, and returns what the caller got. */
async function freezeUnderStream(service: "plain" | "engine") {
    const cluster = await GatewayCluster.start(1);
    const children: ChildProcess[] = [];
    const route = {
        name: "tail",
        hostname: "platform.example",
        pathPrefix: "/tail/",
        routeType: "streaming",
        streamResume: true,
        timeoutMs: 8_000,
        targetLatencyMs: 1_000,
        priority: 1,
        service,
        maxAttempts: 3,
        public: true,
    };
    const backend = { kvCapacity: 100_000, kvBytes: 1, replicas: true, migrations: true, stride: 1 };
    try {
        const [gateway] = cluster.gateways;
        cluster.store.put("keyed.op", "config", {
            version: 2,
            routes: [route],
            services: [{
                name: service,
                healthCheckPath: "/healthz",
                ...(service === "engine" ? { backend } : {}),
            }],
            limits: { maxHeaderBytes: 8_192, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        });
        await waitUntil("the route is in force", () => gateway.output().includes("version=2"));
        children.push(await startServer(cluster, "x", service));
        let hasBegun = false;
        const headers = { "stream-length": String(events) };
        const answer = cluster.sendRequest(gateway, "/tail/1", { headers, onHead: () => hasBegun = true });
        await waitUntil("the stream has begun", () => hasBegun);
        children.push(await startServer(cluster, "y", service));
        children[0].kill("SIGSTOP");
        return await answer;
    }
    finally {
        children.forEach(child => child.kill("SIGKILL"));
        await cluster.stop();
    }
}

for (const service of ["engine", "plain"] as const) {
    // A connection that the kernel accepted counted as a sign of life.
    test(`a resumable stream of ${service === "engine" ? "an" : "a"} ${service} server that is frozen goes on at another one`, async () => {
        const { isComplete, body } = await freezeUnderStream(service);
        const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
        assert.equal([isComplete, ids.length], [true, events]);
    });
}

test.run();
