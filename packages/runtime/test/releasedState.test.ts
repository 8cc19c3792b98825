/**
 * Nothing is remembered of what is over.
 */
import { type GenerationId, identifier, type RequestId } from "@verbenaspring/model";
import { createBackendClient, createMetrics, createTracing, EntryTelemetry } from "@verbenaspring/runtime";
import { createServer } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";

const requestId = identifier<RequestId>("r");

function createMeter(): EntryTelemetry {
    const meter = new EntryTelemetry(createMetrics(), () => undefined, createTracing("test", undefined));
    meter.begin(requestId, "");
    return meter;
}

test("a request that was refused before it was taken is forgotten", () => {
    const meter = createMeter();
    meter.end(requestId, "route_not_found");
    assert.is(meter.trackedRequestCount, 0);
});

test("a request whose caller left is forgotten", () => {
    const meter = createMeter();
    meter.observe({
        event: "request_finished",
        requestId,
        organisation: identifier("o"),
        result: "caller_left",
        duration: 1,
        tokens: 0,
        waits: [],
    });
    assert.is(meter.trackedRequestCount, 0);
});

test("a generation whose stream has ended is forgotten", async () => {
    const server = createServer((_request, response) => {
        response.end("event: end\ndata: {\"count\":0,\"finish_reason\":\"stop\"}\n\n");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    const ended = new Promise<void>(resolve => {
        const backend = createBackendClient(`127.0.0.1:${port}`, event => {
            if (event.kind === "generationEnded") {
                setImmediate(() => waitUntilForgotten(backend.openStreamCount, resolve));
            }
        }, () => undefined);
        const work = { body: "{}" } as Parameters<typeof backend.start>[2];
        backend.start(identifier<GenerationId>("g"), identifier("a"), work, 0, "");
    });
    await ended;
    server.close();
});

/** Looks again until nothing is pending, a bounded number of times. */
function waitUntilForgotten(pending: () => number, done: () => void, looks = 200): void {
    if (pending() === 0 || looks === 0) {
        assert.is(pending(), 0);
        return done();
    }
    setTimeout(() => waitUntilForgotten(pending, done, looks - 1), 10);
}

test.run();
