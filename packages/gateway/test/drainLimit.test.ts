/**
 * How long a server may still get requests after the platform acknowledged that it leaves, whenever this gateway learns it.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, server, TestGateway } from "./gatewayBuilders.js";

const drainLimit = 2_000;
const longestDelivery = 400;

/** Whether the gateway sends a request now to its only server. */
function sends(gateway: TestGateway, requestId: string): boolean {
    return callsIn(gateway.receiveRequest(requestId, "confirm")).length === 1;
}

// The store may have answered at the start of a read that ended 700 ms later, and acknowledged a removal after that.
test("a server that was removed during a slow read gets no request after the drain limit", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    let readStartedAt: number | undefined;
    while (readStartedAt === undefined) {
        const effects = gateway.advance(50);
        const isStart = effects.some(effect => effect.kind === "readTopic" && effect.topic === "backendServers");
        readStartedAt = isStart ? gateway.now : undefined;
    }
    gateway.advance(700);
    gateway.read("backendServers", []);
    gateway.advance(400);
    gateway.remove("plain-1");
    gateway.now = readStartedAt + drainLimit - longestDelivery + 50;
    assert.is(sends(gateway, "r"), false);
});

/** Refuses a gateway's reads of the servers for 2.4 s, in which something else may happen in each step. */
function refuseReads(gateway: TestGateway, act: () => void = () => undefined): void {
    for (let elapsed = 0; elapsed < 2_400; elapsed += 50) {
        gateway.advance(50);
        if (gateway.state.followers.backendServers.isReading) {
            gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "refused" });
        }
        act();
    }
}

// The gateways' own reads are beyond the platform's rate, while the platform serves its backend servers.
test("a server that was removed while the store refused all reads gets no request after the drain limit", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const knownAsOf = gateway.now;
    refuseReads(gateway);
    gateway.remove("plain-1");
    assert.ok(gateway.now + longestDelivery > knownAsOf + drainLimit);
    assert.is(sends(gateway, "r"), false);
});

// Late reports counted as contact with a gateway that had read nothing either.
test("a server that was removed while the store refused this gateway, and reports came late, gets no late request", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const knownAsOf = gateway.now;
    refuseReads(gateway, () => gateway.receiveReport({ echo: { sentAt: gateway.now - 1_200, heldFor: 0 } }));
    gateway.remove("plain-1");
    assert.ok(gateway.now + longestDelivery > knownAsOf + drainLimit);
    assert.is(sends(gateway, "r"), false);
});

// A suspended process has read nothing, but the store has answered others.
test("a server that was removed while the process was suspended gets no request after the drain limit", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    gateway.advance(100);
    gateway.now += 2_400;
    gateway.handle({ kind: "tick" });
    gateway.remove("plain-1");
    gateway.now += 1_000;
    assert.is(sends(gateway, "r"), false);
});

test.run();
