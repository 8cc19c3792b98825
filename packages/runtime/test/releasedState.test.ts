/**
 * Guards against memory leaks: no state may remain of a request or a stream that has ended.
 */
import { type GenerationId, identifier, type RequestId } from "@verbenaspring/model";
import { createBackendClient, createMetrics, createTracing, EntryTelemetry } from "@verbenaspring/runtime";
import { createServer } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";

const requestId = identifier<RequestId>("r");

function createTelemetry(): EntryTelemetry {
    const telemetry = new EntryTelemetry(createMetrics(), () => undefined, createTracing("test", undefined));
    telemetry.begin(requestId, "");
    return telemetry;
}

test("no state remains of a request that was refused before it was accepted", () => {
    const telemetry = createTelemetry();
    telemetry.end(requestId, "route_not_found");
    assert.is(telemetry.trackedRequestCount, 0);
});

test("no state remains of a request whose caller left", () => {
    const telemetry = createTelemetry();
    telemetry.observe({
        event: "request_finished",
        requestId,
        organisation: identifier("o"),
        result: "caller_left",
        duration: 1,
        tokens: 0,
        waits: [],
    });
    assert.is(telemetry.trackedRequestCount, 0);
});

test("no state remains of a generation whose stream has ended", async () => {
    const server = createServer((_request, response) => {
        response.end("event: end\ndata: {\"count\":0,\"finish_reason\":\"stop\"}\n\n");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    const ended = new Promise<void>(resolve => {
        const backend = createBackendClient(`127.0.0.1:${port}`, event => {
            if (event.kind === "generationEnded") {
                setImmediate(() => waitUntilNoneOpen(backend.openStreamCount, resolve));
            }
        }, () => undefined);
        const work = { body: "{}" } as Parameters<typeof backend.start>[2];
        backend.start(identifier<GenerationId>("g"), identifier("a"), work, 0, "");
    });
    await ended;
    server.close();
});

/** Checks every 10 ms that no stream is open, and fails after 200 checks. */
function waitUntilNoneOpen(openCount: () => number, done: () => void, checksLeft = 200): void {
    if (openCount() === 0 || checksLeft === 0) {
        assert.is(openCount(), 0);
        return done();
    }
    setTimeout(() => waitUntilNoneOpen(openCount, done, checksLeft - 1), 10);
}

test.run();
