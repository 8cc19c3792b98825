import { countedEvents, hasOrder, isStart, stepBetween } from "@verbenaspring/gateway";
import { type EventId, identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, eventId, eventsIn, server, TestGateway } from "./gatewayBuilders.js";

const id = identifier<EventId>;
const nanoseconds = 1_765_121_000_000_000_000n;

// ORDER: ids that became the same number were one event, and those of more than 15 digits were none.
test("ids are ordered by their value, beyond the numbers that are exact and with zeros in front", () => {
    assert.is(stepBetween(id(String(nanoseconds)), id(String(nanoseconds + 1n))), 1n);
    assert.is(stepBetween(id("0010"), id("9")), -1n);
    assert.is(stepBetween(undefined, id("4")), 4n);
    assert.equal(["7", "-7", "1.5", "a", "9".repeat(101)].map(text => hasOrder(id(text))), [
        true,
        false,
        false,
        false,
        false,
    ]);
    assert.equal([undefined, id("0"), id("00"), id("1"), id("a")].map(isStart), [true, true, true, false, false]);
});

// Times as ids stood for more events than any stream has.
test("only an id that a stream can reach counts its events", () => {
    assert.is(countedEvents(id("12"), 80), 12);
    assert.is(countedEvents(id("12"), undefined), 12);
    assert.equal([undefined, id("a"), id("81"), id(String(nanoseconds))].map(text => countedEvents(text, 80)), [
        0,
        0,
        0,
        0,
    ]);
    assert.is(countedEvents(id(String(nanoseconds)), undefined), 0);
});

// ORDER: such an id counted as none, and the stream began anew.
test("events after an id that has no order are passed on", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.sendRequest("r", "note", { lastEvent: id("a") });
    assert.is(call.lastEvent, "a");
    gateway.openStream(call);
    assert.equal(eventsIn(gateway.receiveEvents(call, undefined, 7, 8)), [undefined, 7, 8]);
});

// The value of the id stood for a number of events that no report exceeds, so the stream paused for a second.
test("a resumed unframed stream goes on at once if its server has made more events than arrived, though its ids are times", () => {
    const gateway = TestGateway.serving(server("engine-1", { startedAt: 5 }));
    const call = gateway.sendRequest("r", "note", { lastEvent: eventId(1_765_121_000_000_000), maximumTokens: 80 });
    gateway.openStream(call, { endsWithChannel: true });
    gateway.receiveEvents(call, 1_765_121_000_050_000);
    gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    const runs = [{ callerAttemptId: call.head.callerAttemptId, events: 4 }];
    const effects = gateway.reportEnd(call.attemptId, { runs, isLeaving: false, startedAt: 5 });
    assert.equal(callsIn(effects).map(({ lastEvent }) => Number(lastEvent)), [1_765_121_000_050_000]);
});

test.run();
