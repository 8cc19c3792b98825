/**
 * Streams whose events have ids beyond the integers that a number can hold exactly, such as times in nanoseconds.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

const events = Array.from(
    { length: 20 },
    (_, index) => `id: ${1_765_121_000_000_000_000n + BigInt(index)}\ndata: ${index}\n\n`,
);

// Ids that became the same number were taken for one event that was repeated.
test("callers get each event of a stream whose ids are larger than any exact number", async () => {
    const cluster = await GatewayCluster.start(1);
    const engine = createServer(({ headers }, response) => {
        response.writeHead(200, {
            "attempt-id": headers["attempt-id"],
            "response-seal": "s",
            "content-type": "text/event-stream",
        });
        events.forEach(event => response.write(event));
        response.end();
    });
    try {
        await new Promise<void>(resolve => engine.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(engine.address() as AddressInfo).port}`;
        const record = { service: "engine", address, zone: "near", slots: 8, state: "ready" };
        cluster.store.put("keyed.servers", "x", record);
        await cluster.waitUntilKnown(cluster.gateways[0], "x");
        const { body, isComplete } = await cluster.sendRequest(cluster.gateways[0], "/plan/1");
        assert.is(body, events.join(""));
        assert.ok(isComplete);
    }
    finally {
        engine.closeAllConnections();
        engine.close();
        await cluster.stop();
    }
});

test.run();
