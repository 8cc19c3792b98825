/**
 * Streams whose events have ids that only increase: by more than one, with zeros in front, or beyond the integers that a number
 * can hold exactly, such as times in nanoseconds.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

const count = 20;
const idsOf = {
    "times in microseconds": (index: number) => String(1_765_121_000_000_000 + 50_000 * index),
    "times in nanoseconds": (index: number) => String(1_765_121_000_000_000_000n + BigInt(index)),
    "zeros in front": (index: number) => String(index + 1).padStart(20, "0"),
    "another form": (index: number) => `part-${index}`,
} as const;

type Form = keyof typeof idsOf;
const decimalForms = ["times in microseconds", "times in nanoseconds", "zeros in front"] as const;
const forms = [...decimalForms, "another form"] as const;

function eventsOf(form: Form): string[] {
    return Array.from({ length: count }, (_, index) => `id: ${idsOf[form](index)}\ndata: ${index}\n\n`);
}

/** Runs a test on a gateway with an engine that goes on after the event that a request names, by its text. */
async function withEngine(
    form: Form,
    cutAfter: number,
    run: (cluster: GatewayCluster, lastEvents: (string | undefined)[]) => Promise<void>,
): Promise<void> {
    const cluster = await GatewayCluster.start(1);
    const lastEvents: (string | undefined)[] = [];
    const engine = createServer(({ headers, url }, response) => {
        if (url === "/report") {
            return response.end("{}");
        }
        response.writeHead(200, {
            "attempt-id": headers["attempt-id"],
            "response-seal": "s",
            "content-type": "text/event-stream",
        });
        const last = headers["last-event-id"]?.toString();
        lastEvents.push(last);
        const ids = Array.from({ length: count }, (_, index) => idsOf[form](index));
        const isCut = lastEvents.length === 1 && cutAfter < count;
        const first = last === undefined ? 0 : ids.indexOf(last) + 1;
        eventsOf(form).slice(first, isCut ? cutAfter : count).forEach(event => response.write(event));
        return isCut ? setTimeout(() => response.destroy(), 100) : response.end();
    });
    try {
        await new Promise<void>(resolve => engine.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(engine.address() as AddressInfo).port}`;
        const record = { service: "engine", address, zone: "near", slots: 8, state: "ready" };
        cluster.store.put("keyed.servers", "x", record);
        await cluster.waitUntilKnown(cluster.gateways[0], "x");
        await run(cluster, lastEvents);
    }
    finally {
        engine.closeAllConnections();
        engine.close();
        await cluster.stop();
    }
}

// Ids that became the same number were taken for one event that was repeated.
test("callers get each event of a stream whose ids are larger than any exact number", () =>
    withEngine("times in nanoseconds", count, async cluster => {
        const { body, isComplete } = await cluster.sendRequest(cluster.gateways[0], "/plan/1");
        assert.is(body, eventsOf("times in nanoseconds").join(""));
        assert.ok(isComplete);
    }));

// ORDER: an id that was not read as a number counted as none, and so the stream began anew.
for (const form of forms) {
    const suffix = form === "times in nanoseconds" ? "a large id" : `an id of the form "${form}"`;
    test(`a caller that resumes a stream after an event with ${suffix} gets no earlier event`, () =>
        withEngine(form, count, async (cluster, lastEvents) => {
            const last = idsOf[form](5);
            await cluster.sendRequest(cluster.gateways[0], "/note/1", { attemptId: "first" });
            const headers = { "last-event-id": last, "resumes": "first" };
            const { body, isComplete } = await cluster.sendRequest(cluster.gateways[0], "/note/1", { headers });
            assert.equal(lastEvents, [undefined, last]);
            assert.is(body, eventsOf(form).slice(6).join(""));
            assert.ok(isComplete);
        }));
}

// A stream with ids that were not read was cut, and zeros in front got lost on the way to the next server.
for (const form of decimalForms) {
    test(`a stream with ids of the form "${form}" goes on after its server broke it off`, () =>
        withEngine(form, 8, async (cluster, lastEvents) => {
            const { body, isComplete } = await cluster.sendRequest(cluster.gateways[0], "/note/1");
            assert.equal(lastEvents, [undefined, idsOf[form](7)]);
            assert.is(body, eventsOf(form).join(""));
            assert.ok(isComplete);
        }));
}

test.run();
