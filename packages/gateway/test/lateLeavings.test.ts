/**
 * How long a server may still get requests whose leaving is learnt from a report that was under way for long.
 */
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, server, TestGateway } from "./gatewayBuilders.js";

const drainLimit = 2_000;
const longestDelivery = 400;
const outage = 2_400;

/** Receives a report of the servers' topic that may have been under way for a time. */
function receiveServers(gateway: TestGateway, count: number, transmission: number, removed?: string): void {
    const through = gateway.state.followers.backendServers.next!;
    const echo = { sentAt: gateway.now - transmission, heldFor: 0 };
    const read = { reader: identifier<never>("other"), count };
    const items = removed === undefined
        ? []
        : [gateway.item(removed, [{ kind: "backendServerRemoved", id: identifier(removed) }], true)];
    const next = through + items.length;
    const topic = { name: "backendServers", since: through, through: next, age: 0, read, items: [], isComplete: false };
    gateway.receiveReport({ sentAt: gateway.now, echo, topics: [topic as never] }, { backendServers: items });
}

/** A gateway whose own reads the store refuses, while reports of one that it serves come late by a time. */
function sendsAfterRemoval(transmission: number): boolean {
    const gateway = TestGateway.serving(server("plain-1"));
    const knownAsOf = gateway.now;
    for (let elapsed = 50; elapsed <= outage; elapsed += 50) {
        gateway.advance(50);
        if (gateway.state.followers.backendServers.isReading) {
            gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "refused" });
        }
        if (elapsed % 500 === 0) {
            receiveServers(gateway, elapsed, transmission);
        }
    }
    receiveServers(gateway, outage, transmission, "plain-1");
    assert.ok(gateway.now + longestDelivery > knownAsOf + drainLimit);
    return callsIn(gateway.receiveRequest("r", "confirm")).length > 0;
}

// A link whose reports come late counted as contact, and the leaving as acknowledged when its report was handled.
test("a server whose removal a late link reports gets no request after the drain limit", () => {
    assert.is(sendsAfterRemoval(2_200), false);
});

test.run();
