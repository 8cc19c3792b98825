/**
 * A gateway whose process was suspended: it sends nothing before it knows what the operator requested meanwhile.
 */
import { type FailureDomain, identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, server, TestGateway } from "./gatewayBuilders.js";

const near = identifier<FailureDomain>("near");

/** A gateway that was suspended for 3 s while it read the operator's topic. */
function resumedGateway(): TestGateway {
    const far = identifier<FailureDomain>("far");
    const gateway = TestGateway.serving(server("plain-1"), server("plain-2", { failureDomain: far }));
    gateway.advance(100);
    gateway.now += 3_000;
    return gateway;
}

/** How long each read of the operator's topic may wait; "snapshot" for one of the newest records, which does not wait. */
const readsIn = (effects: ReturnType<TestGateway["advance"]>) =>
    effects.flatMap<number | "snapshot">(effect => {
        if (effect.kind === "readSnapshot" && effect.topic === "configuration") {
            return ["snapshot"];
        }
        return effect.kind === "readTopic" && effect.topic === "configuration" ? [effect.wait] : [];
    });

test("after a suspension a request waits for a read that began after it, and avoids a domain evacuated meanwhile", () => {
    const gateway = resumedGateway();
    assert.ok(gateway.state.followers.configuration.isReading);
    assert.equal(callsIn(gateway.receiveRequest("r", "lookup")), []);
    const key = "evacuate/near";
    const old = gateway.read("configuration", []);
    assert.equal(
        readsIn(old),
        ["snapshot"],
        "the read from before the suspension may lack records; the next one does not wait",
    );
    assert.equal(callsIn(gateway.advance(50)), []);
    gateway.read("configuration", [
        gateway.item(key, [{ kind: "evacuation", key, failureDomain: near, isRequested: true }]),
    ]);
    assert.equal(callsIn(gateway.advance(50)).map(({ backendServer }) => backendServer), ["plain-2"]);
    assert.is(callsIn(gateway.receiveRequest("s", "lookup")).length, 1);
});

test("a request after a suspension is sent half a second later if the store does not answer", () => {
    const gateway = resumedGateway();
    assert.equal(callsIn(gateway.receiveRequest("r", "lookup")), []);
    assert.equal(callsIn(gateway.advance(450)), []);
    assert.is(callsIn(gateway.advance(50)).length, 1);
});

test("a request after a suspension is sent at the next tick if the read of the store fails", () => {
    const gateway = resumedGateway();
    gateway.receiveRequest("r", "lookup");
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "timeout" });
    assert.equal(readsIn(gateway.advance(50)), ["snapshot"], "at once, in spite of the usual delay after a failure");
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "unreachable" });
    assert.is(callsIn(gateway.advance(50)).length, 1);
});

// Such requests were started at the first tick, by what was known before the suspension.
test("after a suspension a request that waits for capacity is not started before the operator's topic was read", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const plan = { promptTokens: 4_000, maximumTokens: 500 };
    gateway.state.meanStreamDuration = 30;
    const { attemptId } = gateway.startStream("p1", "plan", plan);
    gateway.startStream("p2", "plan", plan);
    assert.equal(callsIn(gateway.receiveRequest("p3", "plan", plan)), []);
    gateway.now += 3_000;
    const resumed = gateway.handle({ kind: "streamEnded", attemptId });
    assert.equal(callsIn([...resumed, ...gateway.advance(50)]), []);
    assert.is(gateway.state.waiting.size, 1);
});

test.run();
