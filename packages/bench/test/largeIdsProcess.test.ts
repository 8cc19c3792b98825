/**
 * Streams whose events have ids beyond the integers that a number can hold exactly, such as times in nanoseconds.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

const ids = Array.from({ length: 20 }, (_, index) => 1_765_121_000_000_000_000n + BigInt(index));
const events = ids.map((id, index) => `id: ${id}\ndata: ${index}\n\n`);

/** Runs a test on a gateway with an engine that goes on after the event that a request names. */
async function withEngine(run: (cluster: GatewayCluster) => Promise<void>): Promise<void> {
    const cluster = await GatewayCluster.start(1);
    const engine = createServer(({ headers }, response) => {
        response.writeHead(200, {
            "attempt-id": headers["attempt-id"],
            "response-seal": "s",
            "content-type": "text/event-stream",
        });
        const last = headers["last-event-id"]?.toString();
        const next = last === undefined ? 0 : ids.indexOf(BigInt(last)) + 1;
        events.slice(next).forEach(event => response.write(event));
        response.end();
    });
    try {
        await new Promise<void>(resolve => engine.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(engine.address() as AddressInfo).port}`;
        const record = { service: "engine", address, zone: "near", slots: 8, state: "ready" };
        cluster.store.put("keyed.servers", "x", record);
        await cluster.waitUntilKnown(cluster.gateways[0], "x");
        await run(cluster);
    }
    finally {
        engine.closeAllConnections();
        engine.close();
        await cluster.stop();
    }
}

// Ids that became the same number were taken for one event that was repeated.
test("callers get each event of a stream whose ids are larger than any exact number", () =>
    withEngine(async cluster => {
        const { body, isComplete } = await cluster.sendRequest(cluster.gateways[0], "/plan/1");
        assert.is(body, events.join(""));
        assert.ok(isComplete);
    }));

// An id of more than 15 digits is not read, and so the stream begins anew.
test("a caller that resumes a stream after an event with a large id gets no earlier event", () =>
    withEngine(async cluster => {
        const headers = { "last-event-id": String(ids[5]) };
        const { body } = await cluster.sendRequest(cluster.gateways[0], "/note/1", { headers });
        assert.not.ok(ids.slice(0, 6).some(id => body.includes(`id: ${id}\n`)));
    }));

test.run();
